//===- Gateway.cpp - A daemon whose settings and servers are fed to it ----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Puts together what a daemon serves with, and moves it on in rounds. The lock
/// order, outermost first: BuildMutex; FleetRuntimeSlot; ServiceRuntime.
///
//===----------------------------------------------------------------------===//

#include "CallerServer.h"
#include "GatewayImpl.h"
#include "canvaswick/Support/Log.h"

namespace canvaswick {

/// Threads for the balancer's checks and for who reads metrics.
static constexpr size_t ReadyWorkers = 2;

/// Threads for who reads metrics at an address of their own.
static constexpr size_t MetricsWorkers = 1;

/// Idle connections to backend servers are closed after this time: they close
/// theirs after ten seconds, and one that a cut has broken hangs its request.
static constexpr Duration UpstreamIdleLimit = fromSeconds(3);

/// Threads for peers that ask for the copy of the store, and how long one such
/// call may take.
static constexpr size_t ControlWorkers = 4;

/// Large answers to them at once, of all calls that are being worked on: the
/// other threads are left for small news.
static constexpr size_t LargeAtOnce = 2;

/// Peers that may wait for one of them. Others are refused at once and ask
/// someone else: a hall of 36 that asked one peer together, whose link carries
/// 10 Mbit/s, waited 0.6 s each time for nothing, 4 s in all.
static constexpr size_t ControlQueue = 3;
static constexpr Duration ControlTimeLimit = fromSeconds(3);

/// A stopping daemon answers what it still has this long before it is killed,
/// so that no request ends without an answer.
static constexpr Duration LastAnswers = fromMillis(600);

/// Callers who come before a daemon that starts knows its settings wait for
/// them in the system's queue, while nothing has failed, and no longer than
/// this; then they are refused at once until it does. A start from the fleet's
/// copy is shorter.
static constexpr Duration SettingsPatience = fromMillis(500);

/// How often idle connections and organisations are looked for.
static constexpr Duration HousekeepingInterval = fromSeconds(1);

/// The daemon's settings bound what the adapter's options do not.
static ProxyOptions addBounds(ProxyOptions Options,
                              const DaemonConfig &Config) {
  Options.Allowances = Config.Allowances;
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
            nullptr, addBounds(std::move(Options), this->Config)),
      Repeats(this->Config.Repeats) {}

Result<void> Gateway::Impl::start() {
  // Metrics tell of it, so it is there before they are served.
  this->Callers = std::make_unique<HttpServer>(
      makeCallerServerLimits(this->Config),
      [this](HttpExchange &Exchange) { this->Proxy.handle(Exchange); });
  BOOST_OUTCOME_TRY(this->startReady());
  this->startMetrics();
  if (this->Config.PeerPort != 0) {
    BOOST_OUTCOME_TRY(this->startPeers());
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

/// Serves the balancer's checks, and metrics beside them.
Result<void> Gateway::Impl::startReady() {
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = ReadyWorkers;
  this->Ready =
      std::make_unique<HttpServer>(Limits, [this](HttpExchange &Exchange) {
        answerHealthCheck(Exchange, this->IsStopping, this->getOwnFigures(),
                          this->Fleet.get().get());
      });
  return this->Ready->start(this->Config.Ready);
}

/// Serves metrics at an address of their own, if there is one. A daemon that
/// cannot have it serves callers all the same.
void Gateway::Impl::startMetrics() {
  if (this->Config.Metrics.Port == 0)
    return;
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = MetricsWorkers;
  this->Metrics =
      std::make_unique<HttpServer>(Limits, [this](HttpExchange &Exchange) {
        answerMetrics(Exchange, this->getOwnFigures(), this->Fleet.get().get());
      });
  const Result<void> Started = this->Metrics->start(this->Config.Metrics);
  if (Started)
    return;
  logWarning("metrics-not-served", "address={} what={:?}",
             this->Config.Metrics.format(), Started.error().Message);
  this->Metrics.reset();
}

/// Opens the link to peers, from whom requests borrow repeats.
Result<void> Gateway::Impl::startPeers() {
  this->Peers = std::make_unique<PeerExchange>(
      this->Self, this->Fleet, this->Proxy.getQuarantine(),
      this->Proxy.getOrganisations(), *this->Notices, this->Counters,
      this->Heard, this->Config.Policy);
  this->Proxy.getQuarantine().setUpdateListener(
      [this](const PoisonRequestUpdate &News, TimePoint Now) {
        this->Peers->reportPoisonRequests(News, Now);
      });
  this->Proxy.setAttemptListener(
      [this](TimePoint Now) { this->Peers->notifyRequestChange(Now); });
  this->Proxy.setRetrySource([this](ServiceRuntime &Service, TimePoint Now) {
    return this->Peers->borrowRetry(Service, Now);
  });
  return this->Peers->start();
}

/// Serves peers that ask for the copy of the store.
Result<void> Gateway::Impl::startControl() {
  if (this->Config.Control.Port == 0 || !this->Source)
    return outcome::success();
  this->Answerer = std::make_unique<ChangesResponder>(this->Source, [this] {
    return this->Control->countInFlight() <= LargeAtOnce;
  });
  addDirectoryMethod(this->Dispatcher, *this->Answerer);
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = ControlWorkers;
  Limits.Workers.Queue = ControlQueue;
  this->Control =
      std::make_unique<HttpServer>(Limits, [this](HttpExchange &Exchange) {
        Exchange.Stream.setDeadline(readSteadyClock() + ControlTimeLimit);
        if (Exchange.Request.target == CallPath)
          serveOpenCall(Exchange, this->Dispatcher);
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

DaemonMetrics Gateway::Impl::getOwnFigures() {
  const TimePoint Now = readSteadyClock();
  return {this->Counters,
          this->getStoreState(),
          this->Callers->countThreads(),
          this->getQuarantine().describe(),
          this->Proxy.getOrganisations().with([Now](FleetQuota &All) {
            return All.describe(MaxListedOrganisations, Now);
          }),
          this->Notices->with(
              [Now](const ServerNotices &All) { return All.count(Now); })};
}

/// What was kept open before a standstill may have ended on the other side, and
/// what was known of the store is as old as it was long.
void Gateway::Impl::noteStandstill(TimePoint Now) {
  const Duration Stood = this->Standstills.recordRound(Now);
  if (Stood == Duration::zero())
    return;
  this->Counters.add(Counter::Standstills);
  logWarning("stood-still", "ms={}", toMillis(Stood));
  this->Upstreams.closeIdle(Now, Now);
  if (this->OnPause)
    this->OnPause();
}

/// Looks for late requests and tells peers what was seen since the last round.
void Gateway::Impl::runHealthRound() {
  const TimePoint Now = readSteadyClock();
  this->noteStandstill(Now);
  if (Now - this->Started >= SettingsPatience)
    this->Callers->beginAccepting();
  const FleetRuntimeRef Current = this->Fleet.get();
  if (!Current)
    return;
  for (const ServiceRuntimeRef &Service : Current->getServices()) {
    Service->advance(Now);
    // Nobody is told: what was seen must not pile up.
    if (!this->Peers)
      (void)Service->drainLocalObservations();
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

void Gateway::Impl::beginStop() {
  this->IsStopping = true;
  this->Proxy.beginStop(readSteadyClock() + this->Config.Grace - LastAnswers);
  this->Callers->beginClosing();
  logInfo("daemon-stopping", "in-flight={}", this->Callers->countInFlight());
}

bool Gateway::Impl::finishStop(TimePoint Deadline) {
  if (this->IsStopped.exchange(true))
    return true;
  this->Proxy.refuseLateRequests();
  const bool AllEnded =
      !this->Callers || this->Callers->stopGracefully(Deadline);
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

void Gateway::setRetryLimit(const RepeatAllowance &Allowance) {
  this->Implementation->setRetryLimit(Allowance);
}

void Gateway::setHooks(ChangesSource Source, PeerLink::Handler Heard,
                       std::function<void()> OnPause) {
  this->Implementation->Source = std::move(Source);
  this->Implementation->Heard = std::move(Heard);
  this->Implementation->OnPause = std::move(OnPause);
}

void Gateway::setStoreState(const StoreState &State, bool IsNews) {
  this->Implementation->setStoreState(State, IsNews);
}

void Gateway::stopWaitingForSettings() {
  this->Implementation->stopWaitingForSettings();
}

void Gateway::beginStop() { this->Implementation->beginStop(); }

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
