//===- Tuning.h - Parameters of the evidence weighing presets ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the parameters that stand behind each preset that operators can
/// choose. docs/design/health.md describes their selection with
/// canvaswick-policy-bench.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_TUNING_H
#define CANVASWICK_HEALTH_TUNING_H

#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// Parameters of the removal and the return of backend servers.
struct HealthTuning {
  /// Evidence in nats of log likelihood ratio that removes a server.
  double Threshold = 0;
  /// Evidence in nats that removes a returning server again.
  double ReturnThreshold = 0;
  /// Minimum number of sources with evidence against a server before it is
  /// removed for other daemons.
  int MinSources = 1;
  /// Maximum contribution of one source, as a fraction of Threshold.
  double SourceBound = 1;
  /// Maximum contribution of one hall to the evidence of the fleet, as a
  /// fraction of Threshold.
  double HallBound = 1;
  /// Maximum evidence in nats per second from slow answers. A queue that builds
  /// up and drains causes many slow answers at once, while an unhealthy server
  /// stays slow.
  double MaxSlowEvidencePerSecond = 0;
  /// Duration of the first removal of a server, and the maximum duration. The
  /// duration doubles each time the server fails again soon afterwards.
  Duration InitialRemovalTime{};
  Duration MaxRemovalTime{};
  /// Interval of reports while there is evidence to report.
  Duration ReportInterval{};
};

/// Returns the parameters of a preset.
HealthTuning getTuning(EjectionPreference Preference);

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_TUNING_H
