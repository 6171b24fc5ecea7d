//===- FleetQuota.h - Fleet-wide rate limits of organisations ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// An organisation's rate limit holds for all daemons together, and its callers
/// reach only a few of them, so a fixed share per daemon would not fit. Daemons
/// report to each other their demand and how many requests they admitted, and
/// each keeps a copy of the fleet's token bucket from these reports. While the
/// bucket holds more tokens than may have been taken without having been
/// reported yet, all requests are admitted. When it is nearly empty, each
/// daemon admits the fraction of its requests that adds up to the rate over all
/// daemons.
///
/// A daemon that is not heard from is assumed to continue at its typical rate,
/// and it does: it keeps its typical rate and its share of the rate that is
/// typically unused, and the others reserve both for it. So the parts of a
/// partitioned fleet do not spend the same tokens.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ADMISSION_FLEETQUOTA_H
#define CANVASWICK_ADMISSION_FLEETQUOTA_H

#include "canvaswick/Admission/DecayingCounter.h"
#include "canvaswick/Admission/FleetLiveness.h"
#include "canvaswick/Settings/DaemonConfig.h"
#include "canvaswick/Settings/OrganisationDirectory.h"
#include "canvaswick/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace canvaswick {

/// Identifies an organisation in messages between daemons.
using OrganisationId = uint64_t;

/// Returns the identifier of an organisation: a hash of its name.
OrganisationId getOrganisationId(const std::string &Name);

/// Recent demand of an organisation at one daemon, or at all daemons of a hall.
struct QuotaUsage {
  OrganisationId Organisation = 0;
  /// Requests a second, admitted or not.
  double Demand = 0;
  /// Requests admitted since the reporting daemon began to count.
  int64_t Admitted = 0;

  bool operator==(const QuotaUsage &) const = default;
};

/// Whether a request is admitted, and if not, when to retry.
struct QuotaAnswer {
  bool IsAdmitted = true;
  Duration Wait{};
  /// The limit and the demand at the whole fleet, in requests a second, and the
  /// tokens in the bucket. 0 if the organisation has no quota.
  double Limit = 0;
  double FleetDemand = 0;
  double Tokens = 0;
};

/// Status of one organisation, for operators.
struct QuotaStatus {
  std::string Name;
  double RequestsPerSecond = 0;
  /// Tokens in the fleet's bucket as this daemon sees it; negative if others
  /// had admitted more requests than it knew of.
  double Tokens = 0;
  /// Demand at the whole fleet and at this daemon, in requests a second.
  double FleetDemand = 0;
  double LocalDemand = 0;
  int64_t Admitted = 0;
  uint64_t Refused = 0;
  /// Number of daemons that are not heard from.
  size_t Silent = 0;
};

/// The organisations' token buckets as one daemon sees them. Not thread-safe.
class FleetQuota {
public:
  /// Started is when the process started: what an earlier process of this
  /// daemon admitted is unknown to this one, and after a restart of the whole
  /// fleet to all. Draw is in [0, 1) and must differ between daemons.
  FleetQuota(QuotaBounds Bounds, TimePoint Started, double Draw);

  /// Applies the organisations of a new version of the settings.
  void configure(const OrganisationDirectoryRef &Directory, TimePoint Now);

  /// Changes the bounds.
  void setBounds(const QuotaBounds &Given) { this->Bounds = Given; }

  /// Returns the liveness of the other daemons.
  FleetLiveness &getLiveness() { return this->Liveness; }

  /// Decides whether to admit one request of an organisation. A request without
  /// an organisation's name has the limits of the organisation called
  /// "default".
  QuotaAnswer admit(const std::string &Organisation, TimePoint Now);

  /// Refunds the token of an admitted request that was not executed.
  void giveBack(const std::string &Organisation, TimePoint Now);

  /// Returns usage of this daemon that has changed since the last call, for at
  /// most Max organisations; the others follow in the next calls.
  std::vector<QuotaUsage> drainUsageChanges(size_t Max, TimePoint Now);

  /// Returns whether the demand of some organisation at this hall is high
  /// enough that other halls should be told at once.
  bool isUrgent(TimePoint Now) const;

  /// Returns the usage of this whole hall, to be sent to other halls: of all
  /// organisations, or only of those near their limit.
  std::vector<QuotaUsage> getHallUsage(bool WantsAll, TimePoint Now) const;

  /// Applies a report of a daemon of this hall on itself, or of another hall's
  /// reporter on all of that hall.
  void applyPeerUsage(const std::string &Daemon,
                      const std::vector<QuotaUsage> &Usages, TimePoint Now);
  void applyHallUsage(const std::string &Hall, const std::string &Reporter,
                      const std::vector<QuotaUsage> &Usages, TimePoint Now);

  /// Returns whether any organisation has a limit, so that peers need reports
  /// from this daemon.
  bool hasLimits() const { return this->HasLimits; }

  /// Removes organisations whose bucket is full and that have been idle, and
  /// sources that have left the fleet.
  void forgetIdle(TimePoint Now);

  /// Returns how many organisations have a bucket here.
  size_t countAccounts() const { return this->Accounts.size(); }

  /// Returns the status of at most Max organisations, those with the highest
  /// demand first.
  std::vector<QuotaStatus> describe(size_t Max, TimePoint Now) const;

private:
  /// What one source has reported of one organisation.
  struct SourceUsage {
    size_t Source = 0;
    /// The daemon whose count Admitted is. Differs from the source if that is a
    /// hall.
    std::string Reporter;
    int64_t Admitted = 0;
    TimePoint ReportedAt{};
    double Demand = 0;
    SmoothedRate Typical;
    SourceUsage(size_t Source, Duration TypicalTimeConstant)
        : Source(Source), Typical(TypicalTimeConstant) {}
  };

  /// The part of a bucket that this daemon and those it hears from may use.
  struct UsableQuota {
    double Rate = 0;
    double Capacity = 0;
    /// Requests a second at this daemon and those it hears from.
    double Demand = 0;
    /// Requests that others may have admitted since their last report.
    double Unreported = 0;
    /// Requests a second that are reserved for silent daemons of this hall.
    double HallReservedRate = 0;
    size_t Silent = 0;
  };

  /// The token bucket of one organisation.
  struct Account {
    std::string Name;
    double Rate = 0;
    double Burst = 0;
    double Tokens = 0;
    /// Set while a part of the fleet is silent: the tokens that this daemon and
    /// those it hears from may use.
    std::optional<double> UsableTokens;
    TimePoint RefilledAt{};
    /// When this daemon first saw the organisation.
    TimePoint FirstSeenAt{};
    /// Requests at this daemon.
    DecayingCounter Demand;
    SmoothedRate Typical;
    int64_t Admitted = 0;
    uint64_t Refused = 0;
    /// Requests admitted by this whole hall as far as this daemon knows, and
    /// requests that were reserved for silent daemons of it.
    int64_t HallAdmitted = 0;
    double HallReserved = 0;
    std::vector<SourceUsage> SourceUsages;
    /// The result of the last computeUsable.
    UsableQuota Usable;
    TimePoint UsableAt{};
    /// Fraction of the next request that may be admitted, while not all are.
    double Credit = 0;
    bool IsChanged = false;
    Account(Duration DemandTimeConstant, Duration TypicalTimeConstant)
        : Demand(DemandTimeConstant), Typical(TypicalTimeConstant) {}
  };

  Account *findAccount(OrganisationId Id, TimePoint Now);
  void setLimits(Account &Bucket, const OrganisationConfig *Config,
                 TimePoint Now) const;
  void markChanged(Account &Bucket, OrganisationId Id);
  bool hasLeft(const SourceUsage &Each, TimePoint Now) const;
  double getHallDemand(const Account &Bucket, TimePoint Now) const;
  double getDemandRatio(const Account &Bucket, TimePoint Now) const;
  double getSlack(const Account &Bucket) const;
  double getCapacity(const Account &Bucket) const;
  double getCapacityFraction() const;
  double getTypicalRate(const Account &Bucket, const SmoothedRate &Typical,
                        TimePoint HeardAt, TimePoint Now) const;
  double getTypicalRate(const Account &Bucket, const SourceUsage &Each,
                        TimePoint Now) const;
  double getLocalTypicalRate(const Account &Bucket, TimePoint Now) const;
  void updateFreeze(TimePoint Now);
  void addTypical(SmoothedRate &Typical, double Amount, TimePoint Now) const;
  void addUnreportedHalls(const Account &Bucket, UsableQuota &Usable,
                          TimePoint Now) const;
  UsableQuota computeUsable(const Account &Bucket, TimePoint Now) const;
  const UsableQuota &updateUsable(Account &Bucket, Duration MaxAge,
                                  TimePoint Now) const;
  void refill(Account &Bucket, TimePoint Now) const;
  static double getTokens(const Account &Bucket);
  static void charge(Account &Bucket, double Requests);
  bool decide(Account &Bucket) const;
  Duration chooseWait(const Account &Bucket) const;
  SourceUsage &findOrAddUsage(Account &Bucket, size_t Source) const;
  void applyUsages(size_t Source, const std::string &Reporter,
                   const std::vector<QuotaUsage> &Usages, TimePoint Now);
  void applyUsage(Account &Bucket, size_t Source, const std::string &Reporter,
                  const QuotaUsage &Given, bool WasSilent, TimePoint Now);
  bool isAlone() const { return this->Liveness.countDaemons() <= 1; }

  QuotaBounds Bounds;
  const TimePoint Started;
  const double Draw;
  OrganisationDirectoryRef Directory;
  /// Organisations of this version of the settings by the identifier in
  /// messages.
  std::unordered_map<OrganisationId, const OrganisationConfig *> Configs;
  bool HasLimits = false;
  FleetLiveness Liveness;
  /// Set while so many daemons are silent that typical rates are not updated:
  /// since when.
  std::optional<TimePoint> FrozenAt;
  std::unordered_map<OrganisationId, Account> Accounts;
  /// Organisations whose usage is to be reported.
  std::vector<OrganisationId> Changed;
};

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_FLEETQUOTA_H
