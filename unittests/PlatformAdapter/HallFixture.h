//===- HallFixture.h - Fixtures of several daemons --------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Several daemons that know each other, each of which reaches the store
/// through its own relay. For tests only.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_PLATFORMADAPTER_HALLFIXTURE_H
#define CANVASWICK_UNITTESTS_PLATFORMADAPTER_HALLFIXTURE_H

#include "PlatformAdapter/PlatformFixture.h"
#include "canvaswick/StandIn/RelayStandIn.h"

#include <algorithm>
#include <memory>
#include <vector>

namespace canvaswick::platform {

/// A daemon that reaches the store through its own relay.
struct Member {
  Member(const DaemonConfig &Given, const Endpoint &Store)
      : Config(Given), StoreRelay(Store) {
    REQUIRE(this->StoreRelay.start({"127.0.0.1", 0}));
    this->Config.Control = {"127.0.0.1", findFreePort()};
    this->Config.PeerPort = findFreePort();
    this->Config.Platform = {"127.0.0.1", this->StoreRelay.getPort()};
    this->start();
  }

  /// Starts the daemon. After stop, it starts without any state.
  void start() {
    this->Daemon = std::make_unique<PlatformDaemon>(this->Config);
    REQUIRE(this->Daemon->start());
  }

  void stop() { this->Daemon.reset(); }

  DaemonConfig Config;
  RelayStandIn StoreRelay;
  std::unique_ptr<PlatformDaemon> Daemon;
};

/// Daemons with their surroundings, in one hall unless halls are named.
struct Hall : PlatformFixture {
  explicit Hall(int Count) : Hall(std::vector<std::string>(Count, "h")) {}

  /// Starts one daemon for each element of Halls, which names its hall.
  explicit Hall(const std::vector<std::string> &Halls) {
    for (size_t I = 0; I < Halls.size(); ++I) {
      DaemonConfig Config = this->makeDaemonConfig(fmt::format("d{}", I));
      Config.Hall = Halls[I];
      this->Members.push_back(
          std::make_unique<Member>(Config, this->Store.getAddress()));
    }
  }

  bool serves(const Member &Each, const std::string &Target) {
    return this->sendRequestTo(Each.Config.Callers, "GET", Target).Status ==
           200;
  }

  bool isWatching(const Member &Each) {
    return this->get(Each.Config.Ready, "/metrics")
               .Body.find("canvaswick_store_watching 1\n") != std::string::npos;
  }

  std::vector<Member *> listWatchers() {
    std::vector<Member *> Watchers;
    for (const std::unique_ptr<Member> &Each : this->Members)
      if (this->isWatching(*Each))
        Watchers.push_back(Each.get());
    return Watchers;
  }

  /// Writes a configuration and two servers to the store, and waits until all
  /// daemons serve and two of them watch the store (all, if fewer).
  void startServing() {
    this->writeConfig(2);
    this->addServers();
    for (const std::unique_ptr<Member> &Each : this->Members)
      this->waitFor([&] { return this->serves(*Each, "/x/1"); });
    const size_t Wanted = std::min<size_t>(2, this->Members.size());
    this->waitFor([&] { return this->listWatchers().size() == Wanted; });
  }

  std::vector<std::unique_ptr<Member>> Members;
};

} // namespace canvaswick::platform

#endif // CANVASWICK_UNITTESTS_PLATFORMADAPTER_HALLFIXTURE_H
