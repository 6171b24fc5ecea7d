//===- PeerMessage.h - Datagram messages between daemons --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines a message between daemons and its encoding in a datagram.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_PEERMESSAGE_H
#define CANVASWICK_DAEMON_PEERMESSAGE_H

#include "canvaswick/Admission/FleetQuota.h"
#include "canvaswick/Daemon/PoisonRequestReport.h"
#include "canvaswick/Directory/StorePosition.h"
#include "canvaswick/Health/MarkovPolicy.h"
#include "canvaswick/Routing/ServerNotices.h"
#include "canvaswick/Support/Error.h"
#include "canvaswick/Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace canvaswick {

/// The loan of a retry. A daemon that has used up its part of a service's
/// retries requests one from a peer; the peer grants it by sending it back.
struct RetryLoan {
  ServerId Service = 0;
  /// Assigned by the borrower, so that each grant counts once.
  uint64_t Number = 0;

  bool operator==(const RetryLoan &) const = default;
};

/// The content of one datagram.
struct PeerMessage {
  std::string Source;
  /// The hall of the source.
  std::string Hall;
  /// The position of the source's replica of the store.
  StorePosition AsOf;
  /// The digest of that replica, if it can be compared at AsOf.
  std::optional<uint64_t> Digest;
  /// How long ago the store last answered the source, in whole milliseconds, if
  /// the source watches the store itself. A watcher proves nothing by watching
  /// alone: the store may not have answered it since.
  std::optional<Duration> SinceStoreAnswer;
  /// Where the source answers calls of peers, if the message says so: a daemon
  /// that does not know the source yet can ask it for what it lacks.
  std::optional<Endpoint> Control;
  /// Whether the source reaches no servers itself.
  bool IsCutOff = false;
  /// Whether a daemon of the receiver's hall relayed the message.
  bool IsRelayed = false;
  /// Increases with each message of a source; starts at the source's calendar
  /// time.
  uint64_t Sequence = 0;
  std::vector<Observation> Observations;
  std::vector<HealthEstimate> Estimates;
  std::vector<HallFailureRate> Rates;
  /// All requests that the source has in flight, if the message reports them.
  std::optional<std::vector<InFlightReport>> InFlight;
  /// Retry loans that are requested, and that are granted.
  std::vector<RetryLoan> LoanRequests;
  std::vector<RetryLoan> LoanGrants;
  /// The usage of organisations at the source.
  std::vector<QuotaUsage> Usages;
  /// Their usage in the whole hall of the source, if the message reports it.
  std::optional<std::vector<QuotaUsage>> HallUsages;
  /// Limits that servers have announced or withdrawn.
  std::vector<LimitReport> Limits;
  /// Servers that have proved to be gone.
  std::vector<GoneReport> GoneServers;
  /// Requests during which servers crashed, and answers that clear such
  /// requests.
  PoisonRequestReport PoisonRequests;

  bool operator==(const PeerMessage &) const = default;
};

/// Encodes a message as JSON.
std::string encodePeerMessage(const PeerMessage &Message);

/// Decodes a message. Fails with InvalidArgument if it is malformed.
Result<PeerMessage> decodePeerMessage(const std::string &Text);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_PEERMESSAGE_H
