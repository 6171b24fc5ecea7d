//===- PeerLink.h - Datagrams between daemons -------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Sends this daemon's observations of backend servers to the other daemons
/// within some tens of milliseconds, in datagrams without acknowledgement. A
/// lost datagram costs a little evidence and nothing else.
///
/// Daemons of the same hall receive every outcome. Other halls receive this
/// hall's estimates of its servers a few times a second: one daemon of each
/// hall receives them and relays them within its hall, so that the traffic
/// between halls grows with the servers, not with the daemons or the requests.
/// A retry loan is requested from a few peers and granted to one.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_PEERLINK_H
#define CANVASWICK_DAEMON_PEERLINK_H

#include "canvaswick/Daemon/PeerMessage.h"
#include "canvaswick/Directory/FleetRecords.h"
#include "canvaswick/Directory/WatchElection.h"
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

/// Sends and receives datagrams. Thread-safe.
class PeerLink {
public:
  using Handler = std::function<void(const PeerMessage &)>;

  /// Self is the record by which peers know this daemon. Handle is called on
  /// the link's thread.
  PeerLink(DaemonRecord Self, uint64_t FirstSequence, CounterTable &Counters,
           Handler Handle);
  ~PeerLink();
  PeerLink(const PeerLink &) = delete;
  PeerLink &operator=(const PeerLink &) = delete;

  /// Binds the socket and starts to receive. Fails with InvalidArgument if the
  /// address is malformed and with Io if it cannot be bound.
  Result<void> start();

  /// Sets the daemons of the fleet. This daemon may be among them.
  void setPeers(std::vector<DaemonRecord> Peers);

  /// Sends the outcomes observed since the last message to this hall, together
  /// with all requests in flight, the usage of organisations and the limits
  /// that servers announced. At most MaxPiggybackedUsages and
  /// MaxPiggybackedLimits are allowed, which leave room for the other rows.
  void sendObservations(std::vector<Observation> Observations,
                        const std::vector<InFlightReport> &InFlight,
                        std::vector<QuotaUsage> Usages,
                        std::vector<LimitReport> Limits);
  static constexpr size_t MaxPiggybackedUsages = 10;
  static constexpr size_t MaxPiggybackedLimits = 5;

  /// Sends the usage of organisations in this hall to the other halls. An empty
  /// list shows them that this hall is reachable.
  void sendHallUsages(std::vector<QuotaUsage> Usages);

  /// Sends estimates, failure rates and limits to the other halls. At most
  /// MaxPiggybackedLimits limits are allowed.
  void sendEstimates(std::vector<HealthEstimate> Estimates,
                     std::vector<HallFailureRate> Rates,
                     std::vector<LimitReport> Limits);

  /// Sends estimates to this hall, for daemons that have just started.
  void sendLocalEstimates(std::vector<HealthEstimate> Estimates);

  /// Sends to this hall the position of this daemon's replica of the store,
  /// where it can be asked for it and, if this daemon watches the store, how
  /// long ago the store answered.
  void sendStoreState(TimePoint Now);

  /// Sends a report on poison requests to this hall, and through one daemon of
  /// each other hall to all daemons.
  void sendPoisonReport(const PoisonRequestReport &Report);

  /// Sends to this hall, and through one daemon of each other hall to all
  /// daemons, which servers are gone. At most MaxGoneServers are allowed.
  void sendGoneServers(std::vector<GoneReport> Reports);
  static constexpr size_t MaxGoneServers = 30;

  /// Requests a retry loan from some peers, chosen at random each time.
  /// AsksRemoteHall includes one of another hall.
  void sendLoanRequest(const RetryLoan &Loan, bool AsksRemoteHall);

  /// Grants a retry loan to the peer that requested it.
  void sendLoanGrant(const std::string &Daemon, const RetryLoan &Loan);

  /// Sets the state of the store that messages carry.
  void setStoreState(const StoreState &State);

  /// Sets whether messages say that this daemon reaches no servers.
  void setCutOff(bool Now) { this->IsCutOff = Now; }

  /// Returns the number of known daemons of this hall, this one included.
  size_t countHallDaemons();

  /// Stops the receiving thread and closes the socket.
  void stop();

private:
  void runThread();
  size_t dropReceived() const;
  void receive(const std::string &Text);
  PeerMessage makeMessage();
  bool isNew(const PeerMessage &Message);
  void sendTo(const Endpoint &Peer, const std::string &Text);
  void sendWithinHall(const std::string &Text);
  void sendToAll(const PeerMessage &Message);
  void sendToOtherHalls(const std::string &Text);
  std::vector<DaemonRecord> chooseLenders(bool AsksRemoteHall);

  const DaemonRecord Self;
  CounterTable &Counters;
  const Handler Handle;
  int Descriptor = -1;
  std::atomic<uint64_t> NextSequence;
  std::atomic<bool> IsStopping{false};
  std::atomic<bool> IsCutOff{false};
  std::mutex Mutex;
  StoreState Store;
  std::vector<DaemonRecord> LocalPeers;
  /// The daemons of each other hall.
  std::map<std::string, std::vector<DaemonRecord>> RemotePeers;
  std::mt19937_64 Random;
  /// Messages that have been received, oldest first. Used by the link's thread
  /// only.
  std::deque<std::pair<std::string, uint64_t>> RecentOrder;
  std::set<std::pair<std::string, uint64_t>> Recent;
  std::thread Thread;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_PEERLINK_H
