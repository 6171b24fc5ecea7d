//===- ChoiceSpeedTest.cpp - Duration of a server choice ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Prints the duration of one choice among 200 servers, with requests in flight
/// of 35 peers, and asserts no limit. On an 8-core machine with eight other
/// busy processes, it took 1,417 us with one list of requests per peer and 186
/// us with one list per server.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/MarkovPolicy.h"

#include <doctest/doctest.h>

#include <chrono>

using namespace canvaswick;

static constexpr TimePoint Start{fromSeconds(100)};
static constexpr size_t Servers = 200;
static constexpr size_t Peers = 35;
static constexpr size_t RequestsOfPeer = 4;
static constexpr int Choices = 100;

static MarkovPolicy makeBusyPolicy() {
  PolicySetup Setup;
  Setup.Service = "s";
  Setup.FloorPercent = 70;
  for (size_t I = 0; I < Servers; ++I)
    Setup.Servers.push_back({static_cast<ServerId>(I + 1), 2});
  MarkovPolicy Policy(Setup);
  for (size_t I = 0; I < Servers; ++I)
    Policy.recordOutcome(I, RequestOutcome::Good, Start, -1, 100);
  for (size_t Peer = 0; Peer < Peers; ++Peer) {
    std::vector<InFlightRequest> Requests;
    for (size_t I = 0; I < RequestsOfPeer; ++I)
      Requests.push_back(
          {(Peer * 37 + I * 11) % Servers, Start, fromMillis(200)});
    Policy.getInFlight().replacePeer("p" + std::to_string(Peer), 1, Requests,
                                     Start);
  }
  return Policy;
}

TEST_CASE("a choice among 200 servers prints its duration") {
  const MarkovPolicy Policy = makeBusyPolicy();
  const TimePoint Now = Start + fromMillis(150);
  double Sum = 0;
  const auto Began = std::chrono::steady_clock::now();
  for (int Round = 0; Round < Choices; ++Round) {
    std::vector<double> Utilities;
    for (size_t I = 0; I < Servers; ++I)
      Utilities.push_back(Policy
                              .getNewRequestProbabilities(
                                  I, fromMillis(200), Now + fromMillis(600),
                                  Now + fromSeconds(2), Now)
                              .InTime);
    for (const ServerShare &Each :
         Policy.getSharesByUtility(Utilities, FailureCost::High, Now))
      Sum += Each.Share;
  }
  const std::chrono::duration<double, std::micro> Took =
      std::chrono::steady_clock::now() - Began;
  MESSAGE("one choice took " << Took.count() / Choices << " us");
  CHECK(Sum > 0);
  CHECK(Sum <= Choices * static_cast<double>(Servers));
}
