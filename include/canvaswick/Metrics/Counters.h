//===- Counters.h - Named counters ------------------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines a fixed table of atomic counters. Every event is counted; a log line
/// is written only when a state changes.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_METRICS_COUNTERS_H
#define CANVASWICK_METRICS_COUNTERS_H

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace canvaswick {

/// The counters of a daemon, in the order of the metrics page. The table of
/// names in Counters.cpp has the same order.
enum class Counter : uint8_t {
  Requests,
  Answered,
  RefusedUnknownRoute,
  RefusedUnknownKey,
  RefusedServiceBusy,
  RefusedOrganisationRate,
  RefusedDeadline,
  RefusedNoServer,
  RefusedQuarantined,
  RefusedBody,
  Retries,
  ResumedAnswers,
  CallerHangUps,
  TruncatedAnswers,
  MismatchedAnswers,
  MalformedAnswers,
  UpstreamFailures,
  UpstreamSheds,
  UpstreamCutOffs,
  LimitsReceived,
  LeavingNoticesReceived,
  BackoffsReceived,
  MalformedNotices,
  GoneServersFound,
  ServersExcluded,
  ReportsSent,
  ReportsMerged,
  SummariesSent,
  SummariesApplied,
  CallsSent,
  CallsFailed,
  CallsRefused,
  ControlBytesSent,
  ControlBytesReceived,
  PlatformCalls,
  PlatformFailures,
  ConfigChanges,
  ConfigRefused,
  ClaimsGranted,
  ClaimsRepeated,
  ClaimsRefused,
  ClaimWrites,
  HeartbeatsSent,
  MembersLost,
  PeerDatagramsSent,
  PeerDatagramsAccepted,
  PeerDatagramsRefused,
  PeerSendFailures,
  FleetBuilds,
  ProcessPauses,
  EntriesRefused,
  RetriesLent,
  RetriesBorrowed,
  RetryLoansFailed,
  /// Attempts that a peer connected to a server, and peers that did not.
  TunnelsOpened,
  TunnelsDeclined,
  TunnelsLost,
  /// Connections to servers for peers, and those that were refused to them.
  TunnelsCarried,
  TunnelsRefused,
  /// Messages by which a peer's replica of the store differed from this one.
  ReplicaMismatches,
  /// Times at which this daemon found that its peers were far ahead of it.
  FarBehind,
  /// Questions to the store of a daemon whose peers did not give it their news.
  StoreChecks,
  /// Attempts that began by a list of servers that may have been outdated for a
  /// second.
  AttemptsByOldList,
  /// Requests that were not sent, because their server had begun to leave.
  SendsWithdrawn,
  /// Requests that began to wait for a retry, and how their waits ended.
  WaitsBegun,
  WaitsServed,
  WaitsRefused,
  WaitsCallerLeft,
  WaitsStopping,
};

/// The number of counters.
inline constexpr size_t CounterCount =
    static_cast<size_t>(Counter::WaitsStopping) + 1;

/// Returns the name of a counter as the metrics page prints it, without the
/// prefix "canvaswick_".
const char *getName(Counter Which);

/// All counters of one daemon. Thread-safe.
class CounterTable {
public:
  void add(Counter Which, uint64_t Amount = 1) {
    this->Values[static_cast<size_t>(Which)].fetch_add(
        Amount, std::memory_order_relaxed);
  }
  uint64_t get(Counter Which) const {
    return this->Values[static_cast<size_t>(Which)].load(
        std::memory_order_relaxed);
  }

  /// Returns a line "canvaswick_NAME VALUE" for each counter.
  std::string format() const;

private:
  std::array<std::atomic<uint64_t>, CounterCount> Values{};
};

} // namespace canvaswick

#endif // CANVASWICK_METRICS_COUNTERS_H
