//===- FleetQuota.cpp - Fleet-wide rate limits of organisations -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// In any window, a fleet admits at most what its bucket is refilled by, what
/// the bucket held, and what was overdrawn because daemons had not received
/// each other's reports yet. The constants below divide the operators' slack
/// between these three.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/FleetQuota.h"
#include "QuotaTimes.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace canvaswick {

/// Fraction of the burst that a bucket holds; fraction of the operators' slack
/// that it holds besides; and fraction of the slack with which a daemon that
/// has just started begins. A large organisation loses half of its burst, once
/// in a surge, to what is admitted before all daemons know of the surge. For a
/// small one the slack makes up for that.
static constexpr double BurstFraction = 0.5;
static constexpr double SlackFraction = 0.3;
static constexpr double InitialSlackFraction = 0.1;

/// Number of hall peers whose common silence shows soon enough that this daemon
/// is isolated.
static constexpr double ReliableHallPeers = 5;

/// With fewer peers, a bucket holds a smaller fraction of its capacity, but at
/// least this fraction, and at least this many tokens if its full capacity
/// allows it: the callers of a small organisation send in bursts.
static constexpr double MinCapacityFraction = 0.4;
static constexpr double MinCapacity = 7;

/// A bucket that is overdrawn recovers, and one with tokens left is used up,
/// within about this time.
static constexpr Duration RecoveryTime = fromSeconds(1);

/// When the demand exceeds the rate by more than this factor, the bucket is
/// used up over RecoveryTime instead of at once: in a tenfold surge it would be
/// empty before the other daemons know of the surge.
static constexpr double MaxFreeDemandRatio = 2;

/// A daemon that is cut off admits a request once it holds half a token. This
/// rounds up as often as down, so that many such daemons together admit the sum
/// of their shares.
static constexpr double MinUsableTokens = 0.5;

/// Lower bound of the wait in a refusal.
static constexpr Duration MinWait = fromMillis(100);

/// Rates and counts below this are treated as zero.
static constexpr double NegligibleRate = 0.01;

/// Bits of an OrganisationId. 48 bits keep messages short, and the chance that
/// any two of 69,000 organisations collide is 1 in 100,000.
static constexpr uint64_t IdMask = (uint64_t(1) << 48) - 1;

OrganisationId getOrganisationId(const std::string &Name) {
  return hashText(Name) & IdMask;
}

FleetQuota::FleetQuota(QuotaBounds Bounds, TimePoint Started, double Draw)
    : Bounds(Bounds), Started(Started), Draw(Draw),
      Directory(makeOrganisationDirectory({}, false)) {}

//===-- Configuration -----------------------------------------------------===//

void FleetQuota::configure(const OrganisationDirectoryRef &Given,
                           TimePoint Now) {
  if (Given == this->Directory)
    return;
  this->Directory = Given;
  this->Configs.clear();
  this->HasLimits = false;
  for (const OrganisationConfig &Each : Given->getAll()) {
    const std::string Name = Each.Name == DefaultOrganisation ? "" : Each.Name;
    this->Configs[getOrganisationId(Name)] = &Each;
    this->HasLimits |= Each.RequestsPerSecond > 0;
  }
  std::erase_if(this->Accounts, [this](const auto &Entry) {
    const auto Found = this->Configs.find(Entry.first);
    return Found == this->Configs.end() ||
           Found->second->RequestsPerSecond <= 0;
  });
  for (auto &[Id, Bucket] : this->Accounts)
    this->setLimits(Bucket, this->Configs.at(Id), Now);
}

double FleetQuota::getSlack(const Account &Bucket) const {
  return this->Bounds.Excess *
             (Bucket.Rate * toSeconds(this->Bounds.Window) + Bucket.Burst) +
         this->Bounds.Slack;
}

double FleetQuota::getCapacity(const Account &Bucket) const {
  const double Slack = this->getSlack(Bucket);
  // Without slack above the burst, other daemons are not taken into account.
  if (Slack <= 0)
    return std::max(1.0, Bucket.Burst);
  const double Reserve = BurstFraction * Bucket.Burst + SlackFraction * Slack;
  return std::max(std::min(Reserve, MinCapacity),
                  Reserve * this->getCapacityFraction());
}

/// Returns the fraction of a bucket's capacity that may be used. It grows with
/// the number of hall peers, since these determine how soon this daemon detects
/// that it is isolated: until then both sides of a partition spend the same
/// tokens.
double FleetQuota::getCapacityFraction() const {
  if (this->isAlone())
    return 1;
  const auto HallPeers = static_cast<double>(this->Liveness.countHallPeers());
  return std::clamp(HallPeers / ReliableHallPeers, MinCapacityFraction, 1.0);
}

void FleetQuota::setLimits(Account &Bucket, const OrganisationConfig *Config,
                           TimePoint Now) const {
  if (Bucket.Rate > 0) {
    this->updateUsable(Bucket, Duration::zero(), Now);
    this->refill(Bucket, Now);
  }
  Bucket.Rate = Config->RequestsPerSecond;
  Bucket.Burst = Config->Burst;
  Bucket.Tokens = std::min(Bucket.Tokens, this->getCapacity(Bucket));
  this->updateUsable(Bucket, Duration::zero(), Now);
}

/// Returns the bucket of an organisation, or null if the organisation has no
/// limit. A bucket that is created here holds what the rate has brought since
/// the process started, because what was admitted before is unknown.
FleetQuota::Account *FleetQuota::findAccount(OrganisationId Id, TimePoint Now) {
  const auto Found = this->Accounts.find(Id);
  if (Found != this->Accounts.end())
    return &Found->second;
  const auto Config = this->Configs.find(Id);
  if (Config == this->Configs.end() || Config->second->RequestsPerSecond <= 0)
    return nullptr;
  Account &Bucket =
      this->Accounts
          .emplace(Id, Account(DemandTimeConstant, TypicalTimeConstant))
          .first->second;
  Bucket.Name = Config->second->Name;
  this->setLimits(Bucket, Config->second, Now);
  const double Capacity = this->getCapacity(Bucket);
  const double Slack = this->getSlack(Bucket);
  // Without slack there is no bound to keep after a start.
  Bucket.Tokens =
      Slack > 0
          ? std::min(Capacity, InitialSlackFraction * Slack +
                                   Bucket.Rate * toSeconds(Now - this->Started))
          : Capacity;
  Bucket.RefilledAt = Now;
  Bucket.FirstSeenAt = Now;
  const double Spread = static_cast<double>(Id % 1000) / 1000;
  // Without slack, fractions of a request are never rounded up.
  Bucket.Credit = Slack > 0 ? std::fmod(this->Draw + Spread, 1.0) : 0;
  return &Bucket;
}

//===-- Decisions ---------------------------------------------------------===//

/// Decides on a request that Demand already includes.
bool FleetQuota::decide(Account &Bucket) const {
  const UsableQuota &Usable = Bucket.Usable;
  const double Tokens = getTokens(Bucket);
  if (this->isAlone())
    return Tokens >= 1;
  const bool IsSurge =
      Usable.Demand > MaxFreeDemandRatio * Usable.Rate +
                          PriorRequests / toSeconds(DemandTimeConstant);
  const double MinTokens = Usable.Silent > 0 ? MinUsableTokens : 0;
  if (Tokens > Usable.Unreported + MinTokens && !IsSurge)
    return true;
  const double TargetRate = Usable.Rate + Tokens / toSeconds(RecoveryTime);
  Bucket.Credit += std::clamp(TargetRate / Usable.Demand, 0.0, 1.0);
  if (Bucket.Credit < 1)
    return false;
  Bucket.Credit -= 1;
  return true;
}

/// Returns how long a refused caller should wait for a token, if all refused
/// callers are spread evenly over the time that it takes to serve them.
Duration FleetQuota::chooseWait(const Account &Bucket) const {
  const UsableQuota &Usable = Bucket.Usable;
  static constexpr double GoldenRatio = 0.6180339887498949;
  const double MissingTokens = std::max(0.0, 1 - getTokens(Bucket));
  if (this->isAlone())
    return fromSeconds(MissingTokens / Bucket.Rate);
  const double Waiting =
      std::max(0.0, Usable.Demand - Bucket.Rate) * toSeconds(RecoveryTime);
  const double Place =
      std::fmod(static_cast<double>(Bucket.Refused) * GoldenRatio, 1.0);
  const double Half = toSeconds(this->Bounds.Window) / 2;
  const double Until = std::min(MissingTokens / Bucket.Rate, Half);
  const double Spread = std::min(Waiting / Bucket.Rate, Half);
  return std::max(MinWait, fromSeconds(Until + Spread * Place));
}

QuotaAnswer FleetQuota::admit(const std::string &Organisation, TimePoint Now) {
  const OrganisationId Id = getOrganisationId(Organisation);
  Account *Bucket = this->findAccount(Id, Now);
  if (!Bucket)
    return {};
  Bucket->Demand.add(1, Now);
  this->markChanged(*Bucket, Id);
  this->updateFreeze(Now);
  this->updateUsable(*Bucket, Duration::zero(), Now);
  this->refill(*Bucket, Now);
  if (!this->decide(*Bucket)) {
    ++Bucket->Refused;
    return {false, this->chooseWait(*Bucket), Bucket->Rate,
            Bucket->Usable.Demand, getTokens(*Bucket)};
  }
  charge(*Bucket, 1);
  this->addTypical(Bucket->Typical, 1, Now);
  ++Bucket->Admitted;
  ++Bucket->HallAdmitted;
  return {true, Duration::zero(), Bucket->Rate, Bucket->Usable.Demand,
          getTokens(*Bucket)};
}

void FleetQuota::giveBack(const std::string &Organisation, TimePoint Now) {
  const OrganisationId Id = getOrganisationId(Organisation);
  Account *Bucket = this->findAccount(Id, Now);
  if (!Bucket)
    return;
  charge(*Bucket, -1);
  this->addTypical(Bucket->Typical, -1, Now);
  --Bucket->Admitted;
  --Bucket->HallAdmitted;
  this->markChanged(*Bucket, Id);
}

//===-- Maintenance -------------------------------------------------------===//

void FleetQuota::forgetIdle(TimePoint Now) {
  for (auto &[Id, Bucket] : this->Accounts) {
    std::erase_if(Bucket.SourceUsages, [this, Now, &Account = Bucket](
                                           const SourceUsage &Each) {
      return this->hasLeft(Each, Now) ||
             (this->getTypicalRate(Account, Each, Now) < NegligibleRate &&
              Each.Demand == 0);
    });
    this->updateUsable(Bucket, Duration::zero(), Now);
    this->refill(Bucket, Now);
  }
  this->Liveness.forgetDeparted(Now);
  std::erase_if(this->Accounts, [this, Now](const auto &Entry) {
    const Account &Bucket = Entry.second;
    return Bucket.SourceUsages.empty() &&
           this->getLocalTypicalRate(Bucket, Now) < NegligibleRate &&
           Bucket.Demand.get(Now) < NegligibleRate &&
           Bucket.Tokens >= this->getCapacity(Bucket);
  });
}

std::vector<QuotaStatus> FleetQuota::describe(size_t Max, TimePoint Now) const {
  std::vector<QuotaStatus> All;
  for (const auto &[Id, Bucket] : this->Accounts) {
    const UsableQuota Usable = this->computeUsable(Bucket, Now);
    QuotaStatus Each;
    Each.Name = Bucket.Name;
    Each.RequestsPerSecond = Bucket.Rate;
    Each.Tokens = getTokens(Bucket);
    Each.FleetDemand = Usable.Demand;
    Each.LocalDemand = Bucket.Demand.getRate(Now);
    Each.Admitted = Bucket.Admitted;
    Each.Refused = Bucket.Refused;
    Each.Silent = Usable.Silent;
    All.push_back(std::move(Each));
  }
  std::sort(All.begin(), All.end(),
            [](const QuotaStatus &Left, const QuotaStatus &Right) {
              return std::pair(-Left.FleetDemand, Left.Name) <
                     std::pair(-Right.FleetDemand, Right.Name);
            });
  if (All.size() > Max)
    All.resize(Max);
  return All;
}

} // namespace canvaswick
