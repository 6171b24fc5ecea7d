//===- PeerExchange.h - What a gateway and its peers share ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Decides what of a daemon's knowledge goes to which peers and how often, and
/// hands what comes from them to the services: observations, estimates, rates,
/// rights to repeats and how far the copy of the store goes. Private to this
/// library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_DAEMON_PEEREXCHANGE_H
#define CANVASWICK_LIB_DAEMON_PEEREXCHANGE_H

#include "canvaswick/Daemon/PeerLink.h"
#include "canvaswick/Daemon/RepeatLoans.h"
#include "canvaswick/Proxy/FleetRuntime.h"
#include "canvaswick/Proxy/OrganisationQuotas.h"
#include "canvaswick/Proxy/RequestQuarantine.h"

#include <atomic>
#include <mutex>
#include <random>

namespace canvaswick {

/// The exchange of one daemon with its peers. Thread-safe, but for runRound.
class PeerExchange {
public:
  /// Self is how peers know this daemon; Fleet holds what it serves by, Guard
  /// what it knows of requests under which servers end, Organisations what
  /// these may send. Heard, which may be empty, is called first with each
  /// message, on the link's thread.
  PeerExchange(const DaemonRecord &Self, const FleetRuntimeSlot &Fleet,
               RequestQuarantine &Guard, OrganisationQuotas &Organisations,
               ServerNoticeTable &Notices, CounterTable &Counters,
               PeerLink::Handler Heard, const PolicySwitches &Switches);

  /// Binds the socket and starts to receive. Fails with Io.
  Result<void> start();

  /// Ends the receiving thread.
  void stop();

  /// Takes the daemons of the fleet, this one included or not.
  void setPeers(const std::vector<DaemonRecord> &Daemons);

  /// Says where this daemon stands with the store. IsNews: peers are told at
  /// once.
  void setStoreState(const StoreState &State, bool IsNews, TimePoint Now);

  /// Tells peers what has not been told yet and, when it is due, what this
  /// daemon thinks of servers. Interval is the time between two rounds,
  /// which one thread runs.
  void runRound(const FleetRuntime &Current, Duration Interval, TimePoint Now);

  /// Tells peers that a request has begun or ended, at once unless this daemon
  /// has said much of late: then the next round does.
  void tellChange(TimePoint Now);

  /// Tells peers at once under which request a server ended, or that one was
  /// answered.
  void tellSuspects(const SuspectNews &News, TimePoint Now);

  /// Borrows the right to one repeat of a service from peers.
  bool borrowRetry(ServiceRuntime &Service, TimePoint Now);

private:
  bool takeRight(TimePoint Now);
  void sendNews(const FleetRuntime &Current, TimePoint Now);
  void repeatInFlight(const FleetRuntime &Current, TimePoint Now);
  bool isMyTurn(Duration Wanted, Duration Interval);
  void sendEstimates(const FleetRuntime &Current, TimePoint Now);
  void sendUsedEstimates(const FleetRuntime &Current, TimePoint Now);
  void retellSuspects(TimePoint Now);
  std::optional<std::vector<AllowanceLevel>> takeHallNews(TimePoint Now);
  void tellOrganisations(const FleetRuntime &Current, TimePoint Now);
  void takeLevels(const PeerMessage &Message, TimePoint Now);
  void takeMessage(const PeerMessage &Message);
  void takeLoans(const FleetRuntime &Current, const PeerMessage &Message,
                 TimePoint Now);
  void takeEvidence(ServiceRuntime &Service, const PeerMessage &Message,
                    TimePoint Now);

  const std::string Name;
  const std::string Hall;
  const FleetRuntimeSlot &Fleet;
  RequestQuarantine &Guard;
  OrganisationQuotas &Organisations;
  ServerNoticeTable &Notices;
  CounterTable &Counters;
  const PeerLink::Handler Heard;
  std::atomic<bool> IsWatching{false};
  /// Used by the rounds only.
  TimePoint WatcherNewsAt{};
  TimePoint HallLevelsAt{};
  TimePoint AllLevelsAt{};
  std::mt19937_64 Random{std::random_device()()};
  const PolicySwitches Switches;
  /// Guards what stands below it.
  std::mutex NewsMutex;
  /// Messages that may go out at once, and when they were last counted.
  double Rights;
  TimePoint RightsAt{};
  TimePoint NewsAt{};
  bool HasNews = false;
  bool HadInFlight = false;
  RepeatLoans Loans;
  /// Last: its thread reaches all others.
  PeerLink Link;
};

} // namespace canvaswick

#endif // CANVASWICK_LIB_DAEMON_PEEREXCHANGE_H
