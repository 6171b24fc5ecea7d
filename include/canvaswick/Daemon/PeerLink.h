//===- PeerLink.h - Observations between daemons, by datagrams --*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tells the other daemons what this one saw of backend servers, within some
/// tens of milliseconds and without an answer. A datagram that is lost costs a
/// little evidence, nothing else. Daemons of the own hall are told each
/// outcome. Other halls learn a few times a second what this hall thinks of its
/// servers: one daemon there is told and passes it on, so that the bytes
/// between halls grow with the servers and not with the daemons or the
/// requests. A right to a repeat is asked of a few peers, and given to one.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_PEERLINK_H
#define CANVASWICK_DAEMON_PEERLINK_H

#include "canvaswick/Daemon/PeerMessage.h"
#include "canvaswick/Directory/FleetRecords.h"
#include "canvaswick/Directory/WatchDuty.h"
#include "canvaswick/Metrics/Counters.h"

#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace canvaswick {

/// Sends and receives. Thread-safe.
class PeerLink {
public:
  using Handler = std::function<void(const PeerMessage &)>;

  /// Self is how peers know this daemon. Handle is called on the link's thread.
  PeerLink(DaemonRecord Self, uint64_t FirstSequence, CounterTable &Counters,
           Handler Handle);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// Binds the socket and starts to receive. Fails with Io.
  Result<void> start();

  /// Takes the daemons of the fleet, this one included or not.
  void setPeers(std::vector<DaemonRecord> Peers);

  /// Tells the peers of this hall what was seen since the last message, all
  /// that is in flight, what organisations asked and what limits servers named:
  /// at most MostLevelsBesides and MostLimitsBesides, which leave room for the
  /// rest.
  void sendObservations(std::vector<Observation> Seen,
                        const std::vector<InFlightReport> &InFlight,
                        std::vector<AllowanceLevel> Levels,
                        std::vector<LimitReport> Limits);
  static constexpr size_t MostLevelsBesides = 10;
  static constexpr size_t MostLimitsBesides = 5;

  /// Tells the other halls what organisations asked of this one. An empty list
  /// shows them that it is heard.
  void sendHallLevels(std::vector<AllowanceLevel> Levels);

  /// Tells the other halls. Limits: at most MostLimitsBesides.
  void sendEstimates(std::vector<HealthEstimate> Estimates,
                     std::vector<HallFailureRate> Rates,
                     std::vector<LimitReport> Limits);

  /// Tells the peers of this hall, for those that have just started.
  void sendNearEstimates(std::vector<HealthEstimate> Estimates);

  /// Tells the peers of this hall how far the copy of the store goes and, if
  /// this daemon watches, how long ago the store answered.
  void sendWatcherNews(TimePoint Now);

  /// Tells the peers of this hall, and through one of each other hall all
  /// others, under which requests servers ended.
  void sendSuspects(const SuspectReport &Report);

  /// Asks some peers, drawn anew each time, for the right to a repeat. AsksFar:
  /// one of another hall too.
  void askForRepeat(const RepeatLoan &Loan, bool AsksFar);

  /// Gives a right to the peer that asked for it.
  void lendRepeat(const std::string &Daemon, const RepeatLoan &Loan);

  /// Sets what messages say of the store.
  void setStoreState(const StoreState &State);

  /// Returns how many daemons of this hall are known, this one included.
  size_t countNear();

  /// Ends the receiving thread and closes the socket.
  void stop();

private:
  void runThread();
  size_t dropReceived() const;
  void receive(const std::string &Text);
  PeerMessage makeMessage();
  bool isNew(const PeerMessage &Message);
  void sendTo(const Endpoint &Peer, const std::string &Text);
  void sendWithinHall(const std::string &Text);
  void sendToOtherHalls(const std::string &Text);
  std::vector<DaemonRecord> drawAsked(bool AsksFar);

  const DaemonRecord Self;
  CounterTable &Counters;
  const Handler Handle;
  int Descriptor = -1;
  std::atomic<uint64_t> NextSequence;
  std::atomic<bool> IsStopping{false};
  std::mutex Mutex;
  StoreState Store;
  std::vector<DaemonRecord> Near;
  /// Daemons of each other hall.
  std::map<std::string, std::vector<DaemonRecord>> Far;
  std::mt19937_64 Random;
  /// Used by the link's thread only: what has come already, oldest first.
  std::deque<std::pair<std::string, uint64_t>> RecentOrder;
  std::set<std::pair<std::string, uint64_t>> Recent;
  std::thread Thread;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_PEERLINK_H
