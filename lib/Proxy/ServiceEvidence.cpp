//===- ServiceEvidence.cpp - Health evidence of one service ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of ServiceRuntime that records outcomes as evidence of server
/// health, exchanges evidence with peers and explains the result. The health
/// policy determines which exchanges apply; the others do nothing.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/ServiceRuntime.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace canvaswick {

/// An Estimate expresses its probability in thousandths and its load in tenths.
static constexpr int EstimateParts = 1000;
static constexpr double LoadParts = 10;

/// Units per one in a reported latency ratio, and the largest ratio reported.
static constexpr double LatencyRatioParts = 100;
static constexpr double MaxLatencyRatio = 100;

std::vector<double> ServiceRuntime::getLoads(TimePoint Now) const {
  std::vector<double> Loads(this->countServers(), 0);
  const auto *Markov = std::get_if<MarkovPolicy>(&this->Policy);
  if (!Markov || !this->isOn(Mechanism::LoadFactor))
    return Loads;
  for (size_t I = 0; I < Loads.size(); ++I)
    Loads[I] = Markov->getInFlight().getLoad(I, Now);
  return Loads;
}

/// Adds an attempt to the requests that this daemon has in flight.
void ServiceRuntime::beginInFlight(Attempt &Next, const AttemptNeeds &Needs,
                                   TimePoint Now) {
  auto *Markov = std::get_if<MarkovPolicy>(&this->Policy);
  if (!Markov)
    return;
  Markov->recordUse(Next.Server, Now);
  InFlightTable &InFlight = Markov->getInFlight();
  Next.UnhealthyProbability = Markov->getUnhealthyProbability(Next.Server, Now);
  Next.ServerLoad = InFlight.getLoad(Next.Server, Now);
  Next.QueueFactor =
      getQueueFactor(Next.ServerLoad, this->getServer(Next.Server).Slots);
  Next.TypicalTime = this->Latency.getTypicalTime(Next.Route, Needs.Objective);
  const double TypicalTime = toSeconds(Next.TypicalTime) * Next.QueueFactor;
  Next.InFlightNumber =
      InFlight.begin({Next.Server, Now, fromSeconds(TypicalTime)});
}

/// Returns how long an attempt took, in percent of the typical time of such a
/// request at its place in the queue, or -1 if that time is unknown.
int ServiceRuntime::computeLatencyRatioPercent(const Attempt &Ended,
                                               TimePoint Now) const {
  const double TypicalTime = toSeconds(Ended.TypicalTime) * Ended.QueueFactor;
  if (TypicalTime <= 0)
    return -1;
  const double LatencyRatio = toSeconds(Now - Ended.Began) / TypicalTime;
  return static_cast<int>(
      std::lround(std::min(LatencyRatio, MaxLatencyRatio) * LatencyRatioParts));
}

void ServiceRuntime::appendInFlight(std::vector<InFlightReport> &Reports,
                                    TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto *Markov = std::get_if<MarkovPolicy>(&this->Policy);
  if (!Markov)
    return;
  for (const InFlightRequest &Each : Markov->getInFlight().getLocalRequests()) {
    // Another thread may have begun a request after the caller took Now.
    const Duration Age = std::max(Duration::zero(), Now - Each.Began);
    Reports.push_back({this->Ids[Each.Server], static_cast<int>(toMillis(Age)),
                       static_cast<int>(toMillis(Each.TypicalTime))});
  }
}

void ServiceRuntime::applyPeerInFlight(
    const std::string &Daemon, uint64_t Sequence,
    const std::vector<InFlightReport> &Reports, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto *Markov = std::get_if<MarkovPolicy>(&this->Policy);
  if (!Markov)
    return;
  std::vector<InFlightRequest> Known;
  for (const InFlightReport &Each : Reports) {
    const int Server = Markov->findServer(Each.Server);
    if (Server >= 0)
      Known.push_back({static_cast<size_t>(Server),
                       Now - fromMillis(Each.AgeMs),
                       fromMillis(Each.TypicalMs)});
  }
  Markov->getInFlight().replacePeer(Daemon, Sequence, Known, Now);
}

/// Counts an attempt as slow before it ends. Only for the policy that does not
/// track requests in flight.
static void countIfSlow(PooledPolicy &Policy, Attempt &Each, Duration SlowAfter,
                        TimePoint Now) {
  if (Each.IsCountedSlow || Each.IsDisregarded || Now - Each.Began <= SlowAfter)
    return;
  Each.IsCountedSlow = true;
  Policy.recordOutcome(Each.Server, RequestOutcome::Slow, Now);
}

void ServiceRuntime::advance(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->updateHalls(Now);
  this->updateLeaving(Now);
  if (auto *Pooled = std::get_if<PooledPolicy>(&this->Policy))
    for (Attempt &Each : this->Attempts)
      countIfSlow(*Pooled, Each, this->Latency.getSlowThreshold(Each.Route),
                  Now);
  std::visit([Now](auto &ActivePolicy) { ActivePolicy.advance(Now); },
             this->Policy);
}

void ServiceRuntime::disregardDirectAttempts() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto *Markov = std::get_if<MarkovPolicy>(&this->Policy);
  for (Attempt &Each : this->Attempts) {
    if (Each.IsThroughPeer)
      continue;
    Each.IsDisregarded = true;
    // Otherwise peers would take the servers for unhealthy and loaded.
    if (Markov)
      Markov->getInFlight().end(Each.InFlightNumber);
  }
}

bool ServiceRuntime::isDisregarded(const Attempt &Each) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return Each.IsDisregarded;
}

/// An attempt without a response is silent from this multiple of its typical
/// time on, which one good answer in a hundred takes too, but not before
/// MinSilence.
static constexpr double SilenceRatio = 3;
static constexpr Duration MinSilence = fromMillis(200);

std::optional<TimePoint> ServiceRuntime::findSilence(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::optional<TimePoint> Latest;
  for (const Attempt &Each : this->Attempts) {
    const Duration Known =
        this->Latency.getTypicalTime(Each.Route, Duration::zero());
    const Duration Usual =
        fromSeconds(toSeconds(Known) * Each.QueueFactor * SilenceRatio);
    const bool IsSilent = !Each.IsThroughPeer && !Each.IsDisregarded &&
                          Now - Each.Began > std::max(Usual, MinSilence);
    if (IsSilent && (!Latest || Each.Began > *Latest))
      Latest = Each.Began;
  }
  return Latest;
}

void ServiceRuntime::recordLoadReport(size_t Server, double Load,
                                      TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Selector.recordReportedLoad(Server, Load, Now);
}

std::vector<Observation> ServiceRuntime::drainLocalObservations(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (auto *Markov = std::get_if<MarkovPolicy>(&this->Policy))
    return Markov->drainObservations(Now);
  return {};
}

bool ServiceRuntime::hasUrgentObservation() const {
  if (!this->hasManyServers())
    return false;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto *Markov = std::get_if<MarkovPolicy>(&this->Policy);
  return Markov && Markov->hasUrgentObservation();
}

/// Returns the index of a server that a peer has named, or -1. Markov is null
/// if another policy is in use.
static int findServer(const MarkovPolicy *Markov, ServerId Id) {
  return Markov ? Markov->findServer(Id) : -1;
}

void ServiceRuntime::applyObservation(const Observation &Seen, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto *Markov = std::get_if<MarkovPolicy>(&this->Policy);
  const int Server = findServer(Markov, Seen.Server);
  if (Server < 0)
    return;
  const auto Index = static_cast<size_t>(Server);
  Markov->applyObservation(Index, Seen.Outcome, Now, Seen.LatencyRatioPercent,
                           fromMillis(Seen.AgeMs));
  if (Seen.Load >= 0)
    Markov->getInFlight().recordReportedLoad(Index, Seen.Load, Now);
}

/// How much more a server that is worse than typical matters than one that is
/// as much better: requests that go there are lost.
static constexpr int WorseWeight = 4;

/// Returns how much an estimate tells a daemon without information, which
/// assumes TypicalPerMille.
static int getNewsValue(const HealthEstimate &Given, int TypicalPerMille) {
  const int Distance = Given.PerMille - TypicalPerMille;
  return Distance > 0 ? Distance * WorseWeight : -Distance;
}

/// Keeps the MaxCount estimates that tell most.
static void keepMostTelling(std::vector<HealthEstimate> &Estimates,
                            size_t MaxCount, int TypicalPerMille) {
  if (Estimates.size() <= MaxCount)
    return;
  std::nth_element(
      Estimates.begin(),
      Estimates.begin() + static_cast<std::ptrdiff_t>(MaxCount),
      Estimates.end(),
      [&](const HealthEstimate &Left, const HealthEstimate &Right) {
        return getNewsValue(Left, TypicalPerMille) >
               getNewsValue(Right, TypicalPerMille);
      });
  Estimates.resize(MaxCount);
}

/// Returns the most telling estimates of the servers for whose index Wants
/// returns true.
template <typename Predicate>
std::vector<HealthEstimate>
ServiceRuntime::makeEstimates(const MarkovPolicy &Markov, size_t MaxCount,
                              TimePoint Now, Predicate Wants) const {
  std::vector<HealthEstimate> Estimates;
  for (size_t I = 0; I < this->countServers(); ++I)
    if (Wants(I))
      Estimates.push_back(
          {this->Ids[I],
           static_cast<int>(Markov.getUnhealthyProbability(I, Now) *
                            EstimateParts),
           static_cast<int>(
               std::lround(Markov.getInFlight().getLoad(I, Now) * LoadParts))});
  keepMostTelling(
      Estimates, MaxCount,
      static_cast<int>(Markov.getTypicalProbability() * EstimateParts));
  return Estimates;
}

std::vector<HealthEstimate>
ServiceRuntime::getSameHallEstimates(size_t MaxCount, TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (const auto *Markov = std::get_if<MarkovPolicy>(&this->Policy))
    return this->makeEstimates(*Markov, MaxCount, Now, [this](size_t Server) {
      return this->Selector.isSameHall(Server);
    });
  return {};
}

std::vector<HealthEstimate>
ServiceRuntime::getUsedEstimates(size_t MaxCount, TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (const auto *Markov = std::get_if<MarkovPolicy>(&this->Policy))
    return this->makeEstimates(*Markov, MaxCount, Now, [Markov](size_t Server) {
      return Markov->isUsed(Server);
    });
  return {};
}

/// Returns the probability that an estimate carries.
static double getUnhealthyProbability(const HealthEstimate &Given) {
  return Given.PerMille / static_cast<double>(EstimateParts);
}

void ServiceRuntime::applySameHallEstimates(
    const std::vector<HealthEstimate> &Given, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto *Markov = std::get_if<MarkovPolicy>(&this->Policy);
  for (const HealthEstimate &Each : Given) {
    const int Server = findServer(Markov, Each.Server);
    if (Server >= 0)
      Markov->applySameHallEstimate(static_cast<size_t>(Server),
                                    getUnhealthyProbability(Each), Now);
  }
}

void ServiceRuntime::applyRemoteEstimates(
    const std::vector<HealthEstimate> &Given, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto *Markov = std::get_if<MarkovPolicy>(&this->Policy);
  for (const HealthEstimate &Each : Given) {
    const int Server = findServer(Markov, Each.Server);
    // This daemon has better evidence of the servers in its own hall.
    if (Server >= 0 && !this->Selector.isSameHall(static_cast<size_t>(Server)))
      Markov->applyRemoteEstimate(static_cast<size_t>(Server),
                                  getUnhealthyProbability(Each), Now,
                                  Each.LoadTenths / LoadParts);
  }
}

ServerId ServiceRuntime::getId() const {
  return static_cast<ServerId>(hashText(this->Config.Name));
}

HallFailureRate ServiceRuntime::getFailureRate(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  HallFailureRate Rate;
  if (const auto *Markov = std::get_if<MarkovPolicy>(&this->Policy))
    Rate = Markov->getFailureRate(Now);
  Rate.Service = this->getId();
  return Rate;
}

void ServiceRuntime::applyFailureRate(const std::string &Hall,
                                      const HallFailureRate &Rate,
                                      TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto *Markov = std::get_if<MarkovPolicy>(&this->Policy);
  if (Markov && Rate.Service == this->getId())
    Markov->applyFailureRate(Hall, Rate, Now);
}

std::optional<EvidenceReport> ServiceRuntime::makeReport(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (auto *Pooled = std::get_if<PooledPolicy>(&this->Policy))
    return Pooled->makeReport(Now);
  return std::nullopt;
}

void ServiceRuntime::applySummary(const EvidenceSummary &Summary,
                                  TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (auto *Pooled = std::get_if<PooledPolicy>(&this->Policy))
    Pooled->applySummary(Summary, Now);
}

ShareExplanation ServiceRuntime::explain(size_t Server, TimePoint Now) const {
  ShareExplanation Why;
  if (const auto *Markov = std::get_if<MarkovPolicy>(&this->Policy))
    Why = Markov->explain(Server, Now);
  else
    Why = std::get<PooledPolicy>(this->Policy).explain(Server);
  this->explainNotice(Server, Why, Now);
  if (this->LeavingByHall[Server])
    Why.Reason = ShareReason::HallDrained;
  return Why;
}

std::vector<ServerStatus> ServiceRuntime::describe(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<ServerStatus> All;
  for (size_t I = 0; I < this->countServers(); ++I) {
    const ServerConfig &Server = this->getServer(I);
    All.push_back({Server.Name, Server.Address, this->Selector.countInFlight(I),
                   this->explain(I, Now)});
  }
  return All;
}

} // namespace canvaswick
