//===- PeerMessage.h - What daemons tell each other -------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One message between daemons, as it travels in a datagram.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_PEERMESSAGE_H
#define CANVASWICK_DAEMON_PEERMESSAGE_H

#include "canvaswick/Admission/FleetAllowance.h"
#include "canvaswick/Daemon/SuspectReport.h"
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

/// A daemon that has used up its part of a service's repeats asks a peer for
/// the right to one, or a peer answers that it gives it.
struct RepeatLoan {
  ServerId Service = 0;
  /// The asking daemon's own number for it, so that each answer counts once.
  uint64_t Number = 0;

  bool operator==(const RepeatLoan &) const = default;
};

/// One datagram.
struct PeerMessage {
  std::string Source;
  /// Hall of the source.
  std::string Hall;
  /// How far the source's copy of the store goes.
  StorePosition AsOf;
  /// How long ago the store last answered the source, in whole milliseconds, if
  /// the source watches the store itself. That it watches proves nothing: the
  /// store may have been silent ever since.
  std::optional<Duration> StoreHeardAgo;
  /// Whether a daemon of the receiver's hall has passed it on.
  bool IsRelayed = false;
  /// Grows with each message of a source; starts at its calendar time.
  uint64_t Sequence = 0;
  std::vector<Observation> Seen;
  std::vector<HealthEstimate> Estimates;
  std::vector<HallFailureRate> Rates;
  /// All that the source has in flight, if the message speaks of it.
  std::optional<std::vector<InFlightReport>> InFlight;
  /// Rights to repeats that are asked for, and that are given.
  std::vector<RepeatLoan> Asked;
  std::vector<RepeatLoan> Lent;
  /// What organisations asked of the source.
  std::vector<AllowanceLevel> Levels;
  /// What they asked of its whole hall, if the message speaks of that.
  std::optional<std::vector<AllowanceLevel>> HallLevels;
  /// Limits that servers have named or taken back.
  std::vector<LimitReport> Limits;
  /// Requests under which servers ended, and what speaks for them.
  SuspectReport Suspects;

  bool operator==(const PeerMessage &) const = default;
};

/// Encodes a message as JSON.
std::string encodePeerMessage(const PeerMessage &Message);

/// Decodes a message. Fails with InvalidArgument.
Result<PeerMessage> decodePeerMessage(const std::string &Text);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_PEERMESSAGE_H
