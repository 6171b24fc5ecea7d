//===- GatewayImpl.h - What a gateway is made of ----------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The members of a gateway, for the files that implement it: Gateway.cpp what
/// it serves and its rounds, GatewayFleet.cpp what is fed to it.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_DAEMON_GATEWAYIMPL_H
#define CANVASWICK_LIB_DAEMON_GATEWAYIMPL_H

#include "HealthEndpoints.h"
#include "PeerExchange.h"
#include "canvaswick/Daemon/DirectoryCalls.h"
#include "canvaswick/Daemon/Gateway.h"
#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Proxy/RequestProxy.h"
#include "canvaswick/Support/PauseDetector.h"
#include "canvaswick/Support/PeriodicThread.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace canvaswick {

/// How often late requests are looked for and observations are sent: peers
/// should know within a tenth of a second.
inline constexpr Duration HealthInterval = fromMillis(50);

class Gateway::Impl {
public:
  Impl(DaemonConfig Given, ProxyOptions Options);

  Result<void> start();
  void setFleet(const FleetConfigRef &Config);
  void setDaemons(const std::vector<DaemonRecord> &Daemons);
  void setRetryLimit(const RepeatAllowance &Allowance);
  void setStoreState(const StoreState &State, bool IsNews);
  void stopWaitingForSettings();
  void beginStop();
  bool finishStop(TimePoint Deadline);

  ChangesSource Source;
  PeerLink::Handler Heard;
  std::function<void()> OnPause;
  const DaemonConfig Config;
  DaemonRecord Self;
  CounterTable Counters;
  RequestQuarantine &getQuarantine() { return this->Proxy.getQuarantine(); }

private:
  void build(const FleetConfigRef &Next);
  void giveRepeats(const FleetRuntime &Runtime);
  void runHealthRound();
  void noteStandstill(TimePoint Now);
  void housekeep();
  StoreState getStoreState();
  DaemonMetrics getOwnFigures();
  Result<void> startPeers();
  Result<void> startReady();
  void startMetrics();
  void boundCallers(const CallerLimits &Given);
  Result<void> startControl();

  const TimePoint Started = readSteadyClock();
  const ServerNoticeTableRef Notices{new ServerNoticeTable};
  FleetRuntimeSlot Fleet;
  ConnectionPool Upstreams{0};
  RequestProxy Proxy;
  /// Null where peers share nothing.
  std::unique_ptr<PeerExchange> Peers;
  std::unique_ptr<HttpServer> Callers;
  std::unique_ptr<HttpServer> Ready;
  std::unique_ptr<HttpServer> Metrics;
  JsonRpcDispatcher Dispatcher;
  std::unique_ptr<ChangesResponder> Answerer;
  std::unique_ptr<HttpServer> Control;
  /// Guards the building of a new FleetRuntime and the names.
  std::mutex BuildMutex;
  std::vector<std::string> DaemonNames;
  /// Guards Store; held for no call.
  std::mutex StoreMutex;
  StoreState Store;
  RepeatAllowance Repeats;
  std::atomic<bool> IsStopping{false};
  std::atomic<bool> IsStopped{false};
  /// Used by the health rounds only.
  PauseDetector Standstills{HealthInterval};
  PeriodicThread HealthRounds;
  PeriodicThread HousekeepingRounds;
};

} // namespace canvaswick

#endif // CANVASWICK_LIB_DAEMON_GATEWAYIMPL_H
