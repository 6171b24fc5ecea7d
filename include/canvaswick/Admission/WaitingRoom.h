//===- WaitingRoom.h - Order of the requests that wait ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Decides which of the requests that servers declined to run gets the next
/// retry of the fleet's budget, which one waits for a later retry, and which
/// one is refused because it can't be served in time. It answers the load at
/// which all servers of a service decline a part of their requests.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ADMISSION_WAITINGROOM_H
#define CANVASWICK_ADMISSION_WAITINGROOM_H

#include "canvaswick/Admission/DecayingCounter.h"
#include "canvaswick/Admission/FleetRetryBudget.h"

#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace canvaswick {

/// How the wait of a request ended.
enum class WaitEnd : uint8_t {
  /// A retry was taken from the budget for it.
  Served,
  Refused,
  CallerLeft,
  Stopping,
};

inline constexpr size_t WaitEndCount =
    static_cast<size_t>(WaitEnd::Stopping) + 1;

/// Returns the name of an end in metrics.
const char *getName(WaitEnd End);

/// A request that waits for a retry. Its owner keeps it alive until End is set.
struct WaitingRequest : boost::intrusive::list_base_hook<> {
  /// The priority of its route. 0 is the highest.
  int64_t Priority = 0;
  /// May be empty.
  std::string Organisation;
  /// Whether the organisation has sent more than its quota, over all daemons.
  bool IsBeyondQuota = false;
  /// The time until which an answer has its full utility.
  TimePoint ObjectiveDeadline{};
  /// The time by which the answer must be there.
  TimePoint Deadline{};
  /// How long a server typically works on it.
  Duration WorkTime{};
  /// How long it waits for the answers of peers to requests for a loan while no
  /// other retry is expected in time.
  Duration Patience{};
  TimePoint Entered{};
  /// Set once, when the wait has ended.
  std::optional<WaitEnd> End;
  /// If served: the retry that was taken for it.
  TakenRetry Retry;
  /// If refused: when a retry is expected to be left for a further request.
  Duration RetryAfter{};
};

/// The requests of one service at one daemon that wait for a retry. Not
/// thread-safe.
class WaitingRoom {
public:
  /// Each waiting request holds a thread. With 48 threads and three services,
  /// half of the threads remain.
  static constexpr size_t MaxLength = 8;

  WaitingRoom();

  /// Adds a request. If the room is full, this ends the wait of the least
  /// deserving request, which may be the new one.
  void enter(WaitingRequest &Request, FleetRetryBudget &Budget, TimePoint Now);

  /// Takes retries from the budget for the requests whose turn it is.
  void serve(FleetRetryBudget &Budget, TimePoint Now);

  /// Returns whether a retry lent by a peer is for this request: it is the
  /// first, and no more deserving requests are expected.
  bool mayBorrow(const WaitingRequest &Request, TimePoint Now);

  /// Gives a retry that a peer has lent to the first request. Returns false if
  /// no request waits.
  bool serveLent(const TakenRetry &Lent, TimePoint Now);

  /// Records that peers lend no retry. Requests that have entered before no
  /// longer count on a loan.
  void recordLoanRefused(TimePoint Now) { this->LoanRefusedAt = Now; }

  /// Ends the wait of the requests that can't be served in time.
  void refuseHopeless(FleetRetryBudget &Budget, TimePoint Now);

  /// Ends the wait of a request for a reason outside the room.
  void leave(WaitingRequest &Request, TimePoint Now,
             WaitEnd End = WaitEnd::CallerLeft);

  /// Ends all waits because the daemon stops. Requests that enter later are
  /// refused with WaitEnd::Stopping.
  void close(TimePoint Now);

  bool isClosed() const { return this->IsClosed; }
  size_t getLength() const { return this->Requests.size(); }

  /// Returns the first request, or null.
  WaitingRequest *getFirst(TimePoint Now);

  /// Returns the longest time that any request has waited.
  Duration getLongestWait() const { return this->LongestWait; }

private:
  /// How many retries were asked for and granted, over the recent past.
  struct Ratio {
    DecayingCounter Asked;
    DecayingCounter Served;

    Ratio();
    double get(TimePoint Now) const;
  };

  /// Orders requests by urgency and quota. Lower ranks go first, and retries
  /// that they are expected to need are kept for them.
  struct Rank {
    int64_t Priority = 0;
    bool IsBeyondQuota = false;

    bool operator<(const Rank &Other) const {
      return std::tie(this->Priority, this->IsBeyondQuota) <
             std::tie(Other.Priority, Other.IsBeyondQuota);
    }
  };

  /// The properties that decide the order. A lower standing goes first.
  struct Standing {
    Rank Group;
    bool IsLate = false;
    double ServedShare = 0;
    TimePoint Until{};

    bool operator<(const Standing &Other) const {
      return std::tie(this->Group, this->IsLate, this->ServedShare,
                      this->Until) < std::tie(Other.Group, Other.IsLate,
                                              Other.ServedShare, Other.Until);
    }
  };

  struct Place {
    Standing Key;
    WaitingRequest *Request = nullptr;
  };

  using RequestList = boost::intrusive::list<WaitingRequest>;

  static Rank getRank(const WaitingRequest &Request);
  Standing getStanding(const WaitingRequest &Request, TimePoint Now) const;
  std::vector<Place> sort(TimePoint Now);
  void recordAsked(const WaitingRequest &Request, TimePoint Now);
  double getDemandBefore(const Rank &Group, TimePoint Now) const;
  WaitingRequest *findNeglected(const std::vector<Place> &Places,
                                TimePoint Now) const;
  WaitingRequest *findNext(const RetryForecast &Forecast, TimePoint Now);
  double getEqualDemand(const WaitingRequest &Request, TimePoint Now) const;
  bool isLoanPossible(const WaitingRequest &Request, TimePoint Now) const;
  bool hasDemandBefore(const Rank &Group, TimePoint Now) const;
  bool isHopeless(const Place &Each, size_t Position,
                  const RetryForecast &Forecast, TimePoint Now) const;
  Duration estimateRetryAfter(const RetryForecast &Forecast,
                              TimePoint Now) const;
  void end(WaitingRequest &Request, WaitEnd End, TimePoint Now);
  void refuse(WaitingRequest &Request, Duration RetryAfter, TimePoint Now);
  void forgetIdle(TimePoint Now);

  RequestList Requests;
  std::map<std::string, Ratio> Organisations;
  std::map<int64_t, Ratio> Priorities;
  std::map<Rank, DecayingCounter> Demand;
  DecayingCounter Lent;
  TimePoint LoanRefusedAt{};
  uint64_t ServedCount = 0;
  Duration LongestWait{};
  bool IsClosed = false;
};

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_WAITINGROOM_H
