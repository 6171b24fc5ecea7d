//===- FleetQuota.cpp - Organisations' rates over a whole fleet -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// In any window of time a fleet admits at most what its bucket fills by, what
/// the bucket held, and what was taken below zero because daemons had not heard
/// of each other yet. The constants below divide the operators' slack between
/// the three.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/FleetQuota.h"
#include "QuotaTimes.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace canvaswick {

/// Part of the burst that a bucket holds, and parts of the operators' slack
/// that it holds besides, and that a daemon which has just started takes to be
/// there. A large organisation loses half of its burst, once in a rise, for
/// what is admitted before all have heard of it. A small one's slack makes up
/// for that.
static constexpr double BurstPart = 0.5;
static constexpr double SavedPart = 0.3;
static constexpr double StartPart = 0.1;

/// Daemons of a hall beside this one whose silence together shows soon enough
/// that it is cut off.
static constexpr double SureNear = 5;

/// With fewer, this part of what may be saved up is, and so many requests: a
/// small organisation's callers come together at times.
static constexpr double LeastSavedPart = 0.4;
static constexpr double LeastSaved = 7;

/// A bucket that is below its bottom is brought back, and one that is above is
/// used up, within about this time.
static constexpr Duration RecoveryTime = fromSeconds(1);

/// Once more than this many times the rate is asked, the bucket is used up over
/// RecoveryTime instead of at once: in a tenfold rise it would be empty before
/// the others hear of it.
static constexpr double MostFree = 2;

/// Who is cut off takes a request once it holds half of one: rounded as often
/// up as down, what many such daemons take comes to their parts.
static constexpr double LeastTaken = 0.5;

/// Bounds of a wait that is told.
static constexpr Duration LeastWait = fromMillis(100);

/// Smaller levels are as good as none.
static constexpr double LeastLevel = 0.01;

/// Bits of an OrganisationId: short in messages, and among 69,000
/// organisations two share one with a chance of 1 in 100,000.
static constexpr uint64_t IdMask = (uint64_t(1) << 48) - 1;

OrganisationId getOrganisationId(const std::string &Name) {
  return hashText(Name) & IdMask;
}

FleetQuota::FleetQuota(QuotaBounds Bounds, TimePoint Started, double Draw)
    : Bounds(Bounds), Started(Started), Draw(Draw),
      Directory(makeOrganisationDirectory({}, false)) {}

//===-- Whose limits ------------------------------------------------------===//

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
  for (auto &[Id, Of] : this->Accounts)
    this->setLimits(Of, this->Configs.at(Id), Now);
}

double FleetQuota::getSlack(const Account &Of) const {
  return this->Bounds.Excess *
             (Of.Rate * toSeconds(this->Bounds.Window) + Of.Burst) +
         this->Bounds.Slack;
}

double FleetQuota::getSize(const Account &Of) const {
  const double Slack = this->getSlack(Of);
  // Where nothing is borne above the burst, nothing is known of other daemons.
  if (Slack <= 0)
    return std::max(1.0, Of.Burst);
  const double Saved = BurstPart * Of.Burst + SavedPart * Slack;
  return std::max(std::min(Saved, LeastSaved), Saved * this->getSavedPart());
}

/// Returns the part of what may be saved up that is, by how soon this daemon
/// sees that it is cut off: until then both sides spend what is there.
double FleetQuota::getSavedPart() const {
  if (this->isAlone())
    return 1;
  const auto Near = static_cast<double>(this->Heard.countHallPeers());
  return std::clamp(Near / SureNear, LeastSavedPart, 1.0);
}

void FleetQuota::setLimits(Account &Of, const OrganisationConfig *Config,
                           TimePoint Now) const {
  if (Of.Rate > 0) {
    this->updateUsable(Of, Duration::zero(), Now);
    this->refill(Of, Now);
  }
  Of.Rate = Config->RequestsPerSecond;
  Of.Burst = Config->Burst;
  Of.Tokens = std::min(Of.Tokens, this->getSize(Of));
  this->updateUsable(Of, Duration::zero(), Now);
}

/// Returns an organisation's account, or null if it has no limit. One that is
/// new to this daemon holds what the rate has brought since the process began:
/// what was admitted before is not known.
FleetQuota::Account *FleetQuota::findAccount(OrganisationId Id, TimePoint Now) {
  const auto Found = this->Accounts.find(Id);
  if (Found != this->Accounts.end())
    return &Found->second;
  const auto Config = this->Configs.find(Id);
  if (Config == this->Configs.end() || Config->second->RequestsPerSecond <= 0)
    return nullptr;
  Account &Of =
      this->Accounts.emplace(Id, Account(AskedFade, UsualFade)).first->second;
  Of.Name = Config->second->Name;
  this->setLimits(Of, Config->second, Now);
  const double Size = this->getSize(Of);
  const double Slack = this->getSlack(Of);
  // Without a stated bound there is nothing to keep to after a start.
  Of.Tokens = Slack > 0
                  ? std::min(Size, StartPart * Slack +
                                       Of.Rate * toSeconds(Now - this->Started))
                  : Size;
  Of.At = Now;
  Of.Since = Now;
  const double Spread = static_cast<double>(Id % 1000) / 1000;
  // Where nothing is borne above the burst, no part of a request is rounded up.
  Of.Credit = Slack > 0 ? std::fmod(this->Draw + Spread, 1.0) : 0;
  return &Of;
}

//===-- Decisions ---------------------------------------------------------===//

/// Decides on a request that is in the levels already.
bool FleetQuota::decide(Account &Of) const {
  const UsableQuota &Within = Of.Within;
  const double Tokens = getTokens(Of);
  if (this->isAlone())
    return Tokens >= 1;
  const bool IsRise = Within.Demand > MostFree * Within.Rate +
                                          ImaginedAsked / toSeconds(AskedFade);
  const double Least = Within.Silent > 0 ? LeastTaken : 0;
  if (Tokens > Within.Unheard + Least && !IsRise)
    return true;
  const double Wanted = Within.Rate + Tokens / toSeconds(RecoveryTime);
  Of.Credit += std::clamp(Wanted / Within.Demand, 0.0, 1.0);
  if (Of.Credit < 1)
    return false;
  Of.Credit -= 1;
  return true;
}

/// Returns when a token will be there for a caller that is refused, if all who
/// are refused come back evenly spread over the time that serving them takes.
Duration FleetQuota::chooseWait(const Account &Of) const {
  const UsableQuota &Within = Of.Within;
  static constexpr double GoldenRatio = 0.6180339887498949;
  const double Missing = std::max(0.0, 1 - getTokens(Of));
  if (this->isAlone())
    return fromSeconds(Missing / Of.Rate);
  const double Waiting =
      std::max(0.0, Within.Demand - Of.Rate) * toSeconds(RecoveryTime);
  const double Place =
      std::fmod(static_cast<double>(Of.Refused) * GoldenRatio, 1.0);
  const double Half = toSeconds(this->Bounds.Window) / 2;
  const double Until = std::min(Missing / Of.Rate, Half);
  const double Spread = std::min(Waiting / Of.Rate, Half);
  return std::max(LeastWait, fromSeconds(Until + Spread * Place));
}

QuotaAnswer FleetQuota::admit(const std::string &Organisation, TimePoint Now) {
  const OrganisationId Id = getOrganisationId(Organisation);
  Account *Of = this->findAccount(Id, Now);
  if (!Of)
    return {};
  Of->Demand.add(1, Now);
  this->noteChange(*Of, Id);
  this->updateFreeze(Now);
  this->updateUsable(*Of, Duration::zero(), Now);
  this->refill(*Of, Now);
  if (!this->decide(*Of)) {
    ++Of->Refused;
    return {false, this->chooseWait(*Of), Of->Rate, Of->Within.Demand,
            getTokens(*Of)};
  }
  charge(*Of, 1);
  this->addUsual(Of->Usual, 1, Now);
  ++Of->Admitted;
  ++Of->HallAdmitted;
  return {};
}

void FleetQuota::giveBack(const std::string &Organisation, TimePoint Now) {
  const OrganisationId Id = getOrganisationId(Organisation);
  Account *Of = this->findAccount(Id, Now);
  if (!Of)
    return;
  charge(*Of, -1);
  this->addUsual(Of->Usual, -1, Now);
  --Of->Admitted;
  --Of->HallAdmitted;
  this->noteChange(*Of, Id);
}

//===-- What is kept ------------------------------------------------------===//

void FleetQuota::forgetIdle(TimePoint Now) {
  for (auto &[Id, Of] : this->Accounts) {
    std::erase_if(Of.Parts, [this, Now, &Account = Of](const Part &Each) {
      return this->hasLeft(Each, Now) ||
             (this->getUsualRate(Account, Each, Now) < LeastLevel &&
              Each.Demand == 0);
    });
    this->updateUsable(Of, Duration::zero(), Now);
    this->refill(Of, Now);
  }
  this->Heard.forgetDeparted(Now);
  std::erase_if(this->Accounts, [this, Now](const auto &Entry) {
    const Account &Of = Entry.second;
    return Of.Parts.empty() && this->getOwnUsualRate(Of, Now) < LeastLevel &&
           Of.Demand.get(Now) < LeastLevel && Of.Tokens >= this->getSize(Of);
  });
}

std::vector<QuotaStatus> FleetQuota::describe(size_t Most,
                                              TimePoint Now) const {
  std::vector<QuotaStatus> All;
  for (const auto &[Id, Of] : this->Accounts) {
    const UsableQuota Within = this->computeUsable(Of, Now);
    QuotaStatus Each;
    Each.Name = Of.Name;
    Each.RequestsPerSecond = Of.Rate;
    Each.Tokens = getTokens(Of);
    Each.FleetDemand = Within.Demand;
    Each.LocalDemand = Of.Demand.getRate(Now);
    Each.Admitted = Of.Admitted;
    Each.Refused = Of.Refused;
    Each.Silent = Within.Silent;
    All.push_back(std::move(Each));
  }
  std::sort(All.begin(), All.end(),
            [](const QuotaStatus &Left, const QuotaStatus &Right) {
              return std::pair(-Left.FleetDemand, Left.Name) <
                     std::pair(-Right.FleetDemand, Right.Name);
            });
  if (All.size() > Most)
    All.resize(Most);
  return All;
}

} // namespace canvaswick
