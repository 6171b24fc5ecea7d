//===- Gateway.cpp - A daemon configured by its owner ---------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Connects the components of a gateway and runs its periodic rounds. The lock
/// order, outermost first: BuildMutex; FleetRuntimeSlot; ServiceRuntime.
///
//===----------------------------------------------------------------------===//

#include "CallerServer.h"
#include "GatewayImpl.h"
#include "canvaswick/Support/Log.h"

#include <algorithm>

namespace canvaswick {

/// Threads that serve health checks and metrics.
static constexpr size_t ReadyWorkers = 2;

/// Threads that serve the separate metrics address.
static constexpr size_t MetricsWorkers = 1;

/// Idle connections to backend servers are closed after this time. Servers
/// close theirs after ten seconds, and a request on a connection that a network
/// failure has broken would hang.
static constexpr Duration UpstreamIdleLimit = fromSeconds(3);

/// Threads that serve peers' requests for changes of the store's replica.
/// ControlTimeLimit bounds one such call.
static constexpr size_t ControlWorkers = 4;

/// The maximum number of responses that are written at once, if one of them is
/// large and its peer, of an earlier version, does not confirm it. The other
/// threads remain for small changes.
static constexpr size_t MaxLargeResponses = 2;

/// The number of peers' calls that may wait for a thread. Further calls are
/// refused at once, and the peer asks another daemon. With a longer queue, 36
/// daemons of a hall that asked one peer with a 10 Mbit/s link at the same time
/// waited in vain for 0.6 s each time, 4 s in total.
static constexpr size_t ControlQueue = 3;
static constexpr Duration ControlTimeLimit = fromSeconds(3);

/// A stopping daemon answers the remaining requests this long before it is
/// killed, so that no request ends without an answer, but in the last sixth of
/// a short grace time: servers are still at work on them.
static constexpr Duration MaxStopMargin = fromMillis(600);
static constexpr int StopMarginDivisor = 8;

/// While a starting daemon has no settings, callers wait in the listen queue
/// for at most this time, provided that nothing has failed; afterwards they are
/// refused at once. A start from the fleet's replica takes less time.
static constexpr Duration SettingsGracePeriod = fromMillis(500);

/// The interval at which idle connections and organisations are dropped.
static constexpr Duration HousekeepingInterval = fromSeconds(1);

/// Adds the limits of the daemon's settings to the adapter's options.
static ProxyOptions addDaemonSettings(ProxyOptions Options,
                                      const DaemonConfig &Config) {
  Options.QuotaLimits = Config.QuotaLimits;
  return Options;
}

static DaemonRecord makeSelf(const DaemonConfig &Config) {
  DaemonRecord Self;
  Self.Name = Config.Name;
  Self.Hall = Config.Hall;
  Self.Control = Config.Control;
  Self.Peer = {Config.Callers.Host, Config.PeerPort};
  return Self;
}

Gateway::Impl::Impl(DaemonConfig Given, ProxyOptions Options)
    : Config(std::move(Given)), Self(makeSelf(this->Config)),
      Proxy(this->Config.Name, this->Fleet, this->Upstreams, this->Counters,
            nullptr, addDaemonSettings(std::move(Options), this->Config)),
      TunnelAnswers(this->Fleet, this->Proxy.getPaths(), this->Counters,
                    [this](const HttpExchange &Exchange, const std::string &) {
                      return this->Proxy.getPaths().hasPeerAt(
                          Exchange.Request.remote_addr);
                    }),
      RetryLimit(this->Config.RetryLimit),
      Prober(this->Fleet, this->Proxy.getPaths()) {}

Result<void> Gateway::Impl::start() {
  // Created before the metrics are served, because they report its threads.
  this->Callers = std::make_unique<HttpServer>(
      makeCallerServerLimits(this->Config),
      [this](HttpExchange &Exchange) { this->Proxy.handle(Exchange); });
  BOOST_OUTCOME_TRY(this->startReady());
  this->startMetrics();
  if (this->Config.PeerPort != 0) {
    BOOST_OUTCOME_TRY(this->startPeers());
    BOOST_OUTCOME_TRY(this->startTunnels());
  }
  BOOST_OUTCOME_TRY(this->startControl());
  BOOST_OUTCOME_TRY(this->Callers->bind(this->Config.Callers));
  this->HealthRounds.start(HealthInterval, [this] { this->runHealthRound(); });
  this->HousekeepingRounds.start(HousekeepingInterval,
                                 [this] { this->housekeep(); });
  logInfo("daemon-started", "name={} hall={} callers={} ready={} peers={}",
          this->Config.Name, this->Config.Hall, this->Config.Callers.format(),
          this->Config.Ready.format(), this->Self.Peer.format());
  return outcome::success();
}

/// Serves the load balancer's health checks and metrics.
Result<void> Gateway::Impl::startReady() {
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = ReadyWorkers;
  this->Ready =
      std::make_unique<HttpServer>(Limits, [this](HttpExchange &Exchange) {
        answerHealthCheck(Exchange, this->IsStopping, this->collectMetrics(),
                          this->Fleet.get().get());
      });
  return this->Ready->start(this->Config.Ready);
}

/// Serves metrics at a separate address if one is configured. If that address
/// cannot be bound, the daemon still serves callers.
void Gateway::Impl::startMetrics() {
  if (this->Config.Metrics.Port == 0)
    return;
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = MetricsWorkers;
  this->Metrics =
      std::make_unique<HttpServer>(Limits, [this](HttpExchange &Exchange) {
        answerMetrics(Exchange, this->collectMetrics(),
                      this->Fleet.get().get());
      });
  const Result<void> Started = this->Metrics->start(this->Config.Metrics);
  if (Started)
    return;
  logWarning("metrics-not-served", "address={} what={:?}",
             this->Config.Metrics.format(), Started.error().Message);
  this->Metrics.reset();
}

/// Starts the exchange with peers, from which requests also borrow retries.
Result<void> Gateway::Impl::startPeers() {
  this->Peers = std::make_unique<PeerExchange>(
      this->Self, this->Fleet, this->Proxy.getQuarantine(),
      this->Proxy.getOrganisations(), this->Proxy.getPaths(), *this->Notices,
      this->Counters, this->OnPeerMessage, this->Config.Policy);
  this->Proxy.getQuarantine().setUpdateListener(
      [this](const PoisonRequestUpdate &Update, TimePoint Now) {
        this->Peers->reportPoisonRequests(Update, Now);
      });
  this->Proxy.setAttemptListener(
      [this](TimePoint Now) { this->Peers->notifyRequestChange(Now); });
  this->Proxy.setRetrySource([this](ServiceRuntime &Service, TimePoint Now) {
    return this->Peers->borrowRetry(Service, Now);
  });
  return this->Peers->start();
}

/// Connects to servers for peers that are cut off from them, and finds out
/// whether this daemon is.
Result<void> Gateway::Impl::startTunnels() {
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = TunnelResponder::MaxTunnels;
  Limits.Workers.Queue = 0;
  this->Tunnels =
      std::make_unique<HttpServer>(Limits, [this](HttpExchange &Exchange) {
        if (Exchange.Request.target == TunnelPath)
          this->TunnelAnswers.handle(Exchange);
        else
          Exchange.Response.status = 404;
      });
  BOOST_OUTCOME_TRY(this->Tunnels->start(this->Self.Peer));
  this->Proxy.getPaths().setProbeListener([this] { this->ProbeRounds.wake(); });
  this->ProbeRounds.start(PathRoundInterval,
                          [this] { this->Prober.runRound(readSteadyClock()); });
  return outcome::success();
}

/// Serves peers' requests for changes of the store's replica.
Result<void> Gateway::Impl::startControl() {
  if (this->Config.Control.Port == 0 || !this->Source)
    return outcome::success();
  this->Responder = std::make_unique<ChangesResponder>(this->Source, [this] {
    return this->Control->countInFlight() <= MaxLargeResponses;
  });
  addDirectoryMethod(this->Dispatcher, *this->Responder);
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = ControlWorkers;
  Limits.Workers.Queue = ControlQueue;
  this->Control =
      std::make_unique<HttpServer>(Limits, [this](HttpExchange &Exchange) {
        Exchange.Stream.setDeadline(readSteadyClock() + ControlTimeLimit);
        if (Exchange.Request.target == CallPath)
          serveUnsignedCall(Exchange, this->Dispatcher);
        else
          Exchange.Response.status = 404;
      });
  return this->Control->start(this->Config.Control);
}

void Gateway::Impl::stopWaitingForSettings() {
  this->Callers->beginAccepting();
}

StoreState Gateway::Impl::getStoreState() {
  std::lock_guard<std::mutex> Lock(this->StoreMutex);
  return this->Store;
}

DaemonMetrics Gateway::Impl::collectMetrics() {
  const TimePoint Now = readSteadyClock();
  return {this->Counters,
          this->getStoreState(),
          this->Proxy.getListCurrentTime(),
          this->Callers->countThreads(),
          this->getQuarantine().describe(),
          this->Proxy.getOrganisations().with([Now](FleetQuota &Quota) {
            return Quota.describe(MaxListedOrganisations, Now);
          }),
          this->Notices->with(
              [Now](const ServerNotices &Known) { return Known.count(Now); }),
          this->Proxy.getPaths().countCutOff(),
          this->TunnelAnswers.countOpen()};
}

/// Handles a pause of the process. Servers may have closed idle connections
/// meanwhile, and the daemon's knowledge of the store is outdated by the length
/// of the pause.
void Gateway::Impl::handlePause(TimePoint Now) {
  const Duration Paused = this->Pauses.recordRound(Now);
  if (Paused == Duration::zero())
    return;
  this->Counters.add(Counter::ProcessPauses);
  logWarning("stood-still", "ms={}", toMillis(Paused));
  this->Upstreams.closeIdle(Now, Now);
  if (this->OnPause)
    this->OnPause();
}

/// Looks for late requests and sends observations since the last round to
/// peers.
void Gateway::Impl::runHealthRound() {
  const TimePoint Now = readSteadyClock();
  this->handlePause(Now);
  if (Now - this->Started >= SettingsGracePeriod)
    this->Callers->beginAccepting();
  const FleetRuntimeRef Current = this->Fleet.get();
  if (!Current)
    return;
  for (const ServiceRuntimeRef &Service : Current->getServices()) {
    Service->advance(Now);
    // Without peers, observations are discarded so that they do not accumulate.
    if (!this->Peers)
      (void)Service->drainLocalObservations(Now);
  }
  if (this->Peers)
    this->Peers->runRound(*Current, HealthInterval, Now);
}

void Gateway::Impl::housekeep() {
  const TimePoint Now = readSteadyClock();
  this->Upstreams.closeIdle(Now - UpstreamIdleLimit, Now);
  this->Proxy.forgetIdle(Now);
  this->Notices->forgetOld(Now);
  this->Proxy.getQuarantine().forgetOld(Now);
}

void Gateway::Impl::beginStop(TimePoint KilledAt, TimePoint Now) {
  this->IsStopping = true;
  const Duration Margin =
      std::min(MaxStopMargin, (KilledAt - Now) / StopMarginDivisor);
  this->Proxy.beginStop(KilledAt - Margin);
  this->Callers->beginClosing();
  this->TunnelAnswers.beginStop();
  logInfo("daemon-stopping", "in-flight={}", this->Callers->countInFlight());
}

bool Gateway::Impl::finishStop(TimePoint Deadline) {
  if (this->IsStopped.exchange(true))
    return true;
  this->Proxy.refuseLateRequests();
  const bool AllEnded =
      !this->Callers || this->Callers->stopGracefully(Deadline);
  if (this->Tunnels)
    this->Tunnels->stopGracefully(Deadline);
  this->ProbeRounds.stop();
  this->HealthRounds.stop();
  this->HousekeepingRounds.stop();
  if (this->Peers)
    this->Peers->stop();
  if (this->Ready)
    this->Ready->stopGracefully(readSteadyClock());
  if (this->Metrics)
    this->Metrics->stopGracefully(readSteadyClock());
  if (this->Control)
    this->Control->stopGracefully(readSteadyClock());
  logInfo("daemon-stopped", "all-ended={}", AllEnded);
  return AllEnded;
}

Gateway::Gateway(DaemonConfig Config, ProxyOptions Options)
    : Implementation(
          std::make_unique<Impl>(std::move(Config), std::move(Options))) {}

Gateway::~Gateway() = default;

Result<void> Gateway::start() { return this->Implementation->start(); }

void Gateway::setFleet(const FleetConfigRef &Config) {
  this->Implementation->setFleet(Config);
}

void Gateway::setDaemons(const std::vector<DaemonRecord> &Daemons) {
  this->Implementation->setDaemons(Daemons);
}

void Gateway::setRetryLimit(const FleetRetryLimit &Limit) {
  this->Implementation->setRetryLimit(Limit);
}

void Gateway::setHooks(ChangesSource Source, PeerLink::Handler OnPeerMessage,
                       std::function<void()> OnPause) {
  this->Implementation->Source = std::move(Source);
  this->Implementation->OnPeerMessage = std::move(OnPeerMessage);
  this->Implementation->OnPause = std::move(OnPause);
}

void Gateway::setListCurrentTime(TimePoint Time) {
  this->Implementation->setListCurrentTime(Time);
}

void Gateway::setStoreState(const StoreState &State, bool ShouldNotify) {
  this->Implementation->setStoreState(State, ShouldNotify);
}

void Gateway::stopWaitingForSettings() {
  this->Implementation->stopWaitingForSettings();
}

void Gateway::beginStop(TimePoint KilledAt, TimePoint Now) {
  this->Implementation->beginStop(KilledAt, Now);
}

bool Gateway::finishStop(TimePoint Deadline) {
  return this->Implementation->finishStop(Deadline);
}

const DaemonRecord &Gateway::getSelf() const {
  return this->Implementation->Self;
}

RequestQuarantine &Gateway::getQuarantine() {
  return this->Implementation->getQuarantine();
}

CounterTable &Gateway::getCounters() { return this->Implementation->Counters; }

} // namespace canvaswick
