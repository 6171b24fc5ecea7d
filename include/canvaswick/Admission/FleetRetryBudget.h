//===- FleetRetryBudget.h - The repeats of a whole fleet --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each daemon takes a part of the fleet's allowance that, added up over all
/// daemons, stays below it: its share grows with its own requests, and the
/// reserve is divided by the daemons there may be.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ADMISSION_FLEETRETRYBUDGET_H
#define CANVASWICK_ADMISSION_FLEETRETRYBUDGET_H

#include "canvaswick/Settings/DaemonConfig.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <deque>

namespace canvaswick {

/// How long a right that a peer lends may be used, from the moment at which it
/// was asked for. Some times what asking may take; lenders do without it for as
/// long.
inline constexpr Duration LoanTimeout = fromMillis(300);

/// The repeats of one service that one daemon may send. Not thread-safe; its
/// service's mutex guards it. It outlives changes of the settings, which must
/// not fill it up again.
class FleetRetryBudget : public boost::intrusive_ref_counter<FleetRetryBudget> {
public:
  /// Started is the process's start: what an earlier process of this daemon
  /// has sent is not known, so the reserve is held back for one window.
  FleetRetryBudget(FleetRetryLimit Allowance, TimePoint Started);

  /// Changes the allowance, and sets how many daemons there may be and which of
  /// them, counted from 0, this one is. The most daemons that were ever set
  /// count.
  void configure(const FleetRetryLimit &Allowance, size_t Daemons, size_t Rank);

  /// Notes the first try of a request.
  void recordRequest(TimePoint Now);

  /// Takes the right to one repeat.
  bool tryTake(TimePoint Now);

  /// Returns whether tryTake would succeed.
  bool hasRoom(TimePoint Now);

  /// Returns the part of what this daemon may send that it has sent, from 0 to
  /// 1 and above where it has borrowed.
  double getUsedPart(TimePoint Now);

  /// Gives a peer the right to one repeat, if there is one. This daemon can ask
  /// for one in turn. Counted here as sent at the end of the right's life, so
  /// that the fleet's sum holds whenever the peer uses it, and if it never
  /// does.
  bool tryLend(TimePoint Now);

  /// Takes a right that a peer gave, to be used by tryTake before Until.
  void borrow(TimePoint Until);

  /// Returns, before rounding, how many repeats may be in the window that ends
  /// at Now.
  double getAllowed(TimePoint Now);

private:
  void forgetOld(TimePoint Now);
  bool hasOwnRoom(TimePoint Now);

  FleetRetryLimit Allowance;
  const TimePoint Started;
  size_t Daemons = 1;
  /// What this daemon may round up by, from 0 to 1.
  double Rounding = 0;
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Repeats;
  /// Until when borrowed rights may be used, in no order.
  std::deque<TimePoint> Borrowed;
};

using FleetRetryBudgetRef = boost::intrusive_ptr<FleetRetryBudget>;

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_FLEETRETRYBUDGET_H
