//===- WaitingRoom.cpp - Order of the requests that wait ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The room is short, so that it is sorted anew for each decision. Demand and
/// served shares are counters that decay.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/WaitingRoom.h"
#include "canvaswick/Support/EnumNames.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

static constexpr EnumNames<WaitEnd, WaitEndCount> WaitEndNames = {{
    {WaitEnd::Served, "served"},
    {WaitEnd::Refused, "refused"},
    {WaitEnd::CallerLeft, "caller-left"},
    {WaitEnd::Stopping, "stopping"},
}};

const char *getName(WaitEnd End) { return getEnumName(WaitEndNames, End); }

/// How long the served shares of organisations and priorities are remembered.
static constexpr Duration RatioMemory = fromSeconds(10);

/// Time over which demand is averaged.
static constexpr Duration DemandMemory = fromSeconds(1);

/// Retries are expected to be lent at the rate of this time for as long again.
static constexpr Duration LoanMemory = fromSeconds(1);

/// One in this many retries may go to a less urgent request that would
/// otherwise never get one.
static constexpr uint64_t LessUrgentTurn = 8;

/// Bounds of the Retry-After. Callers that are told to stay away for longer
/// than the upper one mostly give up.
static constexpr Duration MinRetryAfter = fromMillis(250);
static constexpr Duration MaxRetryAfter = fromSeconds(2);

/// Entries of organisations and ranks are checked for removal beyond this
/// number.
static constexpr size_t MaxKnown = 256;

/// A counter below this no longer matters.
static constexpr double NegligibleCount = 0.01;

WaitingRoom::Ratio::Ratio() : Asked(RatioMemory), Served(RatioMemory) {}

double WaitingRoom::Ratio::get(TimePoint Now) const {
  const double All = this->Asked.get(Now);
  return All <= NegligibleCount ? 0 : this->Served.get(Now) / All;
}

WaitingRoom::WaitingRoom() : Lent(LoanMemory) {}

//===-- Order -------------------------------------------------------------===//

WaitingRoom::Rank WaitingRoom::getRank(const WaitingRequest &Request) {
  return {Request.Priority, Request.IsBeyondQuota};
}

/// Returns the latest start of work at which the answer is there by Deadline.
static TimePoint getLatestStart(const WaitingRequest &Request,
                                TimePoint Deadline) {
  return Deadline - Request.WorkTime;
}

WaitingRoom::Standing WaitingRoom::getStanding(const WaitingRequest &Request,
                                               TimePoint Now) const {
  Standing Result;
  Result.Group = getRank(Request);
  Result.IsLate = getLatestStart(Request, Request.ObjectiveDeadline) < Now;
  const auto Known = this->Organisations.find(Request.Organisation);
  if (Known != this->Organisations.end())
    Result.ServedShare = Known->second.get(Now);
  Result.Until = Result.IsLate ? Request.Deadline : Request.ObjectiveDeadline;
  return Result;
}

std::vector<WaitingRoom::Place> WaitingRoom::sort(TimePoint Now) {
  std::vector<Place> Places;
  Places.reserve(this->Requests.size());
  for (WaitingRequest &Each : this->Requests)
    Places.push_back(
        {this->getStanding(Each, Now), const_cast<WaitingRequest *>(&Each)});
  std::stable_sort(Places.begin(), Places.end(),
                   [](const Place &Left, const Place &Right) {
                     return Left.Key < Right.Key;
                   });
  return Places;
}

WaitingRequest *WaitingRoom::getFirst(TimePoint Now) {
  const std::vector<Place> Places = this->sort(Now);
  return Places.empty() ? nullptr : Places.front().Request;
}

/// Returns the first request of a less urgent priority of which a smaller share
/// was served than of the most urgent one that waits, or null.
WaitingRequest *WaitingRoom::findNeglected(const std::vector<Place> &Places,
                                           TimePoint Now) const {
  const auto GetShare = [&](const Place &Each) {
    const auto Known = this->Priorities.find(Each.Request->Priority);
    return Known == this->Priorities.end() ? 0 : Known->second.get(Now);
  };
  const Place &First = Places.front();
  for (const Place &Each : Places)
    if (Each.Request->Priority > First.Request->Priority &&
        GetShare(Each) < GetShare(First))
      return Each.Request;
  return nullptr;
}

//===-- Demand and forecast -----------------------------------------------===//

void WaitingRoom::recordAsked(const WaitingRequest &Request, TimePoint Now) {
  this->forgetIdle(Now);
  this->Organisations[Request.Organisation].Asked.add(1, Now);
  this->Priorities[Request.Priority].Asked.add(1, Now);
  this->Demand.try_emplace(getRank(Request), DemandMemory)
      .first->second.add(1, Now);
}

void WaitingRoom::forgetIdle(TimePoint Now) {
  const auto IsIdle = [Now](const auto &Entry) {
    return Entry.second.Asked.get(Now) < NegligibleCount;
  };
  if (this->Organisations.size() > MaxKnown)
    std::erase_if(this->Organisations, IsIdle);
  if (this->Priorities.size() > MaxKnown)
    std::erase_if(this->Priorities, IsIdle);
  if (this->Demand.size() > MaxKnown)
    std::erase_if(this->Demand, [Now](const auto &Entry) {
      return Entry.second.get(Now) < NegligibleCount;
    });
}

/// Returns how many retries a second requests ask for that go before all of
/// Group.
double WaitingRoom::getDemandBefore(const Rank &Group, TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Other, Count] : this->Demand)
    if (Other < Group)
      Sum += Count.getRate(Now);
  return Sum;
}

/// Returns how many retries a second the other requests of the same rank ask
/// for.
double WaitingRoom::getEqualDemand(const WaitingRequest &Request,
                                   TimePoint Now) const {
  const auto Known = this->Demand.find(getRank(Request));
  if (Known == this->Demand.end())
    return 0;
  DecayingCounter Own(DemandMemory);
  Own.add(1, Request.Entered);
  return std::max(0.0, Known->second.getRate(Now) - Own.getRate(Now));
}

/// Returns whether at least one such request is expected within
/// DemandMemory.
bool WaitingRoom::hasDemandBefore(const Rank &Group, TimePoint Now) const {
  return this->getDemandBefore(Group, Now) * toSeconds(DemandMemory) >= 1;
}

/// Returns whether peers may still lend a retry to a request, as they have not
/// been asked since it entered.
bool WaitingRoom::isLoanPossible(const WaitingRequest &Request,
                                 TimePoint Now) const {
  return Request.Entered > this->LoanRefusedAt &&
         Now - Request.Entered < Request.Patience &&
         !this->hasDemandBefore(getRank(Request), Now);
}

namespace {

/// How many of the forecast retries are left to a group of requests after those
/// that go before it have taken theirs for one window. A retry that is used now
/// is missing for as long.
class Surplus {
public:
  Surplus(const RetryForecast &Forecast, double DemandBefore, TimePoint Now)
      : Times(Forecast.Times), Left(Forecast.Times.size() + 1) {
    const auto Count = static_cast<double>(this->Times.size());
    this->Left.back() = Count - DemandBefore * toSeconds(Forecast.Window);
    // The retries are scarcest just before the next one becomes possible.
    for (size_t I = this->Times.size(); I-- > 0;)
      this->Left[I] =
          std::min(this->Left[I + 1],
                   static_cast<double>(I) -
                       DemandBefore * toSeconds(this->Times[I] - Now));
  }

  /// Returns how many may be taken until At without a lack of them later.
  double get(TimePoint At) const {
    return this->Left[static_cast<size_t>(
        std::upper_bound(this->Times.begin(), this->Times.end(), At) -
        this->Times.begin())];
  }

private:
  const std::vector<TimePoint> &Times;
  /// The lowest number from the time of each retry on, and at the end.
  std::vector<double> Left;
};

} // namespace

/// Returns whether no retry is expected in time for a request, of which
/// Position others go before. Requests that are still to come take the place of
/// one that has missed its objective, as an answer in time is worth more.
bool WaitingRoom::isHopeless(const Place &Each, size_t Position,
                             const RetryForecast &Forecast,
                             TimePoint Now) const {
  const WaitingRequest &Request = *Each.Request;
  const TimePoint Latest = getLatestStart(Request, Request.Deadline);
  if (Latest < Now)
    return true;
  if (this->isLoanPossible(Request, Now))
    return false;
  const TimePoint LateFrom =
      std::max(Now, getLatestStart(Request, Request.ObjectiveDeadline));
  const double Equal = this->getEqualDemand(Request, Now);
  const Surplus Left(Forecast, this->getDemandBefore(Each.Key.Group, Now), Now);
  const auto IsServedBy = [&](TimePoint Until) {
    const double Loans =
        this->Lent.getRate(Now) * toSeconds(std::min(Until - Now, LoanMemory));
    const double Overtaking =
        Equal * std::max(0.0, toSeconds(Until - LateFrom));
    return Left.get(Until) + Loans - Overtaking >=
           static_cast<double>(Position + 1);
  };
  for (const TimePoint Until : Forecast.Times) {
    if (Until > Latest)
      break;
    if (IsServedBy(std::max(Until, Now)))
      return false;
  }
  return !IsServedBy(std::min(Latest, Now + LoanMemory));
}

/// Returns when a retry is expected to be left for one of the waiting requests
/// if it comes back as the last.
Duration WaitingRoom::estimateRetryAfter(const RetryForecast &Forecast,
                                         TimePoint Now) const {
  const size_t Before = this->Requests.size() - 1;
  if (Before >= Forecast.Times.size())
    return MaxRetryAfter;
  return std::clamp(Forecast.Times[Before] - Now, MinRetryAfter, MaxRetryAfter);
}

//===-- Decisions ---------------------------------------------------------===//

void WaitingRoom::end(WaitingRequest &Request, WaitEnd End, TimePoint Now) {
  this->Requests.erase(this->Requests.iterator_to(Request));
  Request.End = End;
  this->LongestWait = std::max(this->LongestWait, Now - Request.Entered);
  if (End != WaitEnd::Served)
    return;
  ++this->ServedCount;
  this->Organisations[Request.Organisation].Served.add(1, Now);
  this->Priorities[Request.Priority].Served.add(1, Now);
}

void WaitingRoom::refuse(WaitingRequest &Request, Duration RetryAfter,
                         TimePoint Now) {
  Request.RetryAfter = RetryAfter;
  this->end(Request, WaitEnd::Refused, Now);
}

void WaitingRoom::enter(WaitingRequest &Request, FleetRetryBudget &Budget,
                        TimePoint Now) {
  Request.Entered = Now;
  if (this->IsClosed) {
    Request.End = WaitEnd::Stopping;
    return;
  }
  this->recordAsked(Request, Now);
  this->Requests.push_back(Request);
  this->serve(Budget, Now);
  if (this->Requests.size() <= MaxLength)
    return;
  const RetryForecast Forecast = Budget.forecast(Now);
  this->refuse(*this->sort(Now).back().Request,
               this->estimateRetryAfter(Forecast, Now), Now);
}

/// Returns the request that may take a retry from the budget now, or null.
WaitingRequest *WaitingRoom::findNext(const RetryForecast &Forecast,
                                      TimePoint Now) {
  const std::vector<Place> Places = this->sort(Now);
  if (Places.empty() || Forecast.Times.empty() || Forecast.Times.front() > Now)
    return nullptr;
  if ((this->ServedCount + 1) % LessUrgentTurn == 0)
    if (WaitingRequest *Neglected = this->findNeglected(Places, Now))
      return Neglected;
  const Place &First = Places.front();
  const Surplus Left(Forecast, this->getDemandBefore(First.Key.Group, Now),
                     Now);
  return Left.get(Now) >= 1 ? First.Request : nullptr;
}

void WaitingRoom::serve(FleetRetryBudget &Budget, TimePoint Now) {
  while (WaitingRequest *Next = this->findNext(Budget.forecast(Now), Now)) {
    const std::optional<TakenRetry> Taken = Budget.tryTake(Now);
    if (!Taken)
      return;
    Next->Retry = *Taken;
    this->end(*Next, WaitEnd::Served, Now);
  }
}

bool WaitingRoom::mayBorrow(const WaitingRequest &Request, TimePoint Now) {
  return this->getFirst(Now) == &Request &&
         !this->hasDemandBefore(getRank(Request), Now);
}

bool WaitingRoom::serveLent(const TakenRetry &Retry, TimePoint Now) {
  this->Lent.add(1, Now);
  WaitingRequest *First = this->getFirst(Now);
  if (!First)
    return false;
  First->Retry = Retry;
  this->end(*First, WaitEnd::Served, Now);
  return true;
}

void WaitingRoom::refuseHopeless(FleetRetryBudget &Budget, TimePoint Now) {
  const RetryForecast Forecast = Budget.forecast(Now);
  size_t Position = 0;
  for (const Place &Each : this->sort(Now)) {
    if (!this->isHopeless(Each, Position, Forecast, Now)) {
      ++Position;
      continue;
    }
    this->refuse(*Each.Request, this->estimateRetryAfter(Forecast, Now), Now);
  }
}

void WaitingRoom::leave(WaitingRequest &Request, TimePoint Now, WaitEnd End) {
  this->end(Request, End, Now);
}

void WaitingRoom::close(TimePoint Now) {
  this->IsClosed = true;
  while (!this->Requests.empty())
    this->end(this->Requests.front(), WaitEnd::Stopping, Now);
}

} // namespace canvaswick
