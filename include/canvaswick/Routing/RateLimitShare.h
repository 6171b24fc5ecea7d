//===- RateLimitShare.h - A daemon's share of a request limit ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A server's request limit applies to all daemons together. A few senders,
/// chosen by rendezvous hashing among the daemons of the server's hall, divide
/// it between them without coordination. All other daemons send nothing while
/// they receive reports that the limit is still in force. A daemon that has
/// received none for a while sends an occasional probe, at times that differ
/// between daemons.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_RATELIMITSHARE_H
#define CANVASWICK_ROUTING_RATELIMITSHARE_H

#include "canvaswick/Routing/SenderChooser.h"
#include "canvaswick/Support/Time.h"

#include <cstddef>
#include <string>

namespace canvaswick {

/// The part of a server's request limit that one daemon may use. Not
/// thread-safe.
class RateLimitShare {
public:
  /// Key is "service/server" and Hall is the server's hall. For the other
  /// parameters see updateLimit.
  RateLimitShare(std::string Key, std::string Hall, double PerSecond,
                 TimePoint ReceivedAt, const FleetDaemons &Fleet,
                 TimePoint Now);

  /// Records that the server stated its limit, in requests per second, at
  /// ReceivedAt.
  void updateLimit(double PerSecond, TimePoint ReceivedAt,
                   const FleetDaemons &Fleet, TimePoint Now);

  /// Applies a change of the fleet's daemons.
  void setFleet(const FleetDaemons &Fleet, TimePoint Now);

  double getPerSecond() const { return this->PerSecond; }
  TimePoint getReceivedAt() const { return this->ReceivedAt; }

  /// Returns whether the limit was reported so recently that it is certainly
  /// still in force.
  bool isFresh(TimePoint Now) const;

  /// Returns whether this daemon is one of the senders.
  bool isSender() const { return this->IsSender; }

  /// Returns whether a request may be sent now.
  bool maySend(TimePoint Now) const;

  /// Returns the factor by which to raise the server's share in the selection
  /// while a request may be sent: a sender also sends on behalf of daemons that
  /// may not, and a probe should not be missed.
  double getWeightFactor() const { return this->WeightFactor; }

  /// Records that a request was sent.
  void recordRequestSent(TimePoint Now);

  /// Returns the time until a request may be sent.
  Duration getWait(TimePoint Now) const;

private:
  void chooseSenders(const FleetDaemons &Fleet, TimePoint Now);
  double getTokens(TimePoint Now) const;
  double getProbePeriod() const;
  double getProbeAge(TimePoint Now) const;

  std::string Key;
  std::string Hall;
  double PerSecond = 0;
  TimePoint ReceivedAt{};
  bool IsSender = false;
  /// The request rate of this daemon, per second, if it is a sender.
  double Rate = 0;
  double WeightFactor = 1;
  double Tokens = 0;
  TimePoint TokensAt{};
  /// The number of daemons, and the phase of this daemon's probes within the
  /// probe period, in [0, 1).
  size_t Daemons = 1;
  double ProbePhase = 0;
  TimePoint SentAt{};
};

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_RATELIMITSHARE_H
