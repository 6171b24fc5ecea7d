//===- PeerExchange.h - A gateway's exchange with peers ---------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Decides what a daemon sends to which peers and how often, and passes what it
/// receives to the services: observations, estimates, failure rates, retry
/// loans and the position of the store's replica. Private to this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_DAEMON_PEEREXCHANGE_H
#define CANVASWICK_LIB_DAEMON_PEEREXCHANGE_H

#include "canvaswick/Daemon/PeerLink.h"
#include "canvaswick/Daemon/RetryBorrower.h"
#include "canvaswick/Daemon/SendBudget.h"
#include "canvaswick/Proxy/FleetRuntime.h"
#include "canvaswick/Proxy/OrganisationQuotas.h"
#include "canvaswick/Proxy/RequestQuarantine.h"
#include "canvaswick/Proxy/ServerPaths.h"

#include <atomic>
#include <mutex>
#include <random>

namespace canvaswick {

/// The exchange of one daemon with its peers. Thread-safe except for runRound.
class PeerExchange {
public:
  /// Self is the record by which peers know this daemon, Fleet the state that
  /// it serves, Quarantine its knowledge of poison requests, Organisations
  /// their quotas, Paths its paths to servers. OnMessage, which may be empty,
  /// is called first for each message, on the link's thread.
  PeerExchange(const DaemonRecord &Self, const FleetRuntimeSlot &Fleet,
               RequestQuarantine &Quarantine, OrganisationQuotas &Organisations,
               ServerPaths &Paths, ServerNoticeTable &Notices,
               CounterTable &Counters, PeerLink::Handler OnMessage,
               const PolicySwitches &Switches);

  /// Binds the socket and starts to receive. Fails like PeerLink::start.
  Result<void> start();

  /// Stops the receiving thread.
  void stop();

  /// Sets the daemons of the fleet. This daemon may be among them.
  void setPeers(const std::vector<DaemonRecord> &Daemons);

  /// Sets this daemon's state with regard to the store. Peers are notified at
  /// once if ShouldNotify is set.
  void setStoreState(const StoreState &State, bool ShouldNotify, TimePoint Now);

  /// Sends pending updates and, when they are due, this daemon's estimates of
  /// servers. Interval is the time between two rounds. All rounds run on one
  /// thread.
  void runRound(const FleetRuntime &Current, Duration Interval, TimePoint Now);

  /// Reports to peers that a request has begun or ended: at once, or in the
  /// next round if this daemon has used up its send rate.
  void notifyRequestChange(TimePoint Now);

  /// Reports to peers at once that a server crashed during a request, or that a
  /// suspected request was answered.
  void reportPoisonRequests(const PoisonRequestUpdate &Update, TimePoint Now);

  /// Borrows one retry of a service from peers. Returns nothing if none
  /// was granted.
  std::optional<TakenRetry> borrowRetry(ServiceRuntime &Service, TimePoint Now);

private:
  bool takeSendToken(const FleetRuntime &Current, TimePoint Now);
  void sendUpdate(const FleetRuntime &Current, TimePoint Now);
  void sendDueUpdate(const FleetRuntime &Current, TimePoint Now);
  bool drawTurn(Duration Wanted, Duration Interval);
  void sendEstimates(const FleetRuntime &Current, TimePoint Now);
  void sendUsedEstimates(const FleetRuntime &Current, TimePoint Now);
  void resendPoisonRequests(TimePoint Now);
  void reportGoneServers(TimePoint Now);
  void resendGoneServers(TimePoint Now);
  void reportPaths(TimePoint Now);
  std::optional<std::vector<QuotaUsage>> collectHallUsage(TimePoint Now);
  void reportQuotaUsage(const FleetRuntime &Current, TimePoint Now);
  void applyQuotaUsage(const PeerMessage &Message, TimePoint Now);
  void handleMessage(const PeerMessage &Message);
  void handleLoans(const FleetRuntime &Current, const PeerMessage &Message,
                   TimePoint Now);
  void applyEvidence(ServiceRuntime &Service, const PeerMessage &Message,
                     TimePoint Now);

  const std::string Name;
  const std::string Hall;
  const FleetRuntimeSlot &Fleet;
  RequestQuarantine &Quarantine;
  OrganisationQuotas &Organisations;
  ServerPaths &Paths;
  ServerNoticeTable &Notices;
  CounterTable &Counters;
  const PeerLink::Handler OnMessage;
  std::atomic<bool> IsWatching{false};
  /// Used by the rounds only.
  TimePoint StoreStateSent{};
  bool WasCutOff = false;
  TimePoint HallUsageSent{};
  TimePoint FullHallUsageSent{};
  std::mt19937_64 Random{std::random_device()()};
  const PolicySwitches Switches;
  /// Guards the members from here to HadInFlight.
  std::mutex UpdateMutex;
  SendBudget Budget;
  TimePoint LastUpdate{};
  bool HasPendingUpdate = false;
  bool HadInFlight = false;
  RetryBorrower Borrower;
  /// Declared last, because its thread uses all other members.
  PeerLink Link;
};

} // namespace canvaswick

#endif // CANVASWICK_LIB_DAEMON_PEEREXCHANGE_H
