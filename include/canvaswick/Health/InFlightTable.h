//===- InFlightTable.h - Requests in flight of a hall -----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the table of requests that the daemons of one hall have in flight
/// at the servers of one service. Each daemon sends its peers the complete list
/// of its requests, so that the table recovers from lost and reordered
/// messages.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HEALTH_INFLIGHTTABLE_H
#define CANVASWICK_HEALTH_INFLIGHTTABLE_H

#include "canvaswick/Health/Evidence.h"
#include "canvaswick/Support/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace canvaswick {

/// A request in flight at a server. Times are those of the local clock.
struct InFlightRequest {
  size_t Server = 0;
  TimePoint Began{};
  /// Typical time of such a request at the server's load, or zero if it is
  /// unknown.
  Duration TypicalTime{};
};

/// A request in flight as daemons report it to each other.
struct InFlightReport {
  ServerId Server = 0;
  int AgeMs = 0;
  int TypicalMs = 0;

  bool operator==(const InFlightReport &) const = default;
};

/// The requests in flight at the servers of one service. Not thread-safe.
class InFlightTable {
public:
  explicit InFlightTable(size_t Servers);

  /// Adds a request of this daemon and returns its number.
  uint64_t begin(const InFlightRequest &Request);

  /// Removes a request of this daemon. Does nothing if the number is unknown.
  void end(uint64_t Number);

  /// Replaces all requests of a peer. Ignores the message if one with the same
  /// or a higher sequence number has arrived.
  void replacePeer(const std::string &Daemon, uint64_t Sequence,
                   const std::vector<InFlightRequest> &Requests, TimePoint Now);

  /// Records the load that a server reported in an answer: the number of
  /// requests of all halls that it was processing or had queued.
  void recordReportedLoad(size_t Server, int Load, TimePoint Now);

  /// Records the load of a server that another hall reported.
  void recordRemoteLoad(size_t Server, double Load, TimePoint Now);

  /// Returns the number of requests at a server: those of this hall, and an
  /// estimate of those of other halls from the last reported load.
  double getLoad(size_t Server, TimePoint Now) const;

  /// Calls Visit with each known request of this hall at a server. Skips
  /// requests of peers that have not sent an update for PeerTimeout.
  template <typename VisitorT>
  void visit(size_t Server, TimePoint Now, const VisitorT &Visit) const {
    for (const Entry &Each : this->ByServer[Server])
      if (Each.Source == LocalSource ||
          Now - this->Peers[Each.Source].ReceivedAt <= PeerTimeout)
        Visit(Each.Request);
  }

  /// Returns the requests in flight of this daemon.
  std::vector<InFlightRequest> getLocalRequests() const;

  /// Copies the requests of peers from the table of an earlier version of the
  /// settings. Matches holds for each server of Other its index in this table,
  /// or -1. Requests of this daemon remain in the table in which they began.
  void adopt(const InFlightTable &Other, const std::vector<int> &Matches);

private:
  static constexpr size_t LocalSource = SIZE_MAX;

  struct Peer {
    uint64_t Sequence = 0;
    TimePoint ReceivedAt{};
    /// The server of each request of the peer.
    std::vector<size_t> Servers;
  };
  struct Entry {
    InFlightRequest Request;
    /// Index in Peers of the daemon that sent the request, or LocalSource.
    size_t Source = LocalSource;
    /// Number of a request of this daemon; 0 for a request of a peer.
    uint64_t Number = 0;
  };
  struct RemoteLoad {
    double Requests = 0;
    TimePoint At{};
  };

  /// A peer with requests in flight sends an update at least every 250 ms.
  /// After this time without one, it is taken to be stopped or unreachable and
  /// its requests are ignored. This tolerates the loss of two messages.
  static constexpr Duration PeerTimeout = fromMillis(700);

  size_t findPeer(const std::string &Daemon);
  size_t countKnown(size_t Server, TimePoint Now) const;

  std::vector<std::vector<Entry>> ByServer;
  /// The server of each request of this daemon, by number.
  std::map<uint64_t, size_t> ServerOfLocal;
  std::vector<Peer> Peers;
  /// Indexes into Peers, by daemon name.
  std::map<std::string, size_t> PeerOfName;
  /// Requests of other halls at each server, derived from reported loads.
  std::vector<RemoteLoad> RemoteLoads;
  uint64_t NextNumber = 1;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_INFLIGHTTABLE_H
