//===- RetryTiming.h - When a silent attempt is left ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A repeatable request whose server is silent may be sent elsewhere. Leaving
/// early costs a repeat for answers that would have come; leaving late costs
/// the objective. To wait a little longer and leave then is worth nearly as
/// much as to leave now while the objective is far, so each request waits until
/// that is no longer so, or until its server is likely enough sick.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_RETRYTIMING_H
#define CANVASWICK_HEALTH_RETRYTIMING_H

#include "canvaswick/Health/LatencyDistribution.h"
#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// What a late answer is worth against one in time. By the operators' sheets
/// between a tenth and a half.
inline constexpr double LateUtility = 0.3;

/// One attempt that is out, and what it could be left for.
struct UnansweredAttempt {
  /// How long it has been out, and the usual time of its kind at its server's
  /// load.
  Duration Elapsed{};
  Duration TypicalTime{};
  /// How likely its server is sick, its silence counted.
  double UnhealthyProbability = 0;
  /// The chance that the best other server answers at all, and how long that
  /// usually takes there.
  double AlternativeAnswerProbability = 0;
  Duration AlternativeTypicalTime{};
  /// How long until an answer is late, and until it is of no use.
  Duration TimeToObjective{};
  Duration TimeToDeadline{};
  /// What a repeat must bring beside, in timely answers: others may need it
  /// more.
  double RetryCost = 0;
};

/// Returns what an attempt elsewhere is worth that begins so much later.
double computeAlternativeUtility(const UnansweredAttempt &Attempt,
                                 const LatencyDistribution &Times,
                                 Duration Later);

/// Returns what waiting is worth if the attempt is left at the best moment from
/// now on but not at once, or never.
double computeWaitingUtility(const UnansweredAttempt &Attempt,
                             const LatencyDistribution &Times);

/// Returns whether the attempt is better left now than at any later time.
bool shouldRetryElsewhere(const UnansweredAttempt &Attempt,
                          const LatencyDistribution &Times);

/// Returns the price of a repeat where this part of the allowance is used.
double computeRetryCost(double UsedFraction);

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_RETRYTIMING_H
