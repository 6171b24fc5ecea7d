//===- Gateway.h - A daemon fed from outside --------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Serves callers by whatever fleet it was last given, shares what it sees of
/// backend servers with its peers, answers the balancer's checks and stops
/// without cutting a request. Where settings and servers come from is not its
/// concern.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_GATEWAY_H
#define CANVASWICK_DAEMON_GATEWAY_H

#include "canvaswick/Daemon/DirectoryCalls.h"
#include "canvaswick/Daemon/PeerLink.h"
#include "canvaswick/Directory/FleetRecords.h"
#include "canvaswick/Directory/WatchElection.h"
#include "canvaswick/Metrics/Counters.h"
#include "canvaswick/Proxy/ProxyOptions.h"
#include "canvaswick/Proxy/RequestQuarantine.h"
#include "canvaswick/Settings/DaemonConfig.h"

#include <functional>
#include <memory>

namespace canvaswick {

/// A daemon without a source of settings.
class Gateway {
public:
  Gateway(DaemonConfig Config, ProxyOptions Options);
  ~Gateway();

  /// Binds its addresses and starts to serve; not ready before setFleet. Fails
  /// with Io if an address is taken.
  Result<void> start();

  /// Puts a version of settings and servers in force.
  void setFleet(const FleetConfigRef &Config);

  /// Takes the daemons of the fleet, this one included.
  void setDaemons(const std::vector<DaemonRecord> &Daemons);

  /// Sets who answers peers that ask for the copy of the store, and who hears
  /// each message of a peer. OnPause is called when the process goes on
  /// after a standstill. Call before start.
  void setHooks(ChangesSource Source, PeerLink::Handler Heard,
                std::function<void()> OnPause);

  /// Says where this daemon stands with the store. IsNews: peers are told at
  /// once.
  void setStoreState(const StoreState &State, bool IsNews);

  /// Says that settings may be long in coming: callers who wait for them are
  /// refused at once from now on, until there are some. Called after start.
  void stopWaitingForSettings();

  /// Changes the repeats that the fleet may send.
  void setRetryLimit(const FleetRetryLimit &Allowance);

  /// Turns readiness red; answers from now on close their connections.
  void beginStop();

  /// Waits for requests in flight and stops. Returns whether all ended before
  /// Deadline. Does nothing the second time; a gateway that never started has
  /// nothing to wait for.
  bool finishStop(TimePoint Deadline);

  /// Returns how peers know this daemon.
  const DaemonRecord &getSelf() const;

  CounterTable &getCounters();

  /// Returns what is known of requests under which servers end. Where its
  /// records are kept is for the owner to say, before start.
  RequestQuarantine &getQuarantine();

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_GATEWAY_H
