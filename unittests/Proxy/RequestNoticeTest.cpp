//===- RequestNoticeTest.cpp - Servers' words of themselves are kept to ---===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A proxy and two stand-in servers on loopback, one of which says something of
/// itself.
///
//===----------------------------------------------------------------------===//

#include "ProxyBench.h"

#include <doctest/doctest.h>

using namespace canvaswick;

/// Sends requests one after the other. Returns how many were served.
static int sendSome(ProxyBench &Under, int Count,
                    const std::string &Method = "GET",
                    const std::string &Target = "/read/1") {
  int Served = 0;
  for (int I = 0; I < Count; ++I)
    Served += Under.send(Method, Target).Status == 200 ? 1 : 0;
  return Served;
}

TEST_CASE("a server that names a limit is left to those that share it") {
  ProxyBench Under;
  BackendFaults Limited;
  Limited.Percent = 100;
  Limited.Limit = "0.5";
  Under.Backends[0]->setFaults(Limited);
  CHECK(sendSome(Under, 40) == 40);
  // The one that told it, at most: this daemon knows of no fleet to share with.
  CHECK(Under.Backends[0]->countRuns() <= 1);
  CHECK(Under.Counters.get(Counter::LimitsHeard) == 1);
  CHECK(Under.Counters.get(Counter::ServersLeftOut) >= 20);
}

TEST_CASE("a service all of whose servers are limited refuses at once") {
  ProxyBench Under;
  BackendFaults Limited;
  Limited.Limit = "0.2";
  Under.setFaults(Limited);
  sendSome(Under, 2);
  const ExchangeResult Refused = Under.send("POST", "/pay/1");
  CHECK(Refused.Status == 503);
  CHECK(getHeader(Refused, OutcomeHeader) == "not-run");
  CHECK(std::stoi(getHeader(Refused, "Retry-After")) >= 1);
}
