//===- UsableQuota.cpp - What a daemon may use of a bucket ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of FleetQuota that works out, from who is heard and what is
/// usual, what this daemon and those that it hears may use of an organisation's
/// bucket, and fills it by that.
///
//===----------------------------------------------------------------------===//

#include "QuotaTimes.h"
#include "canvaswick/Admission/FleetQuota.h"

#include <algorithm>

namespace canvaswick {

/// What a hall told longer ago than this is taken to have risen as much as what
/// is known better has.
static constexpr Duration FreshFor = fromMillis(100);

/// What may have been admitted unheard is counted for this long at most; later
/// who is not heard counts as silent.
static constexpr Duration MostUnheard = fromMillis(700);

/// While more than this part of the fleet is silent, what is usual stays as it
/// was. Those that are heard use what is usually left beside, and if that
/// became usual for them, those that are not would be left less than they take.
static constexpr double FreezePart = 0.05;

/// What those on the two sides of a cut think usual differs by what they heard
/// last; while a part of the fleet is silent, each side uses this much of its
/// part.
static constexpr double KeptWhileApart = 0.95;

/// Who is cut off holds at least one request, since less is of no use.
static constexpr double LeastReach = 1;

/// Returns the requests a second that are usual of who was last heard at an
/// instant. What it did before it fell silent stays usual.
double FleetQuota::getUsualRate(const Account &Of, const SmoothedRate &Usual,
                                TimePoint HeardAt, TimePoint Now) const {
  const TimePoint Known = std::min(Now, HeardAt + QuotaReportInterval);
  return Usual.get(this->FrozenAt ? std::min(Known, *this->FrozenAt) : Known,
                   Of.Since);
}

double FleetQuota::getUsualRate(const Account &Of, const Part &Each,
                                TimePoint Now) const {
  return this->getUsualRate(Of, Each.Usual,
                            this->Heard.get(Each.Source).HeardAt, Now);
}

double FleetQuota::getOwnUsualRate(const Account &Of, TimePoint Now) const {
  return this->getUsualRate(Of, Of.Usual, Now, Now);
}

/// Returns whether who told a part has left the fleet. What it asked last is
/// asked of others now, or of nobody.
bool FleetQuota::hasLeft(const Part &Each, TimePoint Now) const {
  return this->Heard.hasLeft(this->Heard.get(Each.Source), Now);
}

void FleetQuota::addUsual(SmoothedRate &Usual, double Amount,
                          TimePoint Now) const {
  if (!this->FrozenAt)
    Usual.add(Amount, Now);
}

void FleetQuota::updateFreeze(TimePoint Now) {
  const bool IsFrozen =
      static_cast<double>(this->Heard.countSilent(Now)) >
      FreezePart * static_cast<double>(this->Heard.countDaemons());
  if (!IsFrozen)
    this->FrozenAt.reset();
  else if (!this->FrozenAt)
    this->FrozenAt = Now;
}

/// Returns the requests a second that are asked of this hall.
double FleetQuota::getHallAsked(const Account &Of, TimePoint Now) const {
  double Demand = Of.Demand.getRate(Now);
  for (const Part &Each : Of.Parts)
    if (!this->Heard.get(Each.Source).IsHall &&
        !this->Heard.hasTimedOut(this->Heard.get(Each.Source), Now))
      Demand += Each.Demand;
  return Demand;
}

/// Returns how many times as much as usual is asked of this hall, 1 at least:
/// likely of others too, though they have not told so yet.
double FleetQuota::getSurge(const Account &Of, TimePoint Now) const {
  double Usual = this->getOwnUsualRate(Of, Now);
  for (const Part &Each : Of.Parts)
    if (!this->Heard.get(Each.Source).IsHall && !this->hasLeft(Each, Now))
      Usual += this->getUsualRate(Of, Each, Now);
  const double Seconds = toSeconds(AskedFade);
  const double Demand = this->getHallAsked(Of, Now) * Seconds;
  return std::max(1.0,
                  (Demand + ImaginedAsked) / (Usual * Seconds + ImaginedAsked));
}

/// Adds what may be asked of halls that have not spoken since this daemon
/// started: as much for each daemon as of this hall.
void FleetQuota::addUntold(const Account &Of, UsableQuota &Within,
                           TimePoint Now) const {
  const double OfEach = this->getHallAsked(Of, Now) /
                        static_cast<double>(this->Heard.countHallPeers() + 1);
  for (const FleetLiveness::Source &Each : this->Heard.getAll()) {
    if (!Each.IsHall || !Each.IsListed || Each.HasReported)
      continue;
    const double Demand = OfEach * static_cast<double>(Each.Daemons);
    Within.Demand += Demand;
    Within.Unheard +=
        Demand * toSeconds(std::min(Now - Each.HeardAt, MostUnheard));
  }
}

FleetQuota::UsableQuota FleetQuota::computeUsable(const Account &Of,
                                                  TimePoint Now) const {
  UsableQuota Within;
  Within.Demand = Of.Demand.getRate(Now);
  const double Surge = this->getSurge(Of, Now);
  double Usual = this->getOwnUsualRate(Of, Now);
  double SilentUsual = 0;
  double NearUsual = 0;
  this->addUntold(Of, Within, Now);
  for (const Part &Each : Of.Parts) {
    const FleetLiveness::Source &Told = this->Heard.get(Each.Source);
    if (this->hasLeft(Each, Now))
      continue;
    const double Rate = this->getUsualRate(Of, Each, Now);
    Usual += Rate;
    if (this->Heard.isSilent(Told, Now)) {
      SilentUsual += Rate;
      NearUsual += Told.IsHall ? 0 : Rate;
      continue;
    }
    const Duration Age = Now - Each.ToldAt;
    const bool MayHaveRisen = Told.IsHall && Age > FreshFor;
    const double Demand =
        MayHaveRisen ? std::max(Each.Demand, Rate * Surge) : Each.Demand;
    Within.Demand += Demand;
    Within.Unheard +=
        Demand * toSeconds(std::min(Now - Told.HeardAt, MostUnheard));
  }
  size_t NearSilent = 0;
  for (const FleetLiveness::Source &Each : this->Heard.getAll()) {
    if (!this->Heard.isSilent(Each, Now))
      continue;
    Within.Silent += Each.Daemons;
    NearSilent += Each.IsHall ? 0 : 1;
  }
  const double Scale = Usual > Of.Rate ? Of.Rate / Usual : 1;
  const double SpareOfEach = (Of.Rate - Usual * Scale) /
                             static_cast<double>(this->Heard.countDaemons());
  const double Left =
      SilentUsual * Scale + SpareOfEach * static_cast<double>(Within.Silent);
  Within.NearReserved =
      NearUsual * Scale + SpareOfEach * static_cast<double>(NearSilent);
  Within.Rate = std::max(0.0, Of.Rate - Left);
  if (this->FrozenAt)
    Within.Rate *= KeptWhileApart;
  Within.Size = std::max(LeastReach, this->getSize(Of) * Within.Rate / Of.Rate);
  return Within;
}

/// Computes anew what may be used if what is known of that is older than
/// MostAge.
const FleetQuota::UsableQuota &
FleetQuota::updateUsable(Account &Of, Duration MostAge, TimePoint Now) const {
  if (Now - Of.WithinAt >= MostAge) {
    Of.Within = this->computeUsable(Of, Now);
    Of.WithinAt = Now;
  }
  return Of.Within;
}

/// Fills the bucket by what those that are heard may use. While others are not,
/// a second one of their size holds beside it: who is cut off for a moment by
/// mistake has lost nothing when that is over.
void FleetQuota::refill(Account &Of, TimePoint Now) const {
  const UsableQuota &Within = Of.Within;
  const double Seconds = std::max(0.0, toSeconds(Now - Of.At));
  const double Size = this->getSize(Of);
  const double Brought = Within.Rate * Seconds;
  Of.Tokens = std::min(Size, Of.Tokens + Brought);
  Of.HallReserved += Within.NearReserved * Seconds;
  Of.At = std::max(Of.At, Now);
  if (Within.Silent == 0)
    Of.TokensWithin.reset();
  else if (Of.TokensWithin)
    Of.TokensWithin = std::min(Within.Size, *Of.TokensWithin + Brought);
  else
    // What was admitted before the silence showed is charged already.
    Of.TokensWithin = Within.Size * std::clamp(Of.Tokens / Size, 0.0, 1.0) -
                      Of.Demand.get(Now);
}

/// Returns the tokens that may be used.
double FleetQuota::getTokens(const Account &Of) {
  return std::min(Of.Tokens, Of.TokensWithin.value_or(Of.Tokens));
}

void FleetQuota::charge(Account &Of, double Requests) {
  Of.Tokens -= Requests;
  if (Of.TokensWithin)
    *Of.TokensWithin -= Requests;
}

} // namespace canvaswick
