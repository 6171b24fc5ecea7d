//===- PeerExchange.cpp - What a gateway and its peers share --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The health rounds send; the link's thread takes what comes; threads of
/// requests borrow.
///
//===----------------------------------------------------------------------===//

#include "PeerExchange.h"

#include <algorithm>

namespace canvaswick {

/// How often another hall hears of this one's servers: a few times within the
/// shortest spells, and at a price of bytes between halls.
static constexpr Duration EstimateInterval = fromMillis(400);

/// How often a daemon that has just started hears of its hall's experience:
/// before the balancer, which asks once a second, has sent it much.
static constexpr Duration NewcomerInterval = fromMillis(500);

/// How often a daemon that watches the store says again when it last heard from
/// it: once more at least while others still count on what it said before, in
/// case that message was lost.
static constexpr Duration WatcherInterval = fromMillis(300);

/// How often a hall says again under which requests servers ended: a few times
/// within the three seconds in which all must know it, as messages get lost.
static constexpr Duration SuspectInterval = fromMillis(500);

/// Ends and answers in one such message; at under 50 bytes each they fit.
static constexpr size_t MostSuspectRows = 20;

/// Time that a daemon gives to one message of a peer, on the long run. Together
/// the daemons of a hall send each other one in this time, so that what one
/// receives does not grow with the hall: 250 a second.
static constexpr Duration TimeOfMessage = fromMillis(4);

/// Messages that may leave at once after a quiet time.
static constexpr double MostRights = 5;

/// How often a daemon says again what it has in flight. A lost message that one
/// has ended would otherwise look like a server that does not answer.
static constexpr Duration InFlightRepeat = fromMillis(250);

/// Where organisations have limits, a daemon speaks to its hall at least this
/// often, so that silence shows that it is not reached.
static constexpr Duration HeartbeatInterval = fromMillis(250);

/// How often a hall tells others of organisations that come near their limit,
/// of those that ask more than the hall's part, and of all.
static constexpr Duration HallLevelInterval = fromMillis(200);
static constexpr Duration UrgentLevelInterval = fromMillis(50);
static constexpr Duration AllLevelInterval = fromMillis(1000);

PeerExchange::PeerExchange(const DaemonRecord &Self,
                           const FleetRuntimeSlot &Fleet,
                           RequestQuarantine &Guard,
                           OrganisationQuotas &Organisations,
                           ServerNoticeTable &Notices, CounterTable &Counters,
                           PeerLink::Handler Heard,
                           const PolicySwitches &Switches)
    : Name(Self.Name), Hall(Self.Hall), Fleet(Fleet), Guard(Guard),
      Organisations(Organisations), Notices(Notices), Counters(Counters),
      Heard(std::move(Heard)), Switches(Switches), Rights(MostRights),
      Loans(std::random_device()(), Counters,
            [this](const RetryLoan &Loan, bool AsksRemoteHall) {
              this->Link.sendLoanRequest(Loan, AsksRemoteHall);
            }),
      Link(Self, static_cast<uint64_t>(readCalendarMillis()), Counters,
           [this](const PeerMessage &Message) { this->takeMessage(Message); }) {
}

Result<void> PeerExchange::start() { return this->Link.start(); }

void PeerExchange::stop() { this->Link.stop(); }

void PeerExchange::setPeers(const std::vector<DaemonRecord> &Daemons) {
  this->Link.setPeers(Daemons);
  std::vector<std::string> Near;
  std::map<std::string, size_t> Far;
  for (const DaemonRecord &Each : Daemons)
    if (Each.Hall != this->Hall)
      ++Far[Each.Hall];
    else if (Each.Name != this->Name)
      Near.push_back(Each.Name);
  this->Organisations.with([&](FleetQuota &All) {
    All.getLiveness().setFleet(Near, Far, readSteadyClock());
  });
}

void PeerExchange::setStoreState(const StoreState &State, bool IsNews,
                                 TimePoint Now) {
  this->IsWatching = State.IsWatching;
  this->Link.setStoreState(State);
  if (IsNews)
    this->Link.sendStoreState(Now);
}

/// Takes the right to one message now. The caller holds NewsMutex.
bool PeerExchange::takeRight(TimePoint Now) {
  const double Each = toSeconds(TimeOfMessage) *
                      static_cast<double>(this->Link.countHallDaemons());
  const double Grown = toSeconds(Now - this->RightsAt) / Each;
  this->Rights = std::min(MostRights, this->Rights + std::max(0.0, Grown));
  this->RightsAt = std::max(this->RightsAt, Now);
  if (this->Rights < 1)
    return false;
  this->Rights -= 1;
  return true;
}

/// Sends what was seen since the last message and all that is in flight. The
/// caller holds NewsMutex, so that messages leave in the order of their counts.
void PeerExchange::sendNews(const FleetRuntime &Current, TimePoint Now) {
  std::vector<Observation> Observations;
  std::vector<InFlightReport> InFlight;
  for (const ServiceRuntimeRef &Service : Current.getServices()) {
    const std::vector<Observation> More = Service->drainLocalObservations();
    Observations.insert(Observations.end(), More.begin(), More.end());
    if (this->Switches.isOn(Mechanism::SharedInFlight))
      Service->appendInFlight(InFlight, Now);
  }
  this->HasNews = false;
  this->HadInFlight = !InFlight.empty();
  this->NewsAt = Now;
  std::vector<QuotaUsage> Usages =
      this->Organisations.with([Now](FleetQuota &All) {
        return All.drainUsageChanges(PeerLink::MaxPiggybackedUsages, Now);
      });
  std::vector<LimitReport> Limits;
  if (!this->Notices.isEmpty())
    Limits = this->Notices.with([Now](ServerNotices &All) {
      return All.drainLimitReports(PeerLink::MaxPiggybackedLimits, Now);
    });
  if (this->Switches.isOn(Mechanism::PooledObservations))
    this->Link.sendObservations(std::move(Observations), InFlight,
                                std::move(Usages), std::move(Limits));
}

void PeerExchange::notifyRequestChange(TimePoint Now) {
  const FleetRuntimeRef Current = this->Fleet.get();
  if (!Current)
    return;
  std::lock_guard<std::mutex> Lock(this->NewsMutex);
  this->HasNews = true;
  if (this->Switches.isOn(Mechanism::SharedInFlight) && this->takeRight(Now))
    this->sendNews(*Current, Now);
}

/// Sends what could not be sent at once, and says again what is in flight.
void PeerExchange::repeatInFlight(const FleetRuntime &Current, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->NewsMutex);
  const bool IsRepeatDue =
      this->HadInFlight && Now - this->NewsAt >= InFlightRepeat;
  if (!this->HasNews && !IsRepeatDue)
    return;
  if (!this->Switches.isOn(Mechanism::SharedInFlight) || this->takeRight(Now))
    this->sendNews(Current, Now);
}

/// Returns what other halls should hear now of organisations, or nothing if
/// nothing is due or another daemon of this hall tells it.
std::optional<std::vector<QuotaUsage>>
PeerExchange::takeHallNews(TimePoint Now) {
  const Duration Since = Now - this->HallLevelsAt;
  if (Since < UrgentLevelInterval)
    return std::nullopt;
  const bool WantsAll = Now - this->AllLevelsAt >= AllLevelInterval;
  std::optional<std::vector<QuotaUsage>> News;
  this->Organisations.with([&](FleetQuota &All) {
    if (!All.getLiveness().isHallReporter(this->Name, Now))
      return;
    if (Since >= HallLevelInterval || All.isUrgent(Now))
      News = All.getHallUsage(WantsAll, Now);
  });
  if (!News)
    return std::nullopt;
  this->HallLevelsAt = Now;
  if (WantsAll)
    this->AllLevelsAt = Now;
  return News;
}

/// Speaks to this hall if that is due, and for it to the other halls if that is
/// this daemon's part.
void PeerExchange::tellOrganisations(const FleetRuntime &Current,
                                     TimePoint Now) {
  if (!this->Organisations.with(
          [](FleetQuota &All) { return All.hasLimits(); }))
    return;
  {
    std::lock_guard<std::mutex> Lock(this->NewsMutex);
    if (Now - this->NewsAt >= HeartbeatInterval)
      this->sendNews(Current, Now);
  }
  if (const auto News = this->takeHallNews(Now))
    this->Link.sendHallUsages(*News);
}

void PeerExchange::runRound(const FleetRuntime &Current, Duration Interval,
                            TimePoint Now) {
  this->repeatInFlight(Current, Now);
  this->tellOrganisations(Current, Now);
  if (this->IsWatching && Now - this->WatcherNewsAt >= WatcherInterval) {
    this->WatcherNewsAt = Now;
    this->Link.sendStoreState(Now);
  }
  if (this->isMyTurn(SuspectInterval, Interval))
    this->retellSuspects(Now);
  if (this->Switches.isOn(Mechanism::HallEstimates) &&
      this->isMyTurn(EstimateInterval, Interval))
    this->sendEstimates(Current, Now);
  if (this->Switches.isOn(Mechanism::StartupEstimates) &&
      this->isMyTurn(NewcomerInterval, Interval))
    this->sendUsedEstimates(Current, Now);
}

void PeerExchange::reportPoisonRequests(const PoisonRequestUpdate &News,
                                        TimePoint Now) {
  this->Link.sendPoisonReport(makePoisonReport(News, Now));
}

/// Says again what the hall knows of requests under which servers ended, for
/// those that missed it or have just started.
void PeerExchange::retellSuspects(TimePoint Now) {
  const PoisonRequestUpdate News =
      this->Guard.buildUpdate(MostSuspectRows, Now);
  if (!News.isEmpty())
    this->reportPoisonRequests(News, Now);
}

/// Draws whether this daemon is the one of its hall to speak in this round, so
/// that together they do once in Wanted. All think nearly the same.
bool PeerExchange::isMyTurn(Duration Wanted, Duration Interval) {
  const double Rounds = toSeconds(Wanted) / toSeconds(Interval);
  const double Daemons = static_cast<double>(this->Link.countHallDaemons());
  std::bernoulli_distribution IsDue(std::min(1.0, 1 / (Rounds * Daemons)));
  return IsDue(this->Random);
}

/// Tells other halls what this one thinks of its servers and how its requests
/// fare.
void PeerExchange::sendEstimates(const FleetRuntime &Current, TimePoint Now) {
  std::vector<HealthEstimate> Estimates;
  std::vector<HallFailureRate> Rates;
  for (const ServiceRuntimeRef &Service : Current.getServices()) {
    const std::vector<HealthEstimate> More = Service->getSameHallEstimates(Now);
    Estimates.insert(Estimates.end(), More.begin(), More.end());
    Rates.push_back(Service->getFailureRate(Now));
  }
  std::vector<LimitReport> Limits;
  if (!this->Notices.isEmpty())
    Limits = this->Notices.with([Now](const ServerNotices &All) {
      return All.listLimitReports(PeerLink::MaxPiggybackedLimits, Now);
    });
  this->Link.sendEstimates(std::move(Estimates), std::move(Rates),
                           std::move(Limits));
}

/// Tells daemons of this hall that have just started what it thinks of all
/// servers that it has used.
void PeerExchange::sendUsedEstimates(const FleetRuntime &Current,
                                     TimePoint Now) {
  std::vector<HealthEstimate> Estimates;
  for (const ServiceRuntimeRef &Service : Current.getServices()) {
    const std::vector<HealthEstimate> More = Service->getUsedEstimates(Now);
    Estimates.insert(Estimates.end(), More.begin(), More.end());
  }
  this->Link.sendLocalEstimates(std::move(Estimates));
}

bool PeerExchange::borrowRetry(ServiceRuntime &Service, TimePoint Now) {
  return this->Switches.isOn(Mechanism::RetryLoans) &&
         this->Loans.borrow(Service, Now);
}

/// Lends to a peer that asks, and takes what one lends.
void PeerExchange::takeLoans(const FleetRuntime &Current,
                             const PeerMessage &Message, TimePoint Now) {
  for (const RetryLoan &Loan : Message.LoanRequests)
    for (const ServiceRuntimeRef &Service : Current.getServices())
      if (Service->getId() == Loan.Service && Service->tryLendRetry(Now)) {
        this->Counters.add(Counter::RepeatsLent);
        this->Link.sendLoanGrant(Message.Source, Loan);
      }
  for (const RetryLoan &Loan : Message.LoanGrants)
    this->Loans.handleGrant(Loan);
}

/// Takes what a peer saw and thinks, for one service.
void PeerExchange::takeEvidence(ServiceRuntime &Service,
                                const PeerMessage &Message, TimePoint Now) {
  for (const Observation &Each : Message.Observations)
    Service.applyObservation(Each, Now);
  if (Message.InFlight && Message.Hall == this->Hall)
    Service.applyPeerInFlight(Message.Source, Message.Sequence,
                              *Message.InFlight, Now);
  for (const HealthEstimate &Each : Message.Estimates)
    if (Message.Hall == this->Hall)
      Service.applySameHallEstimate(Each, Now);
    else
      Service.applyRemoteEstimate(Each, Now);
  for (const HallFailureRate &Each : Message.Rates)
    Service.applyFailureRate(Message.Hall, Each, Now);
  for (const LimitReport &Each : Message.Limits)
    for (const NoticeChange &Change : Service.applyPeerLimit(Each, Now))
      logNoticeChange(Change, "");
}

/// Takes what a peer says of organisations. Any message of this hall shows that
/// its daemon is reached.
void PeerExchange::takeLevels(const PeerMessage &Message, TimePoint Now) {
  this->Organisations.with([&](FleetQuota &All) {
    if (Message.Hall == this->Hall)
      All.applyPeerUsage(Message.Source, Message.Usages, Now);
    else if (Message.HallUsages)
      All.applyHallUsage(Message.Hall, Message.Source, *Message.HallUsages,
                         Now);
  });
}

/// Takes what a peer says, on the link's thread.
void PeerExchange::takeMessage(const PeerMessage &Message) {
  if (this->Heard)
    this->Heard(Message);
  const TimePoint Now = readSteadyClock();
  this->takeLevels(Message, Now);
  if (!Message.PoisonRequests.isEmpty())
    this->Guard.mergeUpdate(readPoisonReport(Message.PoisonRequests, Now), Now);
  const FleetRuntimeRef Current = this->Fleet.get();
  if (!Current)
    return;
  this->takeLoans(*Current, Message, Now);
  for (const ServiceRuntimeRef &Service : Current->getServices())
    this->takeEvidence(*Service, Message, Now);
}

} // namespace canvaswick
