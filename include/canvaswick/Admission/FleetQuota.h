//===- FleetQuota.h - Organisations' rates over a fleet ---------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What an organisation may send holds for all daemons together, and its
/// callers reach a few of them, so no fixed part of it would fit. Daemons tell
/// each other how much was asked of them and how much they admitted; each
/// keeps the fleet's bucket of tokens by that. While the bucket holds more than
/// what may have been taken unheard, requests are admitted freely. Near its
/// bottom each daemon admits the part of its requests that, over all daemons,
/// comes to the rate.
///
/// Daemons that are not heard are taken to go on as usual, and do: what was
/// usual for them, and their part of what is usually left, is theirs, and the
/// others leave it to them. So parts of a fleet that are cut off from each
/// other do not spend the same tokens.
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

/// The name that an organisation has in messages between daemons.
using OrganisationId = uint64_t;

/// Returns the name that an organisation has in messages.
OrganisationId getOrganisationId(const std::string &Name);

/// What an organisation has of late asked of a daemon, or of all daemons of a
/// hall.
struct QuotaUsage {
  OrganisationId Organisation = 0;
  /// Requests a second that were asked.
  double Demand = 0;
  /// Requests that were admitted since who tells this began to count.
  int64_t Admitted = 0;

  bool operator==(const QuotaUsage &) const = default;
};

/// Whether a request is admitted, and if not when to come back.
struct QuotaAnswer {
  bool IsAdmitted = true;
  Duration Wait{};
  /// Of a refusal, for the log: the limit and what is asked of the fleet, in
  /// requests a second, and what its bucket holds.
  double Limit = 0;
  double FleetDemand = 0;
  double Tokens = 0;
};

/// What an operator may ask about one organisation.
struct QuotaStatus {
  std::string Name;
  double RequestsPerSecond = 0;
  /// Tokens in the fleet's bucket, as this daemon sees it; below zero where
  /// more was taken than it knew.
  double Tokens = 0;
  /// Requests a second that are asked of the fleet, and of this daemon.
  double FleetDemand = 0;
  double LocalDemand = 0;
  int64_t Admitted = 0;
  uint64_t Refused = 0;
  /// Daemons that are not heard.
  size_t Silent = 0;
};

/// The organisations' buckets as one daemon sees them. Not thread-safe.
class FleetQuota {
public:
  /// Started is the process's start: what an earlier process of this daemon has
  /// admitted is not known to it, and after a start of the whole fleet to
  /// nobody. Draw is in [0, 1) and differs between daemons.
  FleetQuota(QuotaBounds Bounds, TimePoint Started, double Draw);

  /// Takes the organisations of a version of the settings.
  void configure(const OrganisationDirectoryRef &Directory, TimePoint Now);

  /// Changes the bounds.
  void setBounds(const QuotaBounds &Given) { this->Bounds = Given; }

  /// Returns who there is and is heard.
  FleetLiveness &getLiveness() { return this->Heard; }

  /// Decides on one request of an organisation. Without a name it is of no
  /// organisation, and the limits of the one called "default" hold.
  QuotaAnswer admit(const std::string &Organisation, TimePoint Now);

  /// Takes back that a request was admitted: it was not run after all.
  void giveBack(const std::string &Organisation, TimePoint Now);

  /// Returns what has changed of this daemon's own levels since the last call,
  /// at most so many.
  std::vector<QuotaUsage> drainUsageChanges(size_t Most, TimePoint Now);

  /// Returns whether an organisation asks so much of this hall that others
  /// should hear of it at once.
  bool isUrgent(TimePoint Now) const;

  /// Returns the levels of the whole hall, for other halls: those that others
  /// must know now, or all.
  std::vector<QuotaUsage> getHallUsage(bool WantsAll, TimePoint Now) const;

  /// Takes what a daemon of this hall told of itself, or the teller of another
  /// hall of all of that hall.
  void applyPeerUsage(const std::string &Daemon,
                      const std::vector<QuotaUsage> &Levels, TimePoint Now);
  void applyHallUsage(const std::string &Hall, const std::string &Teller,
                      const std::vector<QuotaUsage> &Levels, TimePoint Now);

  /// Returns whether any organisation has a limit, so that peers must hear of
  /// this daemon.
  bool hasLimits() const { return this->HasLimits; }

  /// Forgets organisations of which nothing need be remembered.
  void forgetIdle(TimePoint Now);

  /// Returns how many organisations are remembered.
  size_t countAccounts() const { return this->Accounts.size(); }

  /// Returns what an operator may know, the busiest first, at most so many.
  std::vector<QuotaStatus> describe(size_t Most, TimePoint Now) const;

private:
  /// What a source has told of one organisation.
  struct Part {
    size_t Source = 0;
    /// Of a hall: whose count it is.
    std::string Teller;
    int64_t Admitted = 0;
    TimePoint ToldAt{};
    double Demand = 0;
    SmoothedRate Usual;
    Part(size_t Source, Duration UsualFade)
        : Source(Source), Usual(UsualFade) {}
  };

  /// What this daemon and those that it hears may use of a bucket.
  struct UsableQuota {
    double Rate = 0;
    double Size = 0;
    /// Requests a second that are asked.
    double Demand = 0;
    /// Requests that may have been admitted since others were heard.
    double Unheard = 0;
    /// Requests a second that are left to daemons of this hall that are not
    /// heard.
    double NearReserved = 0;
    size_t Silent = 0;
  };

  /// One organisation's bucket.
  struct Account {
    std::string Name;
    double Rate = 0;
    double Burst = 0;
    double Tokens = 0;
    /// While a part of the fleet is silent: what those that are heard may use.
    std::optional<double> TokensWithin;
    TimePoint At{};
    /// When this daemon first saw the organisation.
    TimePoint Since{};
    /// This daemon's own requests.
    DecayingCounter Demand;
    SmoothedRate Usual;
    int64_t Admitted = 0;
    uint64_t Refused = 0;
    /// What all of this hall have admitted, as far as this daemon has heard,
    /// and what was left to those of it that were not heard.
    int64_t HallAdmitted = 0;
    double HallReserved = 0;
    std::vector<Part> Parts;
    /// As it was when it was last computed.
    UsableQuota Within;
    TimePoint WithinAt{};
    /// Part of the next request that is admitted, while not all are.
    double Credit = 0;
    bool HasNews = false;
    Account(Duration AskedFade, Duration UsualFade)
        : Demand(AskedFade), Usual(UsualFade) {}
  };

  Account *findAccount(OrganisationId Id, TimePoint Now);
  void setLimits(Account &Of, const OrganisationConfig *Config,
                 TimePoint Now) const;
  void noteChange(Account &Of, OrganisationId Id);
  bool hasLeft(const Part &Each, TimePoint Now) const;
  double getHallAsked(const Account &Of, TimePoint Now) const;
  double getSurge(const Account &Of, TimePoint Now) const;
  double getSlack(const Account &Of) const;
  double getSize(const Account &Of) const;
  double getSavedPart() const;
  double getUsualRate(const Account &Of, const SmoothedRate &Usual,
                      TimePoint HeardAt, TimePoint Now) const;
  double getUsualRate(const Account &Of, const Part &Each, TimePoint Now) const;
  double getOwnUsualRate(const Account &Of, TimePoint Now) const;
  void updateFreeze(TimePoint Now);
  void addUsual(SmoothedRate &Usual, double Amount, TimePoint Now) const;
  void addUntold(const Account &Of, UsableQuota &Within, TimePoint Now) const;
  UsableQuota computeUsable(const Account &Of, TimePoint Now) const;
  const UsableQuota &updateUsable(Account &Of, Duration MostAge,
                                  TimePoint Now) const;
  void refill(Account &Of, TimePoint Now) const;
  static double getTokens(const Account &Of);
  static void charge(Account &Of, double Requests);
  bool decide(Account &Of) const;
  Duration chooseWait(const Account &Of) const;
  Part &findPart(Account &Of, size_t Source) const;
  void takeLevels(size_t Source, const std::string &Teller,
                  const std::vector<QuotaUsage> &Levels, TimePoint Now);
  void takeLevel(Account &Of, size_t Source, const std::string &Teller,
                 const QuotaUsage &Given, bool WasSilent, TimePoint Now);
  bool isAlone() const { return this->Heard.countDaemons() <= 1; }

  QuotaBounds Bounds;
  const TimePoint Started;
  const double Draw;
  OrganisationDirectoryRef Directory;
  /// Organisations that messages name, of this version.
  std::unordered_map<OrganisationId, const OrganisationConfig *> Configs;
  bool HasLimits = false;
  FleetLiveness Heard;
  /// Since when a part of the fleet has been silent, and what is usual is not
  /// learned, while that is so.
  std::optional<TimePoint> FrozenAt;
  std::unordered_map<OrganisationId, Account> Accounts;
  /// Those that have news.
  std::vector<OrganisationId> Changed;
};

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_FLEETQUOTA_H
