//===- Tuning.h - The numbers behind the one weighing setting ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Operators choose a preset; these are the values it stands for. Every number
/// was chosen with canvaswick-policy-bench; see docs/design/health.md.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_TUNING_H
#define CANVASWICK_HEALTH_TUNING_H

#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// How quickly evidence removes a backend server and how it comes back.
struct HealthTuning {
  /// Evidence, in nats of log likelihood ratio, that removes a server.
  double Threshold = 0;
  /// The same for a server that is still being let back in.
  double ReturnThreshold = 0;
  /// Sources that must have contributed before others believe them.
  int MinSources = 1;
  /// Largest part of Threshold that one source may contribute.
  double SourceBound = 1;
  /// Largest part of Threshold that one hall may contribute to all halls.
  double HallBound = 1;
  /// Largest evidence in one second from slow answers. A queue that builds up
  /// and empties again makes many at once; sickness lasts.
  double SlowPerSecond = 0;
  /// First time a removed server is left alone. Doubles each time it fails
  /// again soon after.
  Duration FirstHold{};
  Duration LongestHold{};
  /// How often evidence is reported while there is any.
  Duration ReportInterval{};
};

/// Returns the values of a preset.
HealthTuning getTuning(EjectionPreference Preference);

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_TUNING_H
