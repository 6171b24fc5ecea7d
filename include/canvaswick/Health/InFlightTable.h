//===- InFlightTable.h - Requests in flight of a hall -----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Which requests the daemons of one hall have in flight at the servers of one
/// service. Each daemon tells its peers all that it has out, so that a message
/// that is lost or overtaken does no lasting harm.
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

/// One request at a server, by the clock of the daemon that keeps the table.
struct InFlightRequest {
  size_t Server = 0;
  TimePoint Began{};
  /// The usual time of its kind at the server's load; zero: not known.
  Duration TypicalTime{};
};

/// One request at a server, as daemons tell it to each other.
struct InFlightReport {
  ServerId Server = 0;
  int AgeMs = 0;
  int TypicalMs = 0;

  bool operator==(const InFlightReport &) const = default;
};

/// Requests in flight at the servers of one service. Not thread-safe.
class InFlightTable {
public:
  explicit InFlightTable(size_t Servers);

  /// Adds a request of this daemon. Returns its number.
  uint64_t begin(const InFlightRequest &Request);

  /// Takes a request of this daemon out.
  void end(uint64_t Number);

  /// Takes all that a peer has out, in place of what it told before. Left out
  /// if an earlier message with a higher sequence has come.
  void replacePeer(const std::string &Daemon, uint64_t Sequence,
                   const std::vector<InFlightRequest> &Requests, TimePoint Now);

  /// Takes what a server's answer told of its load: requests that ran or
  /// waited there, from all halls.
  void recordReportedLoad(size_t Server, int Load, TimePoint Now);

  /// Takes what another hall tells of the requests at a server of its own.
  void recordRemoteLoad(size_t Server, double Load, TimePoint Now);

  /// Returns the requests at a server: those of the hall, and what its last
  /// answer showed of others.
  double getLoad(size_t Server, TimePoint Now) const;

  /// Calls Visit with each request at a server that the hall knows of.
  template <typename VisitorT>
  void visit(size_t Server, TimePoint Now, const VisitorT &Visit) const {
    for (const Entry &Each : this->ByServer[Server])
      if (Each.Source == LocalSource ||
          Now - this->Peers[Each.Source].ReceivedAt <= PeerTimeout)
        Visit(Each.Request);
  }

  /// Returns what this daemon has out.
  std::vector<InFlightRequest> getLocalRequests() const;

  /// Takes over what peers have out, from another table than this one. Matches
  /// holds for each server of Other its index here, or -1. This daemon's own
  /// requests end where they began.
  void adopt(const InFlightTable &Other, const std::vector<int> &Matches);

private:
  static constexpr size_t LocalSource = SIZE_MAX;

  struct Peer {
    uint64_t Sequence = 0;
    TimePoint ReceivedAt{};
    /// Where its requests are.
    std::vector<size_t> Servers;
  };
  struct Entry {
    InFlightRequest Request;
    /// Which of Peers told it, or LocalSource.
    size_t Source = LocalSource;
    /// Of this daemon's own.
    uint64_t Number = 0;
  };
  struct RemoteLoad {
    double Requests = 0;
    TimePoint At{};
  };

  /// A peer with requests out says so again within a quarter of a second; after
  /// this long without a word it is gone or out of reach, and its requests with
  /// it. Two messages may be lost.
  static constexpr Duration PeerTimeout = fromMillis(700);

  size_t findPeer(const std::string &Daemon);
  size_t countKnown(size_t Server, TimePoint Now) const;

  std::vector<std::vector<Entry>> ByServer;
  /// Where this daemon's own are, by number.
  std::map<uint64_t, size_t> ServerOfLocal;
  std::vector<Peer> Peers;
  /// Their indexes, by name.
  std::map<std::string, size_t> PeerOfName;
  /// What answers showed beyond what the hall knew of.
  std::vector<RemoteLoad> RemoteLoads;
  uint64_t NextNumber = 1;
};

} // namespace canvaswick

#endif // CANVASWICK_HEALTH_INFLIGHTTABLE_H
