//===- Gateway.h - A daemon configured by its owner -------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Serves callers according to the settings and servers that its owner last
/// set, exchanges observations of backend servers with peers, answers the load
/// balancer's health checks and stops without dropping requests. It does not
/// know where settings and servers come from.
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

/// A daemon without a source of settings of its own.
class Gateway {
public:
  Gateway(DaemonConfig Config, ProxyOptions Options);
  ~Gateway();

  /// Binds the daemon's addresses and starts to serve. The daemon is not ready
  /// before setFleet. Fails with Io if an address cannot be bound.
  Result<void> start();

  /// Puts a version of settings and servers in force.
  void setFleet(const FleetConfigRef &Config);

  /// Sets the daemons of the fleet, this one included.
  void setDaemons(const std::vector<DaemonRecord> &Daemons);

  /// Sets the callbacks. Source answers peers that request changes of the
  /// store's replica, OnPeerMessage receives each message of a peer, and
  /// OnPause is called when the process resumes after a pause. Call before
  /// start.
  void setHooks(ChangesSource Source, PeerLink::Handler OnPeerMessage,
                std::function<void()> OnPause);

  /// Sets the last time at which the servers in force were those that are
  /// listed, as far as is known.
  void setListCurrentTime(TimePoint Time);

  /// Sets this daemon's state with regard to the store. Peers are notified at
  /// once if ShouldNotify is set.
  void setStoreState(const StoreState &State, bool ShouldNotify);

  /// Stops holding callers until settings arrive: from now on they are refused
  /// at once while there are none. Call after start, when settings may take
  /// long.
  void stopWaitingForSettings();

  /// Changes the limit on retries for the whole fleet.
  void setRetryLimit(const FleetRetryLimit &Limit);

  /// Fails readiness checks. Responses from now on close their connections, and
  /// all requests get theirs before KilledAt, when the process is ended.
  void beginStop(TimePoint KilledAt, TimePoint Now);

  /// Waits for requests in flight, then stops. Returns whether all of them
  /// ended before Deadline. A second call does nothing and returns true, and a
  /// gateway that never started has nothing to wait for.
  bool finishStop(TimePoint Deadline);

  /// Returns the record by which peers know this daemon.
  const DaemonRecord &getSelf() const;

  CounterTable &getCounters();

  /// Returns the quarantine of requests that crash servers. The owner connects
  /// the storage of its records before start.
  RequestQuarantine &getQuarantine();

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_GATEWAY_H
