//===- PeerExchange.cpp - A gateway's exchange with peers -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The health rounds send, the link's thread handles received messages, and the
/// threads of requests borrow retries.
///
//===----------------------------------------------------------------------===//

#include "PeerExchange.h"

#include <algorithm>

namespace canvaswick {

/// How often a hall sends its estimates to other halls: several times within
/// the shortest failure episodes, limited by the traffic between halls.
static constexpr Duration EstimateInterval = fromMillis(400);

/// How often a hall sends its estimates to its own daemons, for those that have
/// just started: before the load balancer, which checks readiness once a
/// second, sends them many requests.
static constexpr Duration NewcomerInterval = fromMillis(500);

/// The maximum number of servers whose estimates are sent at once. One daemon
/// of each hall passes them on to all others of its hall, over its own link.
static constexpr size_t MaxEstimates = 200;

/// How often a daemon that watches the store reports the time of the store's
/// last answer: at least twice within the time for which others rely on one
/// report, in case a message is lost.
static constexpr Duration WatcherInterval = fromMillis(300);

/// How often a hall repeats its report on poison requests: several times within
/// the three seconds in which all daemons must learn of them, because messages
/// may be lost.
static constexpr Duration PoisonReportInterval = fromMillis(500);

/// The maximum number of ends and answers in such a message. Each takes less
/// than 50 bytes, so they fit into a datagram.
static constexpr size_t MaxPoisonRows = 20;

/// How often a hall repeats which servers are gone, for daemons that missed it
/// or have just started: several times while they are taken to be gone.
static constexpr Duration GoneServersInterval = fromMillis(500);

/// How often a daemon repeats its list of requests in flight. Otherwise the
/// loss of the message that a request has ended would look like a server that
/// does not answer.
static constexpr Duration InFlightResendInterval = fromMillis(250);

/// If organisations have limits, a daemon sends to its hall at least this
/// often, so that missing messages show that it is unreachable.
static constexpr Duration HeartbeatInterval = fromMillis(250);

/// How often a hall reports to other halls: organisations close to their limit,
/// organisations whose demand exceeds the hall's part, and all organisations.
static constexpr Duration HallUsageInterval = fromMillis(200);
static constexpr Duration UrgentUsageInterval = fromMillis(50);
static constexpr Duration FullUsageInterval = fromMillis(1000);

PeerExchange::PeerExchange(const DaemonRecord &Self,
                           const FleetRuntimeSlot &Fleet,
                           RequestQuarantine &Quarantine,
                           OrganisationQuotas &Organisations,
                           ServerPaths &Paths, ServerNoticeTable &Notices,
                           CounterTable &Counters, PeerLink::Handler OnMessage,
                           const PolicySwitches &Switches)
    : Name(Self.Name), Hall(Self.Hall), Fleet(Fleet), Quarantine(Quarantine),
      Organisations(Organisations), Paths(Paths), Notices(Notices),
      Counters(Counters), OnMessage(std::move(OnMessage)), Switches(Switches),
      Borrower(std::random_device()(), Counters,
               [this](const RetryLoan &Loan, bool AsksRemoteHall) {
                 this->Link.sendLoanRequest(Loan, AsksRemoteHall);
               }),
      Link(Self, static_cast<uint64_t>(readCalendarMillis()), Counters,
           [this](const PeerMessage &Message) {
             this->handleMessage(Message);
           }) {}

Result<void> PeerExchange::start() { return this->Link.start(); }

void PeerExchange::stop() { this->Link.stop(); }

void PeerExchange::setPeers(const std::vector<DaemonRecord> &Daemons) {
  this->Link.setPeers(Daemons);
  std::vector<std::string> LocalPeers;
  std::map<std::string, size_t> RemotePeers;
  std::vector<TunnelPeer> Tunnels;
  for (const DaemonRecord &Each : Daemons) {
    if (Each.Hall != this->Hall)
      ++RemotePeers[Each.Hall];
    else if (Each.Name != this->Name)
      LocalPeers.push_back(Each.Name);
    if (Each.Name != this->Name)
      Tunnels.push_back({Each.Name, Each.Hall, Each.Peer});
  }
  this->Paths.setPeers(this->Hall, std::move(Tunnels));
  this->Organisations.with([&](FleetQuota &Quota) {
    Quota.getLiveness().setFleet(LocalPeers, RemotePeers, readSteadyClock());
  });
}

void PeerExchange::setStoreState(const StoreState &State, bool ShouldNotify,
                                 TimePoint Now) {
  this->IsWatching = State.IsWatching;
  this->Link.setStoreState(State);
  if (ShouldNotify)
    this->Link.sendStoreState(Now);
}

/// Takes the token for one update, whose urgency is that of what it holds.
/// Returns false if there is none. The caller holds UpdateMutex.
bool PeerExchange::takeSendToken(const FleetRuntime &Current, TimePoint Now) {
  const bool IsUrgent =
      this->Switches.isOn(Mechanism::UrgentFailures) &&
      std::any_of(Current.getServices().begin(), Current.getServices().end(),
                  [](const ServiceRuntimeRef &Service) {
                    return Service->hasUrgentObservation();
                  });
  return this->Budget.tryTake(IsUrgent ? MessageUrgency::Urgent
                                       : MessageUrgency::Ordinary,
                              this->Link.countHallDaemons(), Now);
}

/// Sends the observations since the last message and all requests in flight.
/// The caller holds UpdateMutex, so that messages are sent in the order of
/// their sequence numbers.
void PeerExchange::sendUpdate(const FleetRuntime &Current, TimePoint Now) {
  std::vector<Observation> Observations;
  std::vector<InFlightReport> InFlight;
  for (const ServiceRuntimeRef &Service : Current.getServices()) {
    const std::vector<Observation> More = Service->drainLocalObservations(Now);
    Observations.insert(Observations.end(), More.begin(), More.end());
    if (this->Switches.isOn(Mechanism::SharedInFlight))
      Service->appendInFlight(InFlight, Now);
  }
  this->HasPendingUpdate = false;
  this->HadInFlight = !InFlight.empty();
  this->LastUpdate = Now;
  std::vector<QuotaUsage> Usages =
      this->Organisations.with([Now](FleetQuota &Quota) {
        return Quota.drainUsageChanges(PeerLink::MaxPiggybackedUsages, Now);
      });
  std::vector<LimitReport> Limits;
  if (!this->Notices.isEmpty())
    Limits = this->Notices.with([Now](ServerNotices &Known) {
      return Known.drainLimitReports(PeerLink::MaxPiggybackedLimits, Now);
    });
  if (this->Switches.isOn(Mechanism::PooledObservations))
    this->Link.sendObservations(std::move(Observations), InFlight,
                                std::move(Usages), std::move(Limits));
}

void PeerExchange::notifyRequestChange(TimePoint Now) {
  this->reportGoneServers(Now);
  const FleetRuntimeRef Current = this->Fleet.get();
  if (!Current)
    return;
  std::lock_guard<std::mutex> Lock(this->UpdateMutex);
  this->HasPendingUpdate = true;
  if (this->Switches.isOn(Mechanism::SharedInFlight) &&
      this->takeSendToken(*Current, Now))
    this->sendUpdate(*Current, Now);
}

/// Sends an update that had no token at first, or repeats the requests in
/// flight when that is due.
void PeerExchange::sendDueUpdate(const FleetRuntime &Current, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->UpdateMutex);
  const bool IsResendDue =
      this->HadInFlight && Now - this->LastUpdate >= InFlightResendInterval;
  if (!this->HasPendingUpdate && !IsResendDue)
    return;
  if (!this->Switches.isOn(Mechanism::SharedInFlight) ||
      this->takeSendToken(Current, Now))
    this->sendUpdate(Current, Now);
}

/// Returns the usage to report to other halls now, or nothing if none is due or
/// another daemon reports for this hall.
std::optional<std::vector<QuotaUsage>>
PeerExchange::collectHallUsage(TimePoint Now) {
  const Duration Since = Now - this->HallUsageSent;
  if (Since < UrgentUsageInterval)
    return std::nullopt;
  const bool WantsAll = Now - this->FullHallUsageSent >= FullUsageInterval;
  std::optional<std::vector<QuotaUsage>> Update;
  this->Organisations.with([&](FleetQuota &Quota) {
    if (!Quota.getLiveness().isHallReporter(this->Name, Now))
      return;
    if (Since >= HallUsageInterval || Quota.isUrgent(Now))
      Update = Quota.getHallUsage(WantsAll, Now);
  });
  if (!Update)
    return std::nullopt;
  this->HallUsageSent = Now;
  if (WantsAll)
    this->FullHallUsageSent = Now;
  return Update;
}

/// Sends a heartbeat to this hall if one is due, and the hall's usage to other
/// halls if this daemon is the hall reporter.
void PeerExchange::reportQuotaUsage(const FleetRuntime &Current,
                                    TimePoint Now) {
  if (!this->Organisations.with(
          [](FleetQuota &Quota) { return Quota.hasLimits(); }))
    return;
  {
    std::lock_guard<std::mutex> Lock(this->UpdateMutex);
    if (Now - this->LastUpdate >= HeartbeatInterval)
      this->sendUpdate(Current, Now);
  }
  if (const auto Update = this->collectHallUsage(Now))
    this->Link.sendHallUsages(*Update);
}

/// Tells this hall at once when this daemon is cut off from all servers, and
/// when it no longer is. All later messages repeat it.
void PeerExchange::reportPaths(TimePoint Now) {
  const bool IsCutOff = this->Paths.isIsolated();
  if (IsCutOff == this->WasCutOff)
    return;
  this->WasCutOff = IsCutOff;
  this->Link.setCutOff(IsCutOff);
  this->Link.sendStoreState(Now);
}

void PeerExchange::runRound(const FleetRuntime &Current, Duration Interval,
                            TimePoint Now) {
  this->reportPaths(Now);
  this->sendDueUpdate(Current, Now);
  this->reportQuotaUsage(Current, Now);
  if (this->IsWatching && Now - this->StoreStateSent >= WatcherInterval) {
    this->StoreStateSent = Now;
    this->Link.sendStoreState(Now);
  }
  if (this->drawTurn(PoisonReportInterval, Interval))
    this->resendPoisonRequests(Now);
  if (this->drawTurn(GoneServersInterval, Interval))
    this->resendGoneServers(Now);
  if (this->Switches.isOn(Mechanism::HallEstimates) &&
      this->drawTurn(EstimateInterval, Interval))
    this->sendEstimates(Current, Now);
  if (this->Switches.isOn(Mechanism::StartupEstimates) &&
      this->drawTurn(NewcomerInterval, Interval))
    this->sendUsedEstimates(Current, Now);
}

void PeerExchange::reportPoisonRequests(const PoisonRequestUpdate &Update,
                                        TimePoint Now) {
  this->Link.sendPoisonReport(makePoisonReport(Update, Now));
}

/// Repeats the report on poison requests, for daemons that missed it or have
/// just started.
void PeerExchange::resendPoisonRequests(TimePoint Now) {
  const PoisonRequestUpdate Update =
      this->Quarantine.buildUpdate(MaxPoisonRows, Now);
  if (!Update.isEmpty())
    this->reportPoisonRequests(Update, Now);
}

/// Reports the servers that have just proved to be gone.
void PeerExchange::reportGoneServers(TimePoint Now) {
  if (this->Notices.isEmpty())
    return;
  std::vector<GoneReport> Reports =
      this->Notices.with([Now](ServerNotices &Known) {
        return Known.drainGoneReports(PeerLink::MaxGoneServers, Now);
      });
  if (!Reports.empty())
    this->Link.sendGoneServers(std::move(Reports));
}

void PeerExchange::resendGoneServers(TimePoint Now) {
  if (this->Notices.isEmpty())
    return;
  std::vector<GoneReport> Reports =
      this->Notices.with([Now](const ServerNotices &Known) {
        return Known.listGoneReports(PeerLink::MaxGoneServers, Now);
      });
  if (!Reports.empty())
    this->Link.sendGoneServers(std::move(Reports));
}

/// Decides at random whether this daemon sends for its hall in this round, so
/// that the hall sends about once per Wanted. It need not matter which daemon
/// does: their knowledge is nearly the same.
bool PeerExchange::drawTurn(Duration Wanted, Duration Interval) {
  const double Rounds = toSeconds(Wanted) / toSeconds(Interval);
  const double Daemons = static_cast<double>(this->Link.countHallDaemons());
  std::bernoulli_distribution IsDue(std::min(1.0, 1 / (Rounds * Daemons)));
  return IsDue(this->Random);
}

/// Returns how many estimates of a service's servers are sent at once: its part
/// of MaxEstimates by the number of its servers.
static size_t getMaxEstimates(const ServiceRuntime &Service,
                              const FleetRuntime &Current) {
  size_t All = 0;
  for (const ServiceRuntimeRef &Each : Current.getServices())
    All += Each->countServers();
  return 1 + MaxEstimates * Service.countServers() / std::max<size_t>(1, All);
}

/// Sends this hall's estimates of its servers and its failure rates to other
/// halls.
void PeerExchange::sendEstimates(const FleetRuntime &Current, TimePoint Now) {
  std::vector<HealthEstimate> Estimates;
  std::vector<HallFailureRate> Rates;
  for (const ServiceRuntimeRef &Service : Current.getServices()) {
    const std::vector<HealthEstimate> More =
        Service->getSameHallEstimates(getMaxEstimates(*Service, Current), Now);
    Estimates.insert(Estimates.end(), More.begin(), More.end());
    Rates.push_back(Service->getFailureRate(Now));
  }
  std::vector<LimitReport> Limits;
  if (!this->Notices.isEmpty())
    Limits = this->Notices.with([Now](const ServerNotices &Known) {
      return Known.listLimitReports(PeerLink::MaxPiggybackedLimits, Now);
    });
  this->Link.sendEstimates(std::move(Estimates), std::move(Rates),
                           std::move(Limits));
}

/// Sends estimates of all servers that this daemon has used to its hall, for
/// daemons that have just started.
void PeerExchange::sendUsedEstimates(const FleetRuntime &Current,
                                     TimePoint Now) {
  std::vector<HealthEstimate> Estimates;
  for (const ServiceRuntimeRef &Service : Current.getServices()) {
    const std::vector<HealthEstimate> More =
        Service->getUsedEstimates(getMaxEstimates(*Service, Current), Now);
    Estimates.insert(Estimates.end(), More.begin(), More.end());
  }
  this->Link.sendLocalEstimates(std::move(Estimates));
}

std::optional<TakenRetry> PeerExchange::borrowRetry(ServiceRuntime &Service,
                                                    TimePoint Now) {
  if (!this->Switches.isOn(Mechanism::RetryLoans))
    return std::nullopt;
  return this->Borrower.borrow(Service, Now);
}

/// Grants requested loans if a retry is left, and passes on the grants that
/// arrive.
void PeerExchange::handleLoans(const FleetRuntime &Current,
                               const PeerMessage &Message, TimePoint Now) {
  for (const RetryLoan &Loan : Message.LoanRequests)
    for (const ServiceRuntimeRef &Service : Current.getServices())
      if (Service->getId() == Loan.Service && Service->tryLendRetry(Now)) {
        this->Counters.add(Counter::RetriesLent);
        this->Link.sendLoanGrant(Message.Source, Loan);
      }
  for (const RetryLoan &Loan : Message.LoanGrants)
    this->Borrower.handleGrant(Loan);
}

/// Applies a peer's observations and estimates to one service.
void PeerExchange::applyEvidence(ServiceRuntime &Service,
                                 const PeerMessage &Message, TimePoint Now) {
  for (const Observation &Each : Message.Observations)
    Service.applyObservation(Each, Now);
  if (Message.InFlight && Message.Hall == this->Hall)
    Service.applyPeerInFlight(Message.Source, Message.Sequence,
                              *Message.InFlight, Now);
  if (Message.Hall == this->Hall)
    Service.applySameHallEstimates(Message.Estimates, Now);
  else
    Service.applyRemoteEstimates(Message.Estimates, Now);
  for (const HallFailureRate &Each : Message.Rates)
    Service.applyFailureRate(Message.Hall, Each, Now);
  for (const LimitReport &Each : Message.Limits)
    for (const NoticeChange &Change : Service.applyPeerLimit(Each, Now))
      logNoticeChange(Change, "");
  for (const GoneReport &Each : Message.GoneServers)
    for (const NoticeChange &Change : Service.applyPeerGone(Each, Now))
      logNoticeChange(Change, "");
}

/// Applies a peer's usage report. Any message from this hall shows that its
/// sender is reachable.
void PeerExchange::applyQuotaUsage(const PeerMessage &Message, TimePoint Now) {
  this->Organisations.with([&](FleetQuota &Quota) {
    if (Message.Hall == this->Hall)
      Quota.applyPeerUsage(Message.Source, Message.Usages, Now);
    else if (Message.HallUsages)
      Quota.applyHallUsage(Message.Hall, Message.Source, *Message.HallUsages,
                           Now);
  });
}

/// Returns whether a message reports a response of a server.
static bool hasAnswer(const PeerMessage &Message) {
  return std::any_of(Message.Observations.begin(), Message.Observations.end(),
                     [](const Observation &Each) {
                       return Each.Outcome == RequestOutcome::Good ||
                              Each.Outcome == RequestOutcome::Slow;
                     });
}

/// Handles a peer's message on the link's thread.
void PeerExchange::handleMessage(const PeerMessage &Message) {
  if (this->OnMessage)
    this->OnMessage(Message);
  const TimePoint Now = readSteadyClock();
  this->applyQuotaUsage(Message, Now);
  this->Paths.recordPeerMessage(Message.Source, Message.IsCutOff,
                                hasAnswer(Message), Now);
  if (!Message.PoisonRequests.isEmpty())
    this->Quarantine.mergeUpdate(readPoisonReport(Message.PoisonRequests, Now),
                                 Now);
  const FleetRuntimeRef Current = this->Fleet.get();
  if (!Current)
    return;
  this->handleLoans(*Current, Message, Now);
  for (const ServiceRuntimeRef &Service : Current->getServices())
    this->applyEvidence(*Service, Message, Now);
}

} // namespace canvaswick
