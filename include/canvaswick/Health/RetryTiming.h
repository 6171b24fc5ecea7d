//===- RetryTiming.h - When to retry elsewhere ------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the decision when a repeatable request that has no answer yet is
/// sent to another server. An early retry is wasted on requests that would have
/// been answered; a late one misses the objective. As long as the objective is
/// far, waiting a little and then retrying has nearly the same utility as
/// retrying now. A request therefore waits until this no longer holds, or until
/// its server is unhealthy with sufficient probability.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_RETRYTIMING_H
#define CANVASWICK_HEALTH_RETRYTIMING_H

#include "canvaswick/Health/LatencyDistribution.h"
#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// Utility of an answer after the objective, relative to one within it. The
/// operators' estimates range from 0.1 to 0.5.
inline constexpr double LateUtility = 0.3;

/// An attempt without an answer and its best alternative.
struct UnansweredAttempt {
  /// Time since the attempt was sent, and typical time of such a request at the
  /// load of its server.
  Duration Elapsed{};
  Duration TypicalTime{};
  /// Probability that the server is unhealthy, given that it has not answered
  /// yet.
  double UnhealthyProbability = 0;
  /// Probability that the best other server answers, and the typical time of
  /// such a request there.
  double AlternativeAnswerProbability = 0;
  Duration AlternativeTypicalTime{};
  /// Remaining time to the objective, and to the deadline after which an answer
  /// has no use.
  Duration TimeToObjective{};
  Duration TimeToDeadline{};
  /// Minimum gain in utility that justifies a retry. It accounts for other
  /// requests that need the limited number of retries.
  double RetryCost = 0;
};

/// Returns the expected utility of an attempt at the other server that starts
/// after Later.
double computeAlternativeUtility(const UnansweredAttempt &Attempt,
                                 const LatencyDistribution &Times,
                                 Duration Later);

/// Returns the expected utility of waiting, if the request is retried at the
/// best later time or not at all.
double computeWaitingUtility(const UnansweredAttempt &Attempt,
                             const LatencyDistribution &Times);

/// Returns whether a retry now has a higher utility than a retry at any later
/// time.
bool shouldRetryElsewhere(const UnansweredAttempt &Attempt,
                          const LatencyDistribution &Times);

/// Returns the cost of a retry if UsedFraction of the retry limit is in use.
double computeRetryCost(double UsedFraction);

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_RETRYTIMING_H
