//===- UsableQuota.cpp - The usable part of a fleet quota -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of FleetQuota that computes, from liveness and typical rates, how
/// much of an organisation's bucket this daemon and those it hears from may
/// use, and refills the bucket accordingly.
///
//===----------------------------------------------------------------------===//

#include "QuotaTimes.h"
#include "canvaswick/Admission/FleetQuota.h"

#include <algorithm>

namespace canvaswick {

/// A hall whose last report is older than this is assumed to have risen by the
/// same factor as the demand at this hall.
static constexpr Duration FreshReportAge = fromMillis(100);

/// Unreported admissions are estimated for at most this time since the last
/// message; later the source counts as silent.
static constexpr Duration MaxUnreportedTime = fromMillis(700);

/// While more than this fraction of the fleet is silent, typical rates are not
/// updated. The daemons that are heard from also use the rate that is typically
/// unused, and if that became their typical rate, less would be reserved for
/// the silent ones than these use.
static constexpr double FreezeFraction = 0.05;

/// The typical rates known on the two sides of a partition differ by the last
/// reports; while a part of the fleet is silent, each side uses this fraction
/// of its share.
static constexpr double PartitionedFraction = 0.95;

/// A daemon that is cut off has a bucket of at least one request, since less is
/// of no use.
static constexpr double MinUsableCapacity = 1;

/// Returns the typical rate, in requests a second, of a source that was last
/// heard from at HeardAt. The rate from before it fell silent remains its
/// typical rate.
double FleetQuota::getTypicalRate(const Account &Bucket,
                                  const SmoothedRate &Typical,
                                  TimePoint HeardAt, TimePoint Now) const {
  const TimePoint Until = std::min(Now, HeardAt + QuotaReportInterval);
  return Typical.get(this->FrozenAt ? std::min(Until, *this->FrozenAt) : Until,
                     Bucket.FirstSeenAt);
}

double FleetQuota::getTypicalRate(const Account &Bucket,
                                  const SourceUsage &Each,
                                  TimePoint Now) const {
  return this->getTypicalRate(Bucket, Each.Typical,
                              this->Liveness.get(Each.Source).HeardAt, Now);
}

double FleetQuota::getLocalTypicalRate(const Account &Bucket,
                                       TimePoint Now) const {
  return this->getTypicalRate(Bucket, Bucket.Typical, Now, Now);
}

/// Returns whether the source of a report has left the fleet. Its demand has
/// moved to other daemons, or ended.
bool FleetQuota::hasLeft(const SourceUsage &Each, TimePoint Now) const {
  return this->Liveness.hasLeft(this->Liveness.get(Each.Source), Now);
}

void FleetQuota::addTypical(SmoothedRate &Typical, double Amount,
                            TimePoint Now) const {
  if (!this->FrozenAt)
    Typical.add(Amount, Now);
}

void FleetQuota::updateFreeze(TimePoint Now) {
  const bool IsFrozen =
      static_cast<double>(this->Liveness.countSilent(Now)) >
      FreezeFraction * static_cast<double>(this->Liveness.countDaemons());
  if (!IsFrozen)
    this->FrozenAt.reset();
  else if (!this->FrozenAt)
    this->FrozenAt = Now;
}

/// Returns the demand at this hall in requests a second.
double FleetQuota::getHallDemand(const Account &Bucket, TimePoint Now) const {
  double Demand = Bucket.Demand.getRate(Now);
  for (const SourceUsage &Each : Bucket.SourceUsages)
    if (!this->Liveness.get(Each.Source).IsHall &&
        !this->Liveness.hasTimedOut(this->Liveness.get(Each.Source), Now))
      Demand += Each.Demand;
  return Demand;
}

/// Returns the demand at this hall divided by its typical demand, at least 1.
/// Other halls have probably risen alike, though they have not reported it yet.
double FleetQuota::getDemandRatio(const Account &Bucket, TimePoint Now) const {
  double Typical = this->getLocalTypicalRate(Bucket, Now);
  for (const SourceUsage &Each : Bucket.SourceUsages)
    if (!this->Liveness.get(Each.Source).IsHall && !this->hasLeft(Each, Now))
      Typical += this->getTypicalRate(Bucket, Each, Now);
  const double Seconds = toSeconds(DemandTimeConstant);
  const double Demand = this->getHallDemand(Bucket, Now) * Seconds;
  return std::max(1.0, (Demand + PriorRequests) /
                           (Typical * Seconds + PriorRequests));
}

/// Adds the possible demand at halls that have not reported since this daemon
/// started, assuming as much for each of their daemons as at this hall.
void FleetQuota::addUnreportedHalls(const Account &Bucket, UsableQuota &Usable,
                                    TimePoint Now) const {
  const double PerDaemon =
      this->getHallDemand(Bucket, Now) /
      static_cast<double>(this->Liveness.countHallPeers() + 1);
  for (const FleetLiveness::Source &Each : this->Liveness.getAll()) {
    if (!Each.IsHall || !Each.IsListed || Each.HasReported)
      continue;
    const double Demand = PerDaemon * static_cast<double>(Each.Daemons);
    Usable.Demand += Demand;
    Usable.Unreported +=
        Demand * toSeconds(std::min(Now - Each.HeardAt, MaxUnreportedTime));
  }
}

FleetQuota::UsableQuota FleetQuota::computeUsable(const Account &Bucket,
                                                  TimePoint Now) const {
  UsableQuota Usable;
  Usable.Demand = Bucket.Demand.getRate(Now);
  const double DemandRatio = this->getDemandRatio(Bucket, Now);
  double Typical = this->getLocalTypicalRate(Bucket, Now);
  double SilentTypical = 0;
  double HallTypical = 0;
  this->addUnreportedHalls(Bucket, Usable, Now);
  for (const SourceUsage &Each : Bucket.SourceUsages) {
    const FleetLiveness::Source &State = this->Liveness.get(Each.Source);
    if (this->hasLeft(Each, Now))
      continue;
    const double Rate = this->getTypicalRate(Bucket, Each, Now);
    Typical += Rate;
    if (this->Liveness.isSilent(State, Now)) {
      SilentTypical += Rate;
      HallTypical += State.IsHall ? 0 : Rate;
      continue;
    }
    const Duration Age = Now - Each.ReportedAt;
    const bool MayHaveRisen = State.IsHall && Age > FreshReportAge;
    const double Demand =
        MayHaveRisen ? std::max(Each.Demand, Rate * DemandRatio) : Each.Demand;
    Usable.Demand += Demand;
    Usable.Unreported +=
        Demand * toSeconds(std::min(Now - State.HeardAt, MaxUnreportedTime));
  }
  size_t HallSilent = 0;
  for (const FleetLiveness::Source &Each : this->Liveness.getAll()) {
    if (!this->Liveness.isSilent(Each, Now))
      continue;
    Usable.Silent += Each.Daemons;
    HallSilent += Each.IsHall ? 0 : 1;
  }
  const double Scale = Typical > Bucket.Rate ? Bucket.Rate / Typical : 1;
  const double SparePerDaemon =
      (Bucket.Rate - Typical * Scale) /
      static_cast<double>(this->Liveness.countDaemons());
  const double SilentReserved =
      SilentTypical * Scale +
      SparePerDaemon * static_cast<double>(Usable.Silent);
  Usable.HallReservedRate =
      HallTypical * Scale + SparePerDaemon * static_cast<double>(HallSilent);
  Usable.Rate = std::max(0.0, Bucket.Rate - SilentReserved);
  if (this->FrozenAt)
    Usable.Rate *= PartitionedFraction;
  Usable.Capacity = std::max(MinUsableCapacity, this->getCapacity(Bucket) *
                                                    Usable.Rate / Bucket.Rate);
  return Usable;
}

/// Recomputes the usable quota if it is older than MaxAge.
const FleetQuota::UsableQuota &FleetQuota::updateUsable(Account &Bucket,
                                                        Duration MaxAge,
                                                        TimePoint Now) const {
  if (Now - Bucket.UsableAt >= MaxAge) {
    Bucket.Usable = this->computeUsable(Bucket, Now);
    Bucket.UsableAt = Now;
  }
  return Bucket.Usable;
}

/// Refills the bucket at the usable rate. While a part of the fleet is silent,
/// UsableTokens holds a second, smaller bucket beside it: a daemon that is cut
/// off by mistake for a moment has lost nothing when that is over.
void FleetQuota::refill(Account &Bucket, TimePoint Now) const {
  const UsableQuota &Usable = Bucket.Usable;
  const double Seconds = std::max(0.0, toSeconds(Now - Bucket.RefilledAt));
  const double Capacity = this->getCapacity(Bucket);
  const double Refill = Usable.Rate * Seconds;
  Bucket.Tokens = std::min(Capacity, Bucket.Tokens + Refill);
  Bucket.HallReserved += Usable.HallReservedRate * Seconds;
  Bucket.RefilledAt = std::max(Bucket.RefilledAt, Now);
  if (Usable.Silent == 0)
    Bucket.UsableTokens.reset();
  else if (Bucket.UsableTokens)
    Bucket.UsableTokens =
        std::min(Usable.Capacity, *Bucket.UsableTokens + Refill);
  else
    // What was admitted before the silence was detected is charged already.
    Bucket.UsableTokens =
        Usable.Capacity * std::clamp(Bucket.Tokens / Capacity, 0.0, 1.0) -
        Bucket.Demand.get(Now);
}

/// Returns the tokens that this daemon may use.
double FleetQuota::getTokens(const Account &Bucket) {
  return std::min(Bucket.Tokens, Bucket.UsableTokens.value_or(Bucket.Tokens));
}

void FleetQuota::charge(Account &Bucket, double Requests) {
  Bucket.Tokens -= Requests;
  if (Bucket.UsableTokens)
    *Bucket.UsableTokens -= Requests;
}

} // namespace canvaswick
