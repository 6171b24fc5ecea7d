//===- WarmupShare.h - A daemon's share of a cold server --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A server that has just started bears only a few requests per second from all
/// daemons together. A few senders, chosen by rendezvous hashing among the
/// daemons of the server's hall, divide this rate between them without
/// coordination; all other daemons leave the server alone until it is warm.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_WARMUPSHARE_H
#define CANVASWICK_ROUTING_WARMUPSHARE_H

#include "canvaswick/Routing/SenderChooser.h"
#include "canvaswick/Support/Time.h"

#include <string>

namespace canvaswick {

/// The part of a cold server's request rate that one daemon may use. Not
/// thread-safe.
class WarmupShare {
public:
  /// Key is "service/server" and Hall is the server's hall. PerSecond is the
  /// rate that the server bears until Until.
  WarmupShare(std::string Key, std::string Hall, double PerSecond,
              TimePoint Until, const FleetDaemons &Fleet, TimePoint Now);

  /// Records that the server stays cold until NewUntil, if that is later.
  void extend(TimePoint NewUntil);

  /// Applies a change of the fleet's daemons.
  void setFleet(const FleetDaemons &Fleet, TimePoint Now);

  double getPerSecond() const { return this->PerSecond; }

  /// Returns whether the server is warm.
  bool isOver(TimePoint Now) const { return Now >= this->Until; }

  /// Returns whether this daemon is one of the senders.
  bool isSender() const { return this->Senders.IsSender; }

  /// Returns whether a request may be sent now.
  bool maySend(TimePoint Now) const;

  /// Returns the factor by which to raise the server's share in the selection
  /// while a request may be sent: a sender also sends on behalf of the others.
  double getWeightFactor() const { return this->Senders.WeightFactor; }

  /// Records that a request was sent.
  void recordRequestSent(TimePoint Now);

  /// Returns the time until a request may be sent.
  Duration getWait(TimePoint Now) const;

private:
  void chooseSenders(const FleetDaemons &Fleet, TimePoint Now);
  double getRate() const;
  double getTokens(TimePoint Now) const;

  std::string Key;
  std::string Hall;
  double PerSecond = 0;
  TimePoint Until{};
  SenderChoice Senders;
  double Tokens = 0;
  TimePoint TokensAt{};
};

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_WARMUPSHARE_H
