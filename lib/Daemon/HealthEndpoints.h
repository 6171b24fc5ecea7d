//===- HealthEndpoints.h - Health checks and metrics ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Answers requests to a gateway's ready address, which serves readiness,
/// liveness and metrics, and to its metrics address, which serves metrics only.
/// Private to this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_DAEMON_HEALTHENDPOINTS_H
#define CANVASWICK_LIB_DAEMON_HEALTHENDPOINTS_H

#include "canvaswick/Admission/FleetQuota.h"
#include "canvaswick/Admission/PoisonRequestTable.h"
#include "canvaswick/Directory/WatchElection.h"
#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Metrics/Counters.h"
#include "canvaswick/Proxy/FleetRuntime.h"

namespace canvaswick {

/// Figures about a daemon itself, apart from its services.
struct DaemonMetrics {
  const CounterTable &Counters;
  StoreState Store;
  /// The last time at which the servers in force were those that are listed, as
  /// far as is known; TimePoint{} if that never was.
  TimePoint ListCurrentAt{};
  /// The threads that serve callers.
  WorkerPoolThreads Workers;
  /// Requests that are suspected of crashing servers.
  std::vector<PoisonRequestStatus> PoisonRequests;
  /// The busiest organisations, at most MaxListedOrganisations.
  std::vector<QuotaStatus> Organisations;
  /// The number of servers per kind of notice.
  NoticeCounts Notices;
  /// The number of services whose servers are out of reach, and of the tunnels
  /// that are open for peers.
  size_t CutOffServices = 0;
  size_t OpenTunnels = 0;
};

/// The number of organisations that metrics and tools list: enough to find
/// heavy users, and few compared with the 69,000 that there are.
inline constexpr size_t MaxListedOrganisations = 20;

/// Formats organisations as metrics.
std::string formatOrganisations(const std::vector<QuotaStatus> &Organisations);

/// Formats the number of servers per kind of notice as metrics.
std::string formatNotices(const NoticeCounts &Notices);

/// Formats the paths to servers as metrics.
std::string formatPaths(size_t CutOffServices, size_t OpenTunnels);

/// Formats poison requests as metrics.
std::string
formatPoisonRequests(const std::vector<PoisonRequestStatus> &PoisonRequests);

/// Answers a request to the ready address. Current is the state that the daemon
/// serves, null before its first settings.
void answerHealthCheck(HttpExchange &Exchange, bool IsStopping,
                       const DaemonMetrics &Metrics,
                       const FleetRuntime *Current);

/// Answers a request for metrics; any other target gets status 404.
void answerMetrics(HttpExchange &Exchange, const DaemonMetrics &Metrics,
                   const FleetRuntime *Current);

} // namespace canvaswick

#endif // CANVASWICK_LIB_DAEMON_HEALTHENDPOINTS_H
