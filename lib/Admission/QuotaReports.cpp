//===- QuotaReports.cpp - What daemons tell of allowances -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of FleetQuota that says what this daemon and its hall tell
/// others of organisations, and charges what others tell.
///
//===----------------------------------------------------------------------===//

#include "QuotaTimes.h"
#include "canvaswick/Admission/FleetQuota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace canvaswick {

/// A hall tells others of an organisation each time once this much of its even
/// part of the rate is asked: below it, all halls together do not come near the
/// whole, and bytes between halls have a price. What is usual is told all the
/// same, less often.
static constexpr double ToldPart = 0.75;

/// What was admitted longer before a hall told of an organisation again was
/// below that, and is not charged.
static constexpr Duration MostUntold = fromMillis(300);

/// What a daemon may use is computed anew for each of its own requests, and for
/// what others tell at most this often: a large hall tells thousands of levels
/// a second, and a computation looks at all of it.
static constexpr Duration ReachLife = fromMillis(500);

/// An organisation that asked less than this of late is told of no more.
static constexpr double LeastTold = 0.05;

/// A count falls by what was not run after all, some a second. One that fell by
/// more than this has begun anew: taken for given back, what a daemon had
/// admitted before it was killed would fill the bucket.
static constexpr int64_t MostGivenBack = 3;

/// An organisation is urgent once its hall is asked more than its part of the
/// rate, by this factor.
static constexpr double UrgentPart = 1;

void FleetQuota::noteChange(Account &Of, OrganisationId Id) {
  if (std::exchange(Of.HasNews, true))
    return;
  this->Changed.push_back(Id);
}

/// Tells of an organisation until its rate has faded: who was told of it would
/// count on it.
std::vector<QuotaUsage> FleetQuota::drainUsageChanges(size_t Most,
                                                      TimePoint Now) {
  std::vector<QuotaUsage> News;
  // Those that had to wait come first the next time.
  std::vector<OrganisationId> Waiting;
  std::vector<OrganisationId> Told;
  for (const OrganisationId Id : this->Changed) {
    const auto Found = this->Accounts.find(Id);
    if (Found == this->Accounts.end())
      continue;
    if (News.size() >= Most) {
      Waiting.push_back(Id);
      continue;
    }
    Account &Of = Found->second;
    Of.HasNews = Of.Demand.get(Now) >= LeastTold;
    News.push_back({Id, Of.HasNews ? Of.Demand.getRate(Now) : 0, Of.Admitted});
    if (Of.HasNews)
      Told.push_back(Id);
  }
  Waiting.insert(Waiting.end(), Told.begin(), Told.end());
  this->Changed = std::move(Waiting);
  return News;
}

bool FleetQuota::isUrgent(TimePoint Now) const {
  if (this->Heard.getAll().empty())
    return false;
  const double Part = static_cast<double>(this->Heard.countHallPeers() + 1) /
                      static_cast<double>(this->Heard.countDaemons());
  return std::any_of(
      this->Accounts.begin(), this->Accounts.end(), [&](const auto &Entry) {
        const Account &Of = Entry.second;
        return this->getHallAsked(Of, Now) > UrgentPart * Part * Of.Rate;
      });
}

std::vector<QuotaUsage> FleetQuota::getHallUsage(bool WantsAll,
                                                 TimePoint Now) const {
  std::vector<QuotaUsage> Levels;
  const auto Halls = static_cast<double>(
      1 + std::count_if(this->Heard.getAll().begin(),
                        this->Heard.getAll().end(),
                        [](const FleetLiveness::Source &Each) {
                          return Each.IsHall && Each.IsListed;
                        }));
  for (const auto &[Id, Of] : this->Accounts) {
    const double Demand = this->getHallAsked(Of, Now);
    if (WantsAll || Demand > ToldPart * Of.Rate / Halls)
      Levels.push_back(
          {Id, Demand,
           Of.HallAdmitted + static_cast<int64_t>(Of.HallReserved)});
  }
  return Levels;
}

FleetQuota::Part &FleetQuota::findPart(Account &Of, size_t Source) const {
  for (Part &Each : Of.Parts)
    if (Each.Source == Source)
      return Each;
  return Of.Parts.emplace_back(Source, UsualFade);
}

/// Charges what a source has admitted since it last told of the organisation.
/// What another teller counts, or one that began anew, cannot be compared: then
/// as much is charged as may have been admitted at the rate that is asked.
/// While it was silent its part was left to it all along.
///
/// What was admitted before a source was first heard is as little known as what
/// this daemon itself did before its start, but for the first window after
/// that: then the first word charges what its teller was asked of late, as a
/// whole fleet may have started anew while an organisation sends far more than
/// usual. Later it would charge a daemon that was only idle for some seconds.
void FleetQuota::takeLevel(Account &Of, size_t Source,
                           const std::string &Teller, const QuotaUsage &Given,
                           bool WasSilent, TimePoint Now) {
  this->updateUsable(Of, ReachLife, Now);
  this->refill(Of, Now);
  Part &Told = this->findPart(Of, Source);
  const bool IsHall = this->Heard.get(Source).IsHall;
  const bool IsSameCount =
      Told.Teller == Teller && Given.Admitted >= Told.Admitted - MostGivenBack;
  double Admitted = 0;
  if (IsSameCount && !WasSilent)
    Admitted = static_cast<double>(Given.Admitted - Told.Admitted);
  else if (Told.Teller.empty() && Now - this->Started < this->Bounds.Window)
    Admitted = std::min(static_cast<double>(Given.Admitted),
                        std::round(Given.Demand * toSeconds(AskedFade)));
  else if (!Told.Teller.empty() && !WasSilent)
    Admitted = std::min(Given.Demand, Of.Rate) * toSeconds(Now - Told.ToldAt);
  const bool WasTold =
      !IsHall || !IsSameCount || Now - Told.ToldAt <= MostUntold;
  charge(Of, WasTold
                 ? Admitted
                 : std::min(Admitted, Given.Demand * toSeconds(MostUntold)));
  if (!IsHall)
    Of.HallAdmitted += static_cast<int64_t>(Admitted);
  this->addUsual(Told.Usual, Admitted, Now);
  Told.Teller = Teller;
  Told.Admitted = Given.Admitted;
  Told.Demand = Given.Demand;
  Told.ToldAt = Now;
}

void FleetQuota::takeLevels(size_t Source, const std::string &Teller,
                            const std::vector<QuotaUsage> &Levels,
                            TimePoint Now) {
  this->updateFreeze(Now);
  const bool WasSilent = this->Heard.isSilent(this->Heard.get(Source), Now);
  for (const QuotaUsage &Each : Levels)
    if (Account *Of = this->findAccount(Each.Organisation, Now))
      this->takeLevel(*Of, Source, Teller, Each, WasSilent, Now);
}

void FleetQuota::applyPeerUsage(const std::string &Daemon,
                                const std::vector<QuotaUsage> &Levels,
                                TimePoint Now) {
  this->takeLevels(this->Heard.findOrAddSource(Daemon, false, Now), Daemon,
                   Levels, Now);
  this->Heard.recordPeerMessage(Daemon, Now);
}

void FleetQuota::applyHallUsage(const std::string &Hall,
                                const std::string &Teller,
                                const std::vector<QuotaUsage> &Levels,
                                TimePoint Now) {
  this->takeLevels(this->Heard.findOrAddSource(Hall, true, Now), Teller, Levels,
                   Now);
  this->Heard.recordHallMessage(Hall, Now);
}

} // namespace canvaswick
