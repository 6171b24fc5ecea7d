//===- ServiceFixture.h - One daemon's service in virtual time --*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A service of a few servers as one daemon on the users' platform runs it,
/// whose servers can be made to say something of themselves.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_PROXY_SERVICEFIXTURE_H
#define CANVASWICK_UNITTESTS_PROXY_SERVICEFIXTURE_H

#include "canvaswick/Proxy/ServiceRuntime.h"

#include <fmt/format.h>

#include <map>
#include <string>
#include <vector>

namespace canvaswick {

inline constexpr TimePoint FixtureStart{fromSeconds(1000)};

class ServiceFixture {
public:
  explicit ServiceFixture(int Servers = 4) {
    this->Config.Name = "s";
    this->Config.FloorPercent = 70;
    this->Config.MaxInFlight = 512;
    this->Config.ObjectiveMs = 1000;
    for (int I = 0; I < Servers; ++I)
      this->Config.Servers.push_back(makeServer(fmt::format("b{}", I)));
    this->Identity.Name = "d";
    this->Identity.Hall = "a";
    this->Identity.Daemons = {"d"};
    this->Identity.Source = SettingsSource::Platform;
    this->Identity.Notices.reset(new ServerNoticeTable);
    this->rebuild(FixtureStart);
  }

  static ServerConfig makeServer(const std::string &Name) {
    ServerConfig Server;
    Server.Name = Name;
    Server.Hall = "a";
    Server.Slots = 3;
    Server.Connections = 330;
    return Server;
  }

  /// Runs the service by Config as it is now. Requests that are out keep the
  /// earlier one.
  void rebuild(TimePoint Now) {
    this->Service = new ServiceRuntime(this->Config, this->Identity,
                                       this->Service.get(), Now);
  }

  static AttemptNeeds makeNeeds(TimePoint Now) {
    AttemptNeeds Needs;
    Needs.Route = "r";
    Needs.Objective = fromSeconds(1);
    Needs.ObjectiveDeadline = Now + fromSeconds(1);
    Needs.Deadline = Now + fromSeconds(6);
    return Needs;
  }

  /// Sends so many requests one after the other, a millisecond each. Returns
  /// how many went to each server, by name; to "" those that none could take.
  std::map<std::string, int> send(int Count, TimePoint Now,
                                  RequestOutcome Outcome = RequestOutcome::Good,
                                  const ServerNotice &Notice = {}) {
    std::map<std::string, int> Sent;
    this->Service->advance(Now);
    for (int I = 0; I < Count; ++I) {
      Attempt Try;
      Now += fromMillis(1);
      if (!this->Service->begin(Try, makeNeeds(Now), Now)) {
        ++Sent[""];
        continue;
      }
      ++Sent[this->Service->getServer(Try.Server).Name];
      (void)this->Service->handleNotice(Try, Notice, Now);
      this->Service->end(Try, Outcome, Now);
    }
    return Sent;
  }

  /// Has a server answer a request with a notice.
  void answerWithNotice(const std::string &Server, const ServerNotice &Notice,
                        RequestOutcome Outcome, TimePoint Now) {
    for (int I = 0; I < 1000; ++I) {
      Attempt Try;
      if (!this->Service->begin(Try, makeNeeds(Now), Now))
        return;
      const bool IsIt = this->Service->getServer(Try.Server).Name == Server;
      if (IsIt)
        (void)this->Service->handleNotice(Try, Notice, Now);
      this->Service->end(Try, IsIt ? Outcome : RequestOutcome::Good, Now);
      if (IsIt)
        return;
    }
  }

  ServiceConfig Config;
  DaemonIdentity Identity;
  ServiceRuntimeRef Service;
};

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_PROXY_SERVICEFIXTURE_H
