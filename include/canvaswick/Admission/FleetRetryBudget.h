//===- FleetRetryBudget.h - Fleet-wide retry budget -------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each daemon gets a part of the fleet's retry limit, and these parts add up
/// to less than the limit: the share grows with the daemon's own requests, and
/// the reserve is divided by the number of daemons there may be.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ADMISSION_FLEETRETRYBUDGET_H
#define CANVASWICK_ADMISSION_FLEETRETRYBUDGET_H

#include "canvaswick/Settings/DaemonConfig.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace canvaswick {

/// How long a retry borrowed from a peer may be used, counted from the moment
/// at which the borrower asked for it. It is several times what asking may
/// take; the lender does without the retry for as long.
inline constexpr Duration LoanTimeout = fromMillis(300);

/// When a daemon may send its next retries.
struct RetryForecast {
  /// The times of the next retries, in ascending order. Later ones follow only
  /// on those that are sent from now on.
  std::vector<TimePoint> Times;
  /// How long a retry counts.
  Duration Window{};
};

/// A retry that was taken from a budget.
struct TakenRetry {
  /// When it counts as sent in this daemon's budget; nothing if a peer counts
  /// it, or nobody does.
  std::optional<TimePoint> CountedAt;
  /// Until when the peer that lent it counts it.
  std::optional<TimePoint> LentUntil;
};

/// What a daemon may send and has sent in the window that ends now.
struct RetryUse {
  /// Retries, before rounding to whole ones.
  double Allowed = 0;
  /// Includes those lent to peers, but not those lent by peers.
  size_t Used = 0;
};

/// The retries of one service that one daemon may send. Not thread-safe: the
/// service's mutex guards it. It is kept across changes of the settings, which
/// must not refill it.
class FleetRetryBudget : public boost::intrusive_ref_counter<FleetRetryBudget> {
public:
  /// Started is when the process started: what an earlier process of this
  /// daemon sent is unknown, so the reserve is withheld for one window.
  FleetRetryBudget(FleetRetryLimit FleetLimit, TimePoint Started);

  /// Sets the limit, the number of daemons there may be, and the position of
  /// this daemon among them, counted from 0. The highest number of daemons that
  /// was ever set counts.
  void configure(const FleetRetryLimit &FleetLimit, size_t Daemons,
                 size_t Rank);

  /// Records the first attempt of a request.
  void recordRequest(TimePoint Now);

  /// Takes one retry. Returns nothing if there is none left.
  std::optional<TakenRetry> tryTake(TimePoint Now);

  /// Gives back a retry that was not sent.
  void giveBack(const TakenRetry &Taken);

  /// Records that a retry was sent, which may be a while after it was taken: it
  /// counts from then on, here if its loan has expired.
  void recordSent(const TakenRetry &Taken, TimePoint SentAt);

  /// Returns whether tryTake would succeed.
  bool hasRoom(TimePoint Now);

  /// Returns the fraction of its part that this daemon has used: from 0 to 1,
  /// and above 1 after it has borrowed.
  double getUsedPart(TimePoint Now);

  RetryUse getUse(TimePoint Now) {
    return {this->getAllowed(Now), this->Retries.size()};
  }

  /// Lends one retry to a peer. Returns false if there is none left. The daemon
  /// may still borrow in its turn. The retry counts here as sent at the end of
  /// LoanTimeout, so that the fleet's sum holds whenever the peer uses it, or
  /// if it never does.
  bool tryLend(TimePoint Now);

  /// Adds a retry lent by a peer, which tryTake may use until Until.
  void borrow(TimePoint Until);

  /// Returns, before rounding, how many retries are allowed in the window that
  /// ends at Now.
  double getAllowed(TimePoint Now);

  /// Returns when the next retries will be possible without further loans, if
  /// requests arrive as in the window that ends now.
  RetryForecast forecast(TimePoint Now);

private:
  void forgetOld(TimePoint Now);
  bool hasLocalRoom(TimePoint Now);
  void count(TimePoint SentAt);

  FleetRetryLimit FleetLimit;
  const TimePoint Started;
  size_t Daemons = 1;
  /// How much of one retry this daemon may round up, from 0 to 1.
  double Rounding = 0;
  std::deque<TimePoint> Requests;
  /// In ascending order.
  std::deque<TimePoint> Retries;
  /// When each borrowed retry expires, in no order.
  std::deque<TimePoint> Borrowed;
};

using FleetRetryBudgetRef = boost::intrusive_ptr<FleetRetryBudget>;

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_FLEETRETRYBUDGET_H
