//===- RateLimitShare.h - One daemon's part of a server's limit -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A server's limit holds for all daemons together. A few of them, chosen by
/// hashing out of those of its hall, share it: they need not tell each other
/// what they send. The others send nothing while they hear that the limit still
/// holds. Who has heard nothing of it for a while sends a request now and then,
/// at times that differ between daemons.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_RATELIMITSHARE_H
#define CANVASWICK_ROUTING_RATELIMITSHARE_H

#include "canvaswick/Support/Time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace canvaswick {

/// The daemons of a fleet as one of them sees it.
struct FleetDaemons {
  std::string Self;
  /// By name of the hall. Those of no known hall are in All only.
  std::map<std::string, std::vector<std::string>> Halls;
  std::vector<std::string> All;

  bool operator==(const FleetDaemons &) const = default;
};

/// What one daemon may send to one server that names a limit. Not thread-safe.
class RateLimitShare {
public:
  /// Key is "service/server", and Hall the server's. For the rest see hear.
  RateLimitShare(std::string Key, std::string Hall, double PerSecond,
                 TimePoint HeardAt, const FleetDaemons &Fleet, TimePoint Now);

  /// Notes that the server named its limit at HeardAt, in requests a second.
  void updateLimit(double PerSecond, TimePoint HeardAt,
                   const FleetDaemons &Fleet, TimePoint Now);

  /// Takes who there is.
  void setFleet(const FleetDaemons &Fleet, TimePoint Now);

  double getPerSecond() const { return this->PerSecond; }
  TimePoint getReceivedAt() const { return this->HeardAt; }

  /// Returns whether word of the limit is so new that it surely holds.
  bool isFresh(TimePoint Now) const;

  /// Returns whether this daemon is one of those that share the limit.
  bool isSender() const { return this->IsSender; }

  /// Returns whether a request may be sent now.
  bool maySend(TimePoint Now) const;

  /// Returns how many times its usual share the server should get from this
  /// daemon when a request may be sent: it sends for those that may not, and a
  /// test should not be missed.
  double getWeightFactor() const { return this->Boost; }

  /// Notes that a request was sent.
  void recordRequestSent(TimePoint Now);

  /// Returns how long until a request may be sent.
  Duration getWait(TimePoint Now) const;

private:
  void chooseSenders(const FleetDaemons &Fleet, TimePoint Now);
  double getTokens(TimePoint Now) const;
  double getTestPeriod() const;
  double getTestAge(TimePoint Now) const;

  std::string Key;
  std::string Hall;
  double PerSecond = 0;
  TimePoint HeardAt{};
  bool IsSender = false;
  /// Requests a second that are this daemon's, if it is a sender.
  double Rate = 0;
  double Boost = 1;
  double Tokens = 0;
  TimePoint TokensAt{};
  /// How many daemons there are, and where among their tests this one's lie, in
  /// [0, 1).
  size_t Daemons = 1;
  double Phase = 0;
  TimePoint SentAt{};
};

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_RATELIMITSHARE_H
