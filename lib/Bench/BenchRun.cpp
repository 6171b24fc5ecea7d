//===- BenchRun.cpp - Event simulation of the policy benchmark ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Processes arrivals, attempts, answers and ticks as events in order of time.
///
//===----------------------------------------------------------------------===//

#include "BenchRun.h"

#include <fmt/format.h>

#include <algorithm>

namespace canvaswick {

static constexpr Duration TickInterval = fromMillis(100);
static constexpr size_t Owners = 2;
static constexpr int64_t RetryPercent = 10;
static constexpr int MaxAttempts = 2;

static std::vector<ActiveFault> drawFaultsOf(const Scenario &Spec,
                                             uint64_t Seed) {
  RandomSource Random(Seed * 4 + 3);
  return drawFaults(Spec, Random);
}

BenchRun::BenchRun(const Scenario &Spec, PolicyKind Kind, uint64_t Seed)
    : Spec(Spec), Kind(Kind), Seed(Seed), Arrivals(Seed * 4),
      Service(Seed * 4 + 1), Choices(Seed * 4 + 2), Network(Seed * 4 + 5),
      Servers(Spec, drawFaultsOf(Spec, Seed), this->Service),
      Observer(Spec, this->Servers) {
  this->makeDaemons(Kind);
}

void BenchRun::schedule(TimePoint At, std::function<void()> Run) {
  this->Events.push({At, this->NextOrder++, std::move(Run)});
}

void BenchRun::makeDaemons(PolicyKind Kind) {
  std::vector<PolicyServer> PolicyServers;
  std::vector<PooledServer> Pooled;
  for (int I = 0; I < this->Spec.Servers; ++I) {
    const ServerId Id = getServerId("bench", fmt::format("s{}", I));
    Pooled.push_back({Id, this->Spec.Slots});
    PolicyServers.push_back({Id, this->Spec.Slots});
  }
  const std::vector<std::string> &Halls = this->Spec.Halls;
  for (int D = 0; D < this->Spec.Daemons; ++D) {
    const std::string Name = fmt::format("d{:03}", D);
    const std::string &Hall = Halls[static_cast<size_t>(D) % Halls.size()];
    std::vector<SelectableServer> Selectable;
    for (int I = 0; I < this->Spec.Servers; ++I) {
      SelectableServer Server;
      Server.Slots = this->Spec.Slots;
      Server.ConcurrencyLimit = this->Spec.Slots;
      Server.IsSameHall = Halls[static_cast<size_t>(I) % Halls.size()] == Hall;
      Server.FirstSeen = TimePoint{} - fromSeconds(3600);
      Selectable.push_back(Server);
    }
    PolicySetup Setup{"bench",
                      Name,
                      Hall,
                      this->Spec.Preference,
                      this->Spec.FloorPercent,
                      fromSeconds(20),
                      0,
                      PolicyServers,
                      {}};
    this->Daemons.push_back(
        {Name,
         Hall,
         makeHealthPolicy(Kind, std::move(Setup)),
         ServerSelector(std::move(Selectable), fromSeconds(10)),
         LatencyTracker(Duration::zero()),
         RetryBudget(this->Spec.IsRepeatable ? RetryPercent : 0),
         {},
         nullptr});
  }
  if (Kind != PolicyKind::Pooled)
    return;
  for (size_t D = 0; D < std::min(Owners, this->Daemons.size()); ++D)
    this->Daemons[D].Pool = std::make_unique<EvidencePool>(
        "bench", this->Daemons[D].Name, getTuning(this->Spec.Preference),
        Pooled, this->Spec.FloorPercent, 0);
  for (size_t D = 0; D < std::min(Owners, this->Daemons.size()); ++D)
    this->Daemons[D].Pool->setRank(static_cast<uint32_t>(D));
}

void BenchRun::arrive() {
  std::exponential_distribution<double> Gap(this->Spec.RequestsPerSecond);
  this->schedule(this->Now + fromSeconds(Gap(this->Arrivals)),
                 [this] { this->arrive(); });
  std::uniform_int_distribution<size_t> Which(0, this->Daemons.size() - 1);
  auto Request = std::make_shared<BenchRequest>();
  Request->Daemon = Which(this->Arrivals);
  Request->Began = this->Now;
  Request->Deadline = this->Now + this->Spec.Deadline;
  ++this->Result.Requests;
  this->Daemons[Request->Daemon].Retries.recordRequest(this->Now);
  this->tryRequest(std::move(Request));
}

void BenchRun::tryRequest(std::shared_ptr<BenchRequest> Request) {
  BenchDaemon &Daemon = this->Daemons[Request->Daemon];
  const int Picked = Daemon.Selector.pick(this->getShares(Daemon), {},
                                          this->Now, this->Choices);
  if (Picked < 0) {
    ++this->Failed;
    return;
  }
  ++Request->Tries;
  auto Attempt = std::make_shared<BenchAttempt>();
  Attempt->Server = static_cast<size_t>(Picked);
  Attempt->Began = this->Now;
  Daemon.Selector.begin(Attempt->Server);
  Daemon.InFlight.push_back(Attempt);
  const FakeAnswer Answer = this->Servers.serve(
      Attempt->Server, Request->Daemon, this->Now, Request->Deadline);
  const bool IsTimely = Answer.At <= Request->Deadline;
  const RequestOutcome Outcome =
      IsTimely ? Answer.Outcome : RequestOutcome::Failed;
  this->schedule(IsTimely ? Answer.At : Request->Deadline,
                 [this, Request, Attempt, Outcome] {
                   this->endAttempt(Request, Attempt, Outcome);
                 });
}

void BenchRun::endAttempt(const std::shared_ptr<BenchRequest> &Request,
                          const std::shared_ptr<BenchAttempt> &Attempt,
                          RequestOutcome Outcome) {
  BenchDaemon &Daemon = this->Daemons[Request->Daemon];
  Attempt->IsEnded = true;
  Daemon.Selector.end(Attempt->Server, Outcome, this->Now);
  const Duration Took = this->Now - Attempt->Began;
  RequestOutcome Evidence = Outcome;
  const bool IsSlow = Took > Daemon.Latency.getSlowThreshold();
  if (Outcome == RequestOutcome::Good && IsSlow)
    Evidence = RequestOutcome::Slow;
  if (Outcome == RequestOutcome::Good)
    Daemon.Latency.add(Took);
  if (Evidence != RequestOutcome::Slow || !Attempt->IsRecordedSlow)
    recordOutcome(Daemon.Policy, Attempt->Server, Evidence, this->Now);
  if (Outcome == RequestOutcome::Good) {
    if (IsSlow)
      ++this->Late;
    return;
  }
  // A shed request was not executed, so it may be retried even if the service
  // is not repeatable.
  const bool MayRetry =
      Request->Tries < MaxAttempts && this->Now < Request->Deadline &&
      (Outcome == RequestOutcome::Shed ||
       (this->Spec.IsRepeatable && Daemon.Retries.tryTake(this->Now)));
  if (MayRetry)
    this->tryRequest(Request);
  else
    ++this->Failed;
}

void BenchRun::tickDaemon(BenchDaemon &Daemon) {
  std::erase_if(Daemon.InFlight,
                [](const auto &Attempt) { return Attempt->IsEnded; });
  const Duration SlowAfter = Daemon.Latency.getSlowThreshold();
  for (const std::shared_ptr<BenchAttempt> &Attempt : Daemon.InFlight) {
    if (Attempt->IsRecordedSlow || this->Now - Attempt->Began <= SlowAfter)
      continue;
    Attempt->IsRecordedSlow = true;
    recordOutcome(Daemon.Policy, Attempt->Server, RequestOutcome::Slow,
                  this->Now);
  }
  for (int I = 0; I < this->Spec.Servers; ++I) {
    const auto Server = static_cast<size_t>(I);
    setLeaving(Daemon.Policy, Server,
               this->Servers.isLeaving(Server, this->Now), this->Now);
  }
  advancePolicy(Daemon.Policy, this->Now);
  this->exchange(Daemon);
}

void BenchRun::tick() {
  this->schedule(this->Now + TickInterval, [this] { this->tick(); });
  for (BenchDaemon &Daemon : this->Daemons)
    this->tickDaemon(Daemon);
  this->observe();
}

void BenchRun::observe() {
  ShareTable Shares;
  Shares.reserve(this->Daemons.size());
  for (const BenchDaemon &Daemon : this->Daemons)
    Shares.push_back(this->getShares(Daemon));
  this->Observer.observe(Shares, this->Now, TickInterval);
}

std::vector<double> BenchRun::getShares(const BenchDaemon &Daemon) const {
  std::vector<double> Shares;
  Shares.reserve(static_cast<size_t>(this->Spec.Servers));
  for (int I = 0; I < this->Spec.Servers; ++I)
    Shares.push_back(getShare(Daemon.Policy, static_cast<size_t>(I)));
  return Shares;
}

BenchResult BenchRun::summarize() const {
  BenchResult Out = this->Result;
  Out.Scenario = this->Spec.Name;
  Out.Policy = getName(this->Kind);
  Out.Seed = this->Seed;
  this->Observer.summarize(Out);
  const auto Requests =
      static_cast<double>(std::max<uint64_t>(1, Out.Requests));
  Out.FailedShare = static_cast<double>(this->Failed) / Requests;
  Out.LateShare = static_cast<double>(this->Late) / Requests;
  // Each byte counts twice: at the daemon that sends it and at the receiver.
  Out.ControlBytesPerSecond = 2 * static_cast<double>(this->ControlBytes) /
                              toSeconds(this->Spec.Length) /
                              static_cast<double>(this->Daemons.size());
  return Out;
}

BenchResult BenchRun::run() {
  this->schedule(this->Now, [this] { this->arrive(); });
  this->schedule(this->Now, [this] { this->tick(); });
  const TimePoint End = TimePoint{} + this->Spec.Length;
  while (!this->Events.empty() && this->Events.top().At < End) {
    const Event Next = this->Events.top();
    this->Events.pop();
    this->Now = Next.At;
    Next.Run();
  }
  return this->summarize();
}

} // namespace canvaswick
