//===- CheckAnswers.h - Answers to the balancer's checks --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What a gateway answers on its ready address: whether it is ready, whether it
/// lives, and its metrics; and on the metrics address, which has these alone.
/// Private to this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_DAEMON_CHECKANSWERS_H
#define CANVASWICK_LIB_DAEMON_CHECKANSWERS_H

#include "canvaswick/Admission/FleetQuota.h"
#include "canvaswick/Admission/PoisonRequestTable.h"
#include "canvaswick/Directory/WatchElection.h"
#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Metrics/Counters.h"
#include "canvaswick/Proxy/FleetRuntime.h"

namespace canvaswick {

/// What a daemon tells of itself beside its services.
struct OwnFigures {
  const CounterTable &Counters;
  StoreState Store;
  /// Those that serve callers.
  WorkerPoolThreads Workers;
  /// Requests under which servers ended.
  std::vector<PoisonRequestStatus> Suspects;
  /// The busiest organisations, at most MostOrganisations.
  std::vector<QuotaStatus> Organisations;
  /// How many servers say what of themselves.
  NoticeCounts Notices;
};

/// Organisations that metrics and tools name: enough to see who sends much, and
/// few beside 69,000.
inline constexpr size_t MostOrganisations = 20;

/// Writes organisations as metrics.
std::string formatOrganisations(const std::vector<QuotaStatus> &Organisations);

/// Writes how many servers say what of themselves as metrics.
std::string formatNotices(const NoticeCounts &Notices);

/// Writes the suspects as metrics.
std::string formatSuspects(const std::vector<PoisonRequestStatus> &Suspects);

/// Answers one check. Current is what the daemon serves by, null before its
/// first settings.
void answerCheck(HttpExchange &Exchange, bool IsStopping, const OwnFigures &Own,
                 const FleetRuntime *Current);

/// Answers who reads metrics, and nobody else.
void answerMetrics(HttpExchange &Exchange, const OwnFigures &Own,
                   const FleetRuntime *Current);

} // namespace canvaswick

#endif // CANVASWICK_LIB_DAEMON_CHECKANSWERS_H
