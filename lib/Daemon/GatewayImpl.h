//===- GatewayImpl.h - Private parts of a gateway ---------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the implementation of Gateway. Gateway.cpp implements serving and
/// the periodic rounds, GatewayFleet.cpp the changes of settings, servers and
/// daemons.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_DAEMON_GATEWAYIMPL_H
#define CANVASWICK_LIB_DAEMON_GATEWAYIMPL_H

#include "HealthEndpoints.h"
#include "PeerExchange.h"
#include "canvaswick/Daemon/DirectoryCalls.h"
#include "canvaswick/Daemon/Gateway.h"
#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Proxy/PathProber.h"
#include "canvaswick/Proxy/RequestProxy.h"
#include "canvaswick/Proxy/TunnelResponder.h"
#include "canvaswick/Support/PauseDetector.h"
#include "canvaswick/Support/PeriodicThread.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace canvaswick {

/// The interval of health rounds, which look for late requests and send
/// observations: peers must learn of them within a tenth of a second.
inline constexpr Duration HealthInterval = fromMillis(50);

class Gateway::Impl {
public:
  Impl(DaemonConfig Given, ProxyOptions Options);

  Result<void> start();
  void setFleet(const FleetConfigRef &Config);
  void setDaemons(const std::vector<DaemonRecord> &Daemons);
  void setRetryLimit(const FleetRetryLimit &Limit);
  void setListCurrentTime(TimePoint Time) {
    this->Proxy.setListCurrentTime(Time);
  }
  void setStoreState(const StoreState &State, bool ShouldNotify);
  void stopWaitingForSettings();
  void beginStop(TimePoint KilledAt, TimePoint Now);
  bool finishStop(TimePoint Deadline);

  ChangesSource Source;
  PeerLink::Handler OnPeerMessage;
  std::function<void()> OnPause;
  const DaemonConfig Config;
  DaemonRecord Self;
  CounterTable Counters;
  RequestQuarantine &getQuarantine() { return this->Proxy.getQuarantine(); }

private:
  void build(const FleetConfigRef &Next);
  void distributeRetryLimit(const FleetRuntime &Runtime);
  void runHealthRound();
  void handlePause(TimePoint Now);
  void housekeep();
  StoreState getStoreState();
  DaemonMetrics collectMetrics();
  Result<void> startPeers();
  Result<void> startReady();
  void startMetrics();
  void applyCallerLimits(const CallerLimits &Given);
  Result<void> startTunnels();
  Result<void> startControl();

  const TimePoint Started = readSteadyClock();
  const ServerNoticeTableRef Notices{new ServerNoticeTable};
  const HallDrainsRef Halls{new HallDrains};
  FleetRuntimeSlot Fleet;
  ConnectionPool Upstreams{0};
  RequestProxy Proxy;
  /// Null if this daemon exchanges nothing with peers.
  std::unique_ptr<PeerExchange> Peers;
  std::unique_ptr<HttpServer> Callers;
  std::unique_ptr<HttpServer> Ready;
  std::unique_ptr<HttpServer> Metrics;
  TunnelResponder TunnelAnswers;
  /// Null if this daemon exchanges nothing with peers.
  std::unique_ptr<HttpServer> Tunnels;
  JsonRpcDispatcher Dispatcher;
  std::unique_ptr<ChangesResponder> Responder;
  std::unique_ptr<HttpServer> Control;
  /// Guards the building of a new FleetRuntime and DaemonNames.
  std::mutex BuildMutex;
  std::vector<std::string> DaemonNames;
  /// Guards Store. Not held during calls.
  std::mutex StoreMutex;
  StoreState Store;
  FleetRetryLimit RetryLimit;
  std::atomic<bool> IsStopping{false};
  std::atomic<bool> IsStopped{false};
  /// Used by the health rounds only.
  PauseDetector Pauses{HealthInterval};
  PathProber Prober;
  PeriodicThread ProbeRounds;
  PeriodicThread HealthRounds;
  PeriodicThread HousekeepingRounds;
};

} // namespace canvaswick

#endif // CANVASWICK_LIB_DAEMON_GATEWAYIMPL_H
