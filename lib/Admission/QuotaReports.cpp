//===- QuotaReports.cpp - Usage reports of fleet quotas -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of FleetQuota that reports the usage of this daemon and its hall to
/// others, and charges the usage that others report.
///
//===----------------------------------------------------------------------===//

#include "QuotaTimes.h"
#include "canvaswick/Admission/FleetQuota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace canvaswick {

/// A hall reports an organisation in each round while its demand exceeds this
/// fraction of the hall's even share of the rate: below it, all halls together
/// don't come near the whole rate, and traffic between halls costs money.
/// Typical demand is reported all the same, less often.
static constexpr double ReportedFraction = 0.75;

/// What a hall admitted longer than this before it reported an organisation
/// again was below that threshold, and is not charged.
static constexpr Duration MaxUnreported = fromMillis(300);

/// The usable quota is recomputed for each request of this daemon, but for
/// reports of others at most this often: a large hall reports thousands of
/// usages a second, and a computation visits all sources.
static constexpr Duration UsableMaxAge = fromMillis(500);

/// An organisation whose recent requests are fewer than this is no longer
/// reported.
static constexpr double MinReportedDemand = 0.05;

/// A count of admitted requests falls by refunds, some a second. If it falls by
/// more than this, the reporter has restarted: treating the fall as refunds
/// would refill the bucket with what a daemon admitted before it was killed.
static constexpr int64_t MaxRefunded = 3;

/// An organisation is urgent once the demand at its hall exceeds the hall's
/// share of the rate by this factor.
static constexpr double UrgentFraction = 1;

void FleetQuota::markChanged(Account &Bucket, OrganisationId Id) {
  if (std::exchange(Bucket.IsChanged, true))
    return;
  this->Changed.push_back(Id);
}

/// Reports an organisation until its demand has decayed, since daemons that
/// received a report count on it.
std::vector<QuotaUsage> FleetQuota::drainUsageChanges(size_t Max,
                                                      TimePoint Now) {
  std::vector<QuotaUsage> Changes;
  // Organisations that had to wait come first in the next call.
  std::vector<OrganisationId> Waiting;
  std::vector<OrganisationId> Reported;
  for (const OrganisationId Id : this->Changed) {
    const auto Found = this->Accounts.find(Id);
    if (Found == this->Accounts.end())
      continue;
    if (Changes.size() >= Max) {
      Waiting.push_back(Id);
      continue;
    }
    Account &Bucket = Found->second;
    Bucket.IsChanged = Bucket.Demand.get(Now) >= MinReportedDemand;
    Changes.push_back({Id, Bucket.IsChanged ? Bucket.Demand.getRate(Now) : 0,
                       Bucket.Admitted});
    if (Bucket.IsChanged)
      Reported.push_back(Id);
  }
  Waiting.insert(Waiting.end(), Reported.begin(), Reported.end());
  this->Changed = std::move(Waiting);
  return Changes;
}

bool FleetQuota::isUrgent(TimePoint Now) const {
  if (this->Liveness.getAll().empty())
    return false;
  const double HallFraction =
      static_cast<double>(this->Liveness.countHallPeers() + 1) /
      static_cast<double>(this->Liveness.countDaemons());
  return std::any_of(this->Accounts.begin(), this->Accounts.end(),
                     [&](const auto &Entry) {
                       const Account &Bucket = Entry.second;
                       return this->getHallDemand(Bucket, Now) >
                              UrgentFraction * HallFraction * Bucket.Rate;
                     });
}

std::vector<QuotaUsage> FleetQuota::getHallUsage(bool WantsAll,
                                                 TimePoint Now) const {
  std::vector<QuotaUsage> Usages;
  const auto Halls = static_cast<double>(
      1 + std::count_if(this->Liveness.getAll().begin(),
                        this->Liveness.getAll().end(),
                        [](const FleetLiveness::Source &Each) {
                          return Each.IsHall && Each.IsListed;
                        }));
  for (const auto &[Id, Bucket] : this->Accounts) {
    const double Demand = this->getHallDemand(Bucket, Now);
    if (WantsAll || Demand > ReportedFraction * Bucket.Rate / Halls)
      Usages.push_back(
          {Id, Demand,
           Bucket.HallAdmitted + static_cast<int64_t>(Bucket.HallReserved)});
  }
  return Usages;
}

FleetQuota::SourceUsage &FleetQuota::findOrAddUsage(Account &Bucket,
                                                    size_t Source) const {
  for (SourceUsage &Each : Bucket.SourceUsages)
    if (Each.Source == Source)
      return Each;
  return Bucket.SourceUsages.emplace_back(Source, TypicalTimeConstant);
}

/// Charges what a source has admitted since its last report on the
/// organisation. The count of another reporter, or of one that restarted, can't
/// be compared with the previous one: then the charge is what may have been
/// admitted at the reported demand. While a source is silent, its share is
/// reserved for it anyway.
///
/// What was admitted before the first report of a source is as unknown as what
/// this daemon admitted before its own start, except for the first window after
/// that: then the first report charges its recent demand, since the whole fleet
/// may have restarted while an organisation sends far more than typically.
/// Later this would wrongly charge a daemon that was only idle for some
/// seconds.
void FleetQuota::applyUsage(Account &Bucket, size_t Source,
                            const std::string &Reporter,
                            const QuotaUsage &Given, bool WasSilent,
                            TimePoint Now) {
  this->updateUsable(Bucket, UsableMaxAge, Now);
  this->refill(Bucket, Now);
  SourceUsage &Known = this->findOrAddUsage(Bucket, Source);
  const bool IsHall = this->Liveness.get(Source).IsHall;
  const bool IsSameCount = Known.Reporter == Reporter &&
                           Given.Admitted >= Known.Admitted - MaxRefunded;
  double Admitted = 0;
  if (IsSameCount && !WasSilent)
    Admitted = static_cast<double>(Given.Admitted - Known.Admitted);
  else if (Known.Reporter.empty() && Now - this->Started < this->Bounds.Window)
    Admitted =
        std::min(static_cast<double>(Given.Admitted),
                 std::round(Given.Demand * toSeconds(DemandTimeConstant)));
  else if (!Known.Reporter.empty() && !WasSilent)
    Admitted =
        std::min(Given.Demand, Bucket.Rate) * toSeconds(Now - Known.ReportedAt);
  const bool WasReportedBefore =
      !IsHall || !IsSameCount || Now - Known.ReportedAt <= MaxUnreported;
  charge(Bucket,
         WasReportedBefore
             ? Admitted
             : std::min(Admitted, Given.Demand * toSeconds(MaxUnreported)));
  if (!IsHall)
    Bucket.HallAdmitted += static_cast<int64_t>(Admitted);
  this->addTypical(Known.Typical, Admitted, Now);
  Known.Reporter = Reporter;
  Known.Admitted = Given.Admitted;
  Known.Demand = Given.Demand;
  Known.ReportedAt = Now;
}

void FleetQuota::applyUsages(size_t Source, const std::string &Reporter,
                             const std::vector<QuotaUsage> &Usages,
                             TimePoint Now) {
  this->updateFreeze(Now);
  const bool WasSilent =
      this->Liveness.isSilent(this->Liveness.get(Source), Now);
  for (const QuotaUsage &Each : Usages)
    if (Account *Bucket = this->findAccount(Each.Organisation, Now))
      this->applyUsage(*Bucket, Source, Reporter, Each, WasSilent, Now);
}

void FleetQuota::applyPeerUsage(const std::string &Daemon,
                                const std::vector<QuotaUsage> &Usages,
                                TimePoint Now) {
  this->applyUsages(this->Liveness.findOrAddSource(Daemon, false, Now), Daemon,
                    Usages, Now);
  this->Liveness.recordPeerMessage(Daemon, Now);
}

void FleetQuota::applyHallUsage(const std::string &Hall,
                                const std::string &Reporter,
                                const std::vector<QuotaUsage> &Usages,
                                TimePoint Now) {
  this->applyUsages(this->Liveness.findOrAddSource(Hall, true, Now), Reporter,
                    Usages, Now);
  this->Liveness.recordHallMessage(Hall, Now);
}

} // namespace canvaswick
