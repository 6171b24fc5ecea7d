//===- PolicySwitches.h - Switches for optional mechanisms ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The section [policy] of a daemon's INI file: one switch for each mechanism
/// of request handling, so that the effect of a mechanism can be measured by a
/// run without it. All mechanisms are on by default.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SETTINGS_POLICYSWITCHES_H
#define CANVASWICK_SETTINGS_POLICYSWITCHES_H

#include "canvaswick/Settings/IniDocument.h"

#include <bitset>
#include <cstdint>

namespace canvaswick {

/// The mechanisms that can be switched off.
enum class Mechanism : uint8_t {
  /// Daemons of a hall exchange their observations of servers.
  PooledObservations,
  /// Halls exchange their estimates of the health of servers.
  HallEstimates,
  /// Daemons of a hall exchange the number of their requests in flight.
  SharedInFlight,
  /// A server with a high load receives fewer requests.
  LoadFactor,
  /// A request that is in flight for long counts as evidence against its
  /// server.
  ElapsedEvidence,
  /// The distribution of response times is learned.
  LearnedTimes,
  /// The rates at which failure episodes begin and end are learned.
  LearnedRates,
  /// The time of a retry at another server follows from the success
  /// probabilities of both attempts.
  WeighedRetries,
  /// Daemons lend each other retries from the budget of the fleet.
  RetryLoans,
  /// The servers of the operators' minimum stay in use while many requests
  /// fail.
  Floor,
  /// Servers that receive no requests are tested.
  Tests,
  /// Servers of the same hall are preferred.
  SameHallFirst,
  /// A request that may run only once is sent on a new connection.
  FreshConnections,
  /// A daemon that has just started receives the estimates of its hall.
  StartupEstimates,
  /// A service with many servers keeps its requests on those that have answered
  /// lately.
  Placing,
  /// A request that may run only once may be sent on a connection that has
  /// answered a moment ago.
  RecentConnections,
  /// How long to wait for a new connection follows from how long connections
  /// usually take, and a second one is begun meanwhile.
  LearnedConnectTimes,
  /// A request that servers declined to run may wait for a retry.
  WaitingRoom,
  /// An outcome counts as evidence for the time at which its request began,
  /// not for the time at which it became known.
  EvidenceAtArrival,
  /// How often healthy and unhealthy servers give each outcome is learned.
  LearnedOutcomes,
  /// The first sign of a failure is sent to the hall at once.
  UrgentFailures,
  /// A server whose address another one has taken over gets no requests while
  /// the directory still lists it.
  GoneServers,
};

inline constexpr size_t MechanismCount =
    static_cast<size_t>(Mechanism::GoneServers) + 1;

/// Returns the name of a mechanism as it is written in settings.
const char *getName(Mechanism Which);

/// Holds which mechanisms are on.
class PolicySwitches {
public:
  bool isOn(Mechanism Which) const {
    return !this->Off.test(static_cast<size_t>(Which));
  }

  /// Switches a mechanism on or off.
  void set(Mechanism Which, bool IsOn) {
    this->Off.set(static_cast<size_t>(Which), !IsOn);
  }

  /// The number of servers from which a service counts as one with many: the
  /// mechanisms for hard load apply only to those.
  size_t getManyServers() const { return this->ManyServers; }

  /// Sets that number.
  void setManyServers(size_t Count) { this->ManyServers = Count; }

private:
  std::bitset<MechanismCount> Off;
  /// Services with fewer servers use all of them all the time, so that there is
  /// little to choose.
  size_t ManyServers = 32;
};

/// Reads the section [policy]. Fails with InvalidArgument, naming file, line
/// and key, if a mechanism is unknown, its value is neither "on" nor "off", or
/// the number of servers is none.
Result<PolicySwitches> readPolicySwitches(const IniSection &Section,
                                          const std::string &FileName);

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_POLICYSWITCHES_H
