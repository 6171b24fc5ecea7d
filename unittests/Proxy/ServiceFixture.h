//===- ServiceFixture.h - One daemon's service in virtual time --*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A service with a few servers as one daemon on the users' platform runs it,
/// in virtual time. Servers can be made to send notices.
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

  /// Rebuilds the service with the current Config. Requests in flight keep the
  /// previous instance.
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

  /// Sends Count requests one after the other, a millisecond each. Returns the
  /// number of requests that each server got, by its name; the entry "" counts
  /// requests that no server could take.
  std::map<std::string, int> send(int Count, TimePoint Now,
                                  RequestOutcome Outcome = RequestOutcome::Good,
                                  const ServerNotice &Notice = {}) {
    std::map<std::string, int> Sent;
    this->Service->advance(Now);
    for (int I = 0; I < Count; ++I) {
      Attempt Current;
      Now += fromMillis(1);
      if (!this->Service->begin(Current, makeNeeds(Now), Now)) {
        ++Sent[""];
        continue;
      }
      ++Sent[this->Service->getServer(Current.Server).Name];
      (void)this->Service->handleNotice(Current, Notice, Now);
      this->Service->end(Current, Outcome, Now);
    }
    return Sent;
  }

  /// Sends requests until Server gets one, which it answers with Notice and
  /// Outcome.
  void answerWithNotice(const std::string &Server, const ServerNotice &Notice,
                        RequestOutcome Outcome, TimePoint Now) {
    for (int I = 0; I < 1000; ++I) {
      Attempt Current;
      if (!this->Service->begin(Current, makeNeeds(Now), Now))
        return;
      const bool IsIt = this->Service->getServer(Current.Server).Name == Server;
      if (IsIt)
        (void)this->Service->handleNotice(Current, Notice, Now);
      this->Service->end(Current, IsIt ? Outcome : RequestOutcome::Good, Now);
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
