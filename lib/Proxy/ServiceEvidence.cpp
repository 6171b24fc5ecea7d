//===- ServiceEvidence.cpp - What a service knows of its servers ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of ServiceRuntime that takes outcomes as evidence, exchanges it
/// with peers and explains what came of it. Which exchange applies is a matter
/// of the policy: the others do nothing.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/ServiceRuntime.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

/// An Estimate counts in thousandths.
static constexpr int EstimateParts = 1000;
static constexpr double LoadParts = 10;

/// Parts of one in a pace, and the largest that is told.
static constexpr double PaceParts = 100;
static constexpr double MostPace = 100;

std::vector<double> ServiceRuntime::getLoads(TimePoint Now) const {
  std::vector<double> Loads(this->countServers(), 0);
  const auto *Spells = std::get_if<SpellPolicy>(&this->Policy);
  if (!Spells || !this->isOn(Mechanism::LoadFactor))
    return Loads;
  for (size_t I = 0; I < Loads.size(); ++I)
    Loads[I] = Spells->getInFlight().getLoad(I, Now);
  return Loads;
}

/// Adds an attempt to what this daemon has in flight.
void ServiceRuntime::beginInFlight(Attempt &Next, const AttemptNeeds &Needs,
                                   TimePoint Now) {
  auto *Spells = std::get_if<SpellPolicy>(&this->Policy);
  if (!Spells)
    return;
  Spells->noteUse(Next.Server, Now);
  InFlightTable &InFlight = Spells->getInFlight();
  Next.Sickness = Spells->getSickness(Next.Server, Now);
  Next.ServerLoad = InFlight.getLoad(Next.Server, Now);
  Next.QueueFactor =
      getQueueFactor(Next.ServerLoad, this->getServer(Next.Server).Slots);
  Next.Usual = this->Latency.getUsual(Next.Route, Needs.Objective);
  const double Usual = toSeconds(Next.Usual) * Next.QueueFactor;
  Next.InFlightNumber = InFlight.begin({Next.Server, Now, fromSeconds(Usual)});
}

/// Returns how long an attempt took, in percent of what is usual for its kind
/// and place in the queue, or -1 if that is not known.
int ServiceRuntime::computePacePercent(const Attempt &Ended,
                                       TimePoint Now) const {
  const double Usual = toSeconds(Ended.Usual) * Ended.QueueFactor;
  if (Usual <= 0)
    return -1;
  const double Pace = toSeconds(Now - Ended.Began) / Usual;
  return static_cast<int>(std::lround(std::min(Pace, MostPace) * PaceParts));
}

void ServiceRuntime::appendInFlight(std::vector<InFlightReport> &Reports,
                                    TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto *Spells = std::get_if<SpellPolicy>(&this->Policy);
  if (!Spells)
    return;
  for (const InFlightRequest &Each : Spells->getInFlight().getOwn())
    Reports.push_back({this->Ids[Each.Server],
                       static_cast<int>(toMillis(Now - Each.Began)),
                       static_cast<int>(toMillis(Each.Usual))});
}

void ServiceRuntime::applyPeerInFlight(
    const std::string &Daemon, uint64_t Sequence,
    const std::vector<InFlightReport> &Reports, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto *Spells = std::get_if<SpellPolicy>(&this->Policy);
  if (!Spells)
    return;
  std::vector<InFlightRequest> Known;
  for (const InFlightReport &Each : Reports) {
    const int Server = Spells->findServer(Each.Server);
    if (Server >= 0)
      Known.push_back({static_cast<size_t>(Server),
                       Now - fromMillis(Each.AgeMs), fromMillis(Each.UsualMs)});
  }
  Spells->getInFlight().replacePeer(Daemon, Sequence, Known, Now);
}

/// Counts an attempt as slow before it ends, for the policy that does not
/// follow what is in flight.
static void noteLate(PooledPolicy &Policy, Attempt &Each, Duration SlowAfter,
                     TimePoint Now) {
  if (Each.IsCountedSlow || Now - Each.Began <= SlowAfter)
    return;
  Each.IsCountedSlow = true;
  Policy.recordOutcome(Each.Server, RequestOutcome::Slow, Now);
}

void ServiceRuntime::advance(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->updateLeaving(Now);
  if (auto *Pooled = std::get_if<PooledPolicy>(&this->Policy))
    for (Attempt &Each : this->Attempts)
      noteLate(*Pooled, Each, this->Latency.getSlowAfter(Each.Route), Now);
  std::visit([Now](auto &Own) { Own.advance(Now); }, this->Policy);
}

void ServiceRuntime::recordLoadReport(size_t Server, double Load,
                                      TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Selector.noteReportedLoad(Server, Load, Now);
}

std::vector<Observation> ServiceRuntime::drainLocalObservations() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (auto *Spells = std::get_if<SpellPolicy>(&this->Policy))
    return Spells->takeNews();
  return {};
}

/// Returns the index of a server that peers speak of, or -1. Spells is null
/// where another policy judges.
static int findServer(const SpellPolicy *Spells, ServerId Id) {
  return Spells ? Spells->findServer(Id) : -1;
}

void ServiceRuntime::takeObservation(const Observation &Seen, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto *Spells = std::get_if<SpellPolicy>(&this->Policy);
  const int Server = findServer(Spells, Seen.Server);
  if (Server < 0)
    return;
  const auto Index = static_cast<size_t>(Server);
  Spells->takeObservation(Index, Seen.Outcome, Now, Seen.PacePercent);
  if (Seen.Load >= 0)
    Spells->getInFlight().noteReportedLoad(Index, Seen.Load, Now);
}

/// Returns what Spells thinks of the servers that Wants picks, by their index.
template <typename Predicate>
std::vector<Estimate> ServiceRuntime::makeEstimates(const SpellPolicy &Spells,
                                                    TimePoint Now,
                                                    Predicate Wants) const {
  std::vector<Estimate> Estimates;
  for (size_t I = 0; I < this->countServers(); ++I)
    if (Wants(I))
      Estimates.push_back(
          {this->Ids[I],
           static_cast<int>(Spells.getSickness(I, Now) * EstimateParts),
           static_cast<int>(
               std::lround(Spells.getInFlight().getLoad(I, Now) * LoadParts))});
  return Estimates;
}

std::vector<Estimate>
ServiceRuntime::getSameHallEstimates(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (const auto *Spells = std::get_if<SpellPolicy>(&this->Policy))
    return this->makeEstimates(*Spells, Now, [this](size_t Server) {
      return this->Selector.isSameHall(Server);
    });
  return {};
}

std::vector<Estimate> ServiceRuntime::getUsedEstimates(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (const auto *Spells = std::get_if<SpellPolicy>(&this->Policy))
    return this->makeEstimates(*Spells, Now, [Spells](size_t Server) {
      return Spells->isUsed(Server);
    });
  return {};
}

/// Returns the probability that an estimate tells.
static double getSickness(const Estimate &Given) {
  return Given.PerMille / static_cast<double>(EstimateParts);
}

void ServiceRuntime::takeNearEstimate(const Estimate &Given, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto *Spells = std::get_if<SpellPolicy>(&this->Policy);
  const int Server = findServer(Spells, Given.Server);
  if (Server >= 0)
    Spells->takeNearEstimate(static_cast<size_t>(Server), getSickness(Given),
                             Now);
}

void ServiceRuntime::takeEstimate(const Estimate &Given, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto *Spells = std::get_if<SpellPolicy>(&this->Policy);
  const int Server = findServer(Spells, Given.Server);
  // What happens near this daemon it knows better.
  if (Server >= 0 && !this->Selector.isSameHall(static_cast<size_t>(Server)))
    Spells->takeEstimate(static_cast<size_t>(Server), getSickness(Given), Now,
                         Given.LoadTenths / LoadParts);
}

ServerId ServiceRuntime::getId() const {
  return static_cast<ServerId>(hashText(this->Config.Name));
}

HallRate ServiceRuntime::getRate(TimePoint Now) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  HallRate Rate;
  if (const auto *Spells = std::get_if<SpellPolicy>(&this->Policy))
    Rate = Spells->getRate(Now);
  Rate.Service = this->getId();
  return Rate;
}

void ServiceRuntime::takeRate(const std::string &Hall, const HallRate &Rate,
                              TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  auto *Spells = std::get_if<SpellPolicy>(&this->Policy);
  if (Spells && Rate.Service == this->getId())
    Spells->takeRate(Hall, Rate, Now);
}

std::optional<EvidenceReport> ServiceRuntime::makeReport(TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (auto *Pooled = std::get_if<PooledPolicy>(&this->Policy))
    return Pooled->makeReport(Now);
  return std::nullopt;
}

void ServiceRuntime::takeDigest(const EvidenceDigest &Digest, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  if (auto *Pooled = std::get_if<PooledPolicy>(&this->Policy))
    Pooled->takeDigest(Digest, Now);
}

ShareExplanation ServiceRuntime::explain(size_t Server, TimePoint Now) const {
  ShareExplanation Why;
  if (const auto *Spells = std::get_if<SpellPolicy>(&this->Policy))
    Why = Spells->explain(Server, Now);
  else
    Why = std::get<PooledPolicy>(this->Policy).explain(Server);
  this->explainNotice(Server, Why, Now);
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
