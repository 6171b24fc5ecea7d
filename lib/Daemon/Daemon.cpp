//===- Daemon.cpp - One daemon of the fleet -------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The lock order, outermost first: ConfigAgent's fetch mutex and ClaimAgent's
/// writers; the agents' own mutexes; FleetRuntimeSlot; ServiceRuntime. No call
/// to a peer or the platform is made while an agent's own mutex is held.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/Daemon.h"
#include "CallerServer.h"
#include "canvaswick/Daemon/ClaimAgent.h"
#include "canvaswick/Daemon/ConfigAgent.h"
#include "canvaswick/Daemon/EvidenceAgent.h"
#include "canvaswick/Daemon/LeavingAgent.h"
#include "canvaswick/Daemon/OperatorApi.h"
#include "canvaswick/Daemon/PoisonRequestAgent.h"
#include "canvaswick/Daemon/QuotaAgent.h"
#include "canvaswick/Proxy/PathProber.h"
#include "canvaswick/Proxy/RequestProxy.h"
#include "canvaswick/Proxy/TunnelResponder.h"
#include "canvaswick/Support/Log.h"
#include "canvaswick/Support/PauseDetector.h"
#include "canvaswick/Support/PeriodicThread.h"

#include <algorithm>

namespace canvaswick {

static constexpr size_t CallThreads = 6;
static constexpr size_t CallQueue = 512;
/// Threads for calls; each tunnel of a peer occupies one more.
static constexpr size_t ControlWorkers = 12;
static constexpr Duration UpstreamIdleLimit = fromSeconds(30);

/// The interval between the rounds of each agent.
static constexpr Duration EvidenceInterval = fromMillis(100);
static constexpr Duration MembershipInterval = fromSeconds(1);
static constexpr Duration LeavingInterval = fromSeconds(2);
static constexpr Duration ClaimInterval = fromMillis(100);
static constexpr Duration PoisonRequestInterval = fromSeconds(1);
static constexpr Duration HousekeepingInterval = fromSeconds(1);

class Daemon::Impl {
public:
  explicit Impl(DaemonConfig Given);

  Result<void> start();
  void beginStop();
  bool finishStop(TimePoint Deadline);

  DaemonConfig Config;
  std::unique_ptr<HttpServer> Callers;
  std::unique_ptr<HttpServer> Control;

private:
  void applyConfig(const FleetConfigRef &Compiled);
  void rebuildIfMembersChanged();
  void updateLimitSharers();
  void updateTunnelPeers();
  void startTunnels();
  void housekeep();
  void handleControl(HttpExchange &Exchange);
  void startAgents();
  void stopAgents();

  CounterTable Counters;
  std::unique_ptr<PeerCaller> Caller;
  std::unique_ptr<PlatformClient> Platform;
  std::unique_ptr<WorkerPool> Calls;
  const ServerNoticeTableRef Notices{new ServerNoticeTable};
  const HallDrainsRef Halls{new HallDrains};
  FleetRuntimeSlot Fleet;
  std::unique_ptr<ControlContext> Context;
  std::unique_ptr<MembershipAgent> Members;
  std::unique_ptr<ConfigAgent> Configs;
  std::unique_ptr<LeavingAgent> Leaving;
  std::unique_ptr<EvidenceAgent> Evidence;
  std::unique_ptr<ClaimAgent> Claims;
  std::unique_ptr<OperatorApi> Operators;
  std::unique_ptr<RequestProxy> Proxy;
  std::unique_ptr<TunnelResponder> Tunnels;
  /// Tunnels, once it answers.
  std::atomic<TunnelResponder *> TunnelAnswers{nullptr};
  std::unique_ptr<PathProber> Prober;
  std::unique_ptr<PoisonRequestAgent> PoisonRequests;
  std::unique_ptr<QuotaAgent> Quotas;
  ConnectionPool Upstreams;
  JsonRpcDispatcher Dispatcher;
  std::mutex VerifierMutex;
  std::unique_ptr<CallVerifier> Verifier;
  /// Guards the building of a new FleetRuntime.
  std::mutex BuildMutex;
  uint64_t BuiltForMembers = 0;
  std::atomic<bool> IsStopping{false};
  /// Used by housekeeping only.
  PauseDetector Pauses{HousekeepingInterval};
  PeriodicThread Threads[9];
};

Daemon::Impl::Impl(DaemonConfig Given)
    : Config(std::move(Given)), Upstreams(0) {}

Result<void> Daemon::Impl::start() {
  BOOST_OUTCOME_TRY(std::vector<CallKey> Keys,
                    loadCallKeys(this->Config.KeyFile));
  this->Caller = std::make_unique<PeerCaller>(Keys[0], &this->Counters);
  this->Verifier = std::make_unique<CallVerifier>(Keys);
  this->Platform =
      std::make_unique<PlatformClient>(this->Config.Platform, &this->Counters);
  this->Calls = std::make_unique<WorkerPool>(
      WorkerPoolLimits{.MaxThreads = CallThreads, .Queue = CallQueue});
  this->Context.reset(new ControlContext{
      this->Config, this->Counters, *this->Caller, *this->Platform,
      *this->Calls, this->Fleet, *this->Notices,
      static_cast<uint64_t>(readCalendarMillis())});

  // The control address is bound first, because peers learn its port.
  HttpServerLimits ControlLimits;
  ControlLimits.Workers.MaxThreads =
      ControlWorkers + TunnelResponder::MaxTunnels;
  this->Control = std::make_unique<HttpServer>(
      ControlLimits,
      [this](HttpExchange &Exchange) { this->handleControl(Exchange); });
  Result<void> Bound = this->Control->start(this->Config.Control);
  if (!Bound)
    return outcome::failure(Bound.error());
  this->Config.Control.Port = this->Control->getPort();

  this->Members = std::make_unique<MembershipAgent>(*this->Context);
  this->Configs = std::make_unique<ConfigAgent>(
      *this->Context, *this->Members,
      [this](FleetConfigRef Compiled) { this->applyConfig(Compiled); });
  this->Leaving =
      std::make_unique<LeavingAgent>(*this->Context, *this->Members);
  this->Evidence =
      std::make_unique<EvidenceAgent>(*this->Context, *this->Members);
  this->Claims = std::make_unique<ClaimAgent>(*this->Context, *this->Members);
  this->Proxy = std::make_unique<RequestProxy>(this->Config.Name, this->Fleet,
                                               this->Upstreams, this->Counters,
                                               this->Claims.get());
  this->startTunnels();
  this->PoisonRequests = std::make_unique<PoisonRequestAgent>(
      *this->Context, *this->Members, this->Proxy->getQuarantine());
  this->Quotas = std::make_unique<QuotaAgent>(*this->Context, *this->Members,
                                              this->Proxy->getOrganisations());
  this->Operators = std::make_unique<OperatorApi>(
      *this->Context, *this->Members, *this->Configs,
      this->Proxy->getQuarantine(), this->Proxy->getOrganisations(),
      this->Proxy->getPaths());
  this->Members->setVersionHooks(
      [this](Json::Value &Message) {
        this->Configs->writeVersions(Message);
        this->Leaving->writeVersions(Message);
        this->PoisonRequests->writeUpdate(Message, readSteadyClock());
      },
      [this](const MemberRecord &Peer, const Json::Value &Message) {
        this->Configs->readVersions(Peer, Message);
        this->Leaving->readVersions(Peer, Message);
        this->PoisonRequests->readUpdate(Message, readSteadyClock());
      });
  this->Members->addMethods(this->Dispatcher);
  this->Configs->addMethods(this->Dispatcher);
  this->Leaving->addMethods(this->Dispatcher);
  this->Evidence->addMethods(this->Dispatcher);
  this->Claims->addMethods(this->Dispatcher);
  this->PoisonRequests->addMethods(this->Dispatcher);
  this->Quotas->addMethods(this->Dispatcher);
  this->Operators->addMethods(this->Dispatcher);

  Result<void> Loaded = this->Configs->loadLocal();
  if (!Loaded)
    return outcome::failure(Loaded.error());
  this->Callers = std::make_unique<HttpServer>(
      makeCallerServerLimits(this->Config),
      [this](HttpExchange &Exchange) { this->Proxy->handle(Exchange); });
  Bound = this->Callers->start(this->Config.Callers);
  if (!Bound)
    return outcome::failure(Bound.error());
  this->startAgents();
  logInfo("daemon-started", "name={} hall={} callers={} control={}",
          this->Config.Name, this->Config.Hall, this->Callers->getPort(),
          this->Control->getPort());
  return outcome::success();
}

/// Begins to connect to servers for peers that are cut off from them.
void Daemon::Impl::startTunnels() {
  ServerPaths &Paths = this->Proxy->getPaths();
  Paths.setSigner(
      [this](const std::string &Server) { return this->Caller->sign(Server); });
  Paths.setProbeListener([this] { this->Threads[8].wake(); });
  this->Prober = std::make_unique<PathProber>(this->Fleet, Paths);
  this->Tunnels = std::make_unique<TunnelResponder>(
      this->Fleet, Paths, this->Counters,
      [this](const HttpExchange &Exchange, const std::string &Server) {
        return isSignedRequest(Exchange, Server, *this->Verifier,
                               this->VerifierMutex);
      });
  this->TunnelAnswers = this->Tunnels.get();
}

void Daemon::Impl::startAgents() {
  this->Threads[0].start(EvidenceInterval,
                         [this] { this->Evidence->runRound(); });
  this->Threads[1].start(MembershipInterval,
                         [this] { this->Members->runRound(); });
  this->Threads[2].start(Duration::zero(),
                         [this] { this->Configs->runRound(); });
  this->Threads[3].start(LeavingInterval,
                         [this] { this->Leaving->runRound(); });
  this->Threads[4].start(ClaimInterval, [this] { this->Claims->runRound(); });
  this->Threads[6].start(PoisonRequestInterval, [this] {
    this->PoisonRequests->runRound(readInstant());
  });
  this->Threads[7].start(QuotaReportInterval,
                         [this] { this->Quotas->runRound(readSteadyClock()); });
  this->Threads[5].start(HousekeepingInterval, [this] { this->housekeep(); });
  this->Threads[8].start(PathRoundInterval,
                         [this] { this->Prober->runRound(readSteadyClock()); });
}

void Daemon::Impl::stopAgents() {
  for (PeriodicThread &Thread : this->Threads)
    Thread.stop();
}

/// Updates the set of daemons that share the limits announced by servers.
void Daemon::Impl::updateLimitSharers() {
  FleetDaemons Fleet;
  Fleet.Self = this->Config.Name;
  Fleet.All = this->Members->getWorking();
  for (const std::string &Name : Fleet.All)
    if (const std::optional<MemberRecord> Member = this->Members->find(Name))
      Fleet.Halls[Member->Hall].push_back(Name);
  this->Notices->with(
      [&](ServerNotices &Known) { Known.setFleet(Fleet, readSteadyClock()); });
}

/// Updates the peers that may connect to servers for this daemon.
void Daemon::Impl::updateTunnelPeers() {
  std::vector<TunnelPeer> Peers;
  for (const std::string &Name : this->Members->getWorking())
    if (const std::optional<MemberRecord> Member = this->Members->find(Name);
        Member && Name != this->Config.Name)
      Peers.push_back({Name, Member->Hall, Member->Control});
  this->Proxy->getPaths().setPeers(this->Config.Hall, std::move(Peers));
}

void Daemon::Impl::applyConfig(const FleetConfigRef &Compiled) {
  logHallChanges(
      this->Halls->update(Compiled->DrainedHalls, readSteadyClock()));
  std::lock_guard<std::mutex> Lock(this->BuildMutex);
  this->BuiltForMembers = this->Members->getWorkingVersion();
  this->updateLimitSharers();
  this->updateTunnelPeers();
  DaemonIdentity Identity;
  Identity.Name = this->Config.Name;
  Identity.Hall = this->Config.Hall;
  Identity.Notices = this->Notices;
  Identity.Halls = this->Halls;
  Identity.Daemons = this->Members->getWorking();
  Identity.ExpectedDaemons = this->Config.ExpectedDaemons;
  Identity.StartMillis = this->Context->StartMillis;
  const FleetRuntimeRef Previous = this->Fleet.get();
  const FleetRuntimeRef Next(
      new FleetRuntime(Compiled, Identity, Previous.get(), readSteadyClock()));
  Next->limitConnections(this->Upstreams, Previous.get());
  this->Proxy->configure(*Compiled);
  this->Fleet.set(Next);
  this->Leaving->apply();
}

/// Rebuilds the runtime if the membership has changed, because each daemon's
/// subset of servers depends on it.
void Daemon::Impl::rebuildIfMembersChanged() {
  const FleetRuntimeRef Current = this->Fleet.get();
  if (!Current || this->BuiltForMembers == this->Members->getWorkingVersion())
    return;
  this->applyConfig(FleetConfigRef(&Current->getConfig()));
}

void Daemon::Impl::housekeep() {
  const TimePoint Now = readSteadyClock();
  this->rebuildIfMembersChanged();
  const Duration Paused = this->Pauses.recordRound(Now);
  if (Paused > Duration::zero()) {
    this->Counters.add(Counter::ProcessPauses);
    logWarning("stood-still", "ms={}", toMillis(Paused));
  }
  // Servers may have closed idle connections while the process was paused.
  this->Upstreams.closeIdle(
      Paused > Duration::zero() ? Now : Now - UpstreamIdleLimit, Now);
  this->Caller->closeIdle(Now);
  this->Proxy->forgetIdle(Now);
  this->Notices->forgetOld(Now);
}

void Daemon::Impl::handleControl(HttpExchange &Exchange) {
  const std::string &Target = Exchange.Request.target;
  Exchange.Stream.setDeadline(readSteadyClock() + fromSeconds(10));
  if (Target == CallPath) {
    serveCall(Exchange, *this->Verifier, this->VerifierMutex, this->Dispatcher,
              this->Counters);
    return;
  }
  TunnelResponder *const Answers = this->TunnelAnswers;
  if (Target == TunnelPath && Answers) {
    Answers->handle(Exchange);
    return;
  }
  if (Target == "/live") {
    Exchange.Response.set_content("live\n", "text/plain");
    return;
  }
  if (Target == "/ready") {
    const bool IsReady = !this->IsStopping && this->Fleet.get() != nullptr;
    Exchange.Response.status = IsReady ? 200 : 503;
    Exchange.Response.set_content(IsReady ? "ready\n" : "not ready\n",
                                  "text/plain");
    return;
  }
  if (Target == "/metrics") {
    Exchange.Response.set_content(this->Operators->formatMetrics(),
                                  "text/plain");
    return;
  }
  Exchange.Response.status = 404;
}

void Daemon::Impl::beginStop() {
  this->IsStopping = true;
  this->Tunnels->beginStop();
  logInfo("daemon-stopping", "in-flight={}", this->Callers->countInFlight());
  this->Members->leave();
}

bool Daemon::Impl::finishStop(TimePoint Deadline) {
  const bool AllEnded = this->Callers->stopGracefully(Deadline);
  this->stopAgents();
  // Writes pending results of claimed requests: here, and again below once all
  // calls have ended.
  this->Claims->runRound();
  this->Calls->stop();
  this->Quotas->stop();
  this->Claims->runRound();
  // Tunnels of peers may last longer than calls.
  this->Control->stopGracefully(
      std::max(Deadline, readSteadyClock() + fromSeconds(1)));
  logInfo("daemon-stopped", "all-ended={}", AllEnded);
  return AllEnded;
}

Daemon::Daemon(DaemonConfig Config)
    : Implementation(std::make_unique<Impl>(std::move(Config))) {}

Daemon::~Daemon() = default;

Result<void> Daemon::start() { return this->Implementation->start(); }

void Daemon::beginStop() { this->Implementation->beginStop(); }

bool Daemon::finishStop(TimePoint Deadline) {
  return this->Implementation->finishStop(Deadline);
}

uint16_t Daemon::getCallerPort() const {
  return this->Implementation->Callers->getPort();
}

uint16_t Daemon::getControlPort() const {
  return this->Implementation->Control->getPort();
}

} // namespace canvaswick
