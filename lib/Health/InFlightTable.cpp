//===- InFlightTable.cpp - Requests in flight of a hall -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the table with one list of requests for each server. An update of
/// a peer replaces all requests of the peer.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/InFlightTable.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

/// Half-life of the estimated requests of other halls after an answer reported
/// a server's load. It is about the duration of a request.
static constexpr Duration RemoteLoadHalfLife = fromMillis(250);

InFlightTable::InFlightTable(size_t Servers)
    : ByServer(Servers), RemoteLoads(Servers) {}

uint64_t InFlightTable::begin(const InFlightRequest &Request) {
  const uint64_t Number = this->NextNumber++;
  this->ByServer[Request.Server].push_back({Request, LocalSource, Number});
  this->ServerOfLocal[Number] = Request.Server;
  return Number;
}

void InFlightTable::end(uint64_t Number) {
  const auto Found = this->ServerOfLocal.find(Number);
  if (Found == this->ServerOfLocal.end())
    return;
  std::erase_if(this->ByServer[Found->second], [Number](const Entry &Each) {
    return Each.Source == LocalSource && Each.Number == Number;
  });
  this->ServerOfLocal.erase(Found);
}

size_t InFlightTable::findPeer(const std::string &Daemon) {
  const auto Inserted =
      this->PeerOfName.try_emplace(Daemon, this->Peers.size());
  if (Inserted.second)
    this->Peers.emplace_back();
  return Inserted.first->second;
}

void InFlightTable::replacePeer(const std::string &Daemon, uint64_t Sequence,
                                const std::vector<InFlightRequest> &Requests,
                                TimePoint Now) {
  const size_t Source = this->findPeer(Daemon);
  Peer &Sender = this->Peers[Source];
  if (Sequence <= Sender.Sequence)
    return;
  for (const size_t Server : Sender.Servers)
    std::erase_if(this->ByServer[Server], [Source](const Entry &Each) {
      return Each.Source == Source;
    });
  Sender = {Sequence, Now, {}};
  for (const InFlightRequest &Request : Requests) {
    this->ByServer[Request.Server].push_back({Request, Source, 0});
    Sender.Servers.push_back(Request.Server);
  }
}

size_t InFlightTable::countKnown(size_t Server, TimePoint Now) const {
  size_t Count = 0;
  this->visit(Server, Now, [&Count](const InFlightRequest &) { ++Count; });
  return Count;
}

void InFlightTable::recordReportedLoad(size_t Server, int Load, TimePoint Now) {
  // The reported load includes the request that was answered.
  const double Others = Load - 1 - static_cast<double>(countKnown(Server, Now));
  this->RemoteLoads[Server] = {std::max(0.0, Others), Now};
}

void InFlightTable::recordRemoteLoad(size_t Server, double Load,
                                     TimePoint Now) {
  const double Others = Load - static_cast<double>(countKnown(Server, Now));
  this->RemoteLoads[Server] = {std::max(0.0, Others), Now};
}

double InFlightTable::getLoad(size_t Server, TimePoint Now) const {
  const RemoteLoad &Reported = this->RemoteLoads[Server];
  const double HalfLives =
      toSeconds(Now - Reported.At) / toSeconds(RemoteLoadHalfLife);
  return static_cast<double>(this->countKnown(Server, Now)) +
         Reported.Requests * std::exp2(-std::max(0.0, HalfLives));
}

std::vector<InFlightRequest> InFlightTable::getLocalRequests() const {
  std::vector<InFlightRequest> All;
  for (const auto &[Number, Server] : this->ServerOfLocal)
    for (const Entry &Each : this->ByServer[Server])
      if (Each.Source == LocalSource && Each.Number == Number)
        All.push_back(Each.Request);
  return All;
}

void InFlightTable::adopt(const InFlightTable &Other,
                          const std::vector<int> &Matches) {
  this->Peers = Other.Peers;
  this->PeerOfName = Other.PeerOfName;
  for (Peer &Each : this->Peers)
    Each.Servers.clear();
  for (size_t Old = 0; Old < Matches.size(); ++Old) {
    if (Matches[Old] < 0)
      continue;
    const auto Server = static_cast<size_t>(Matches[Old]);
    this->RemoteLoads[Server] = Other.RemoteLoads[Old];
    for (Entry Each : Other.ByServer[Old]) {
      if (Each.Source == LocalSource)
        continue;
      Each.Request.Server = Server;
      this->ByServer[Server].push_back(Each);
      this->Peers[Each.Source].Servers.push_back(Server);
    }
  }
}

} // namespace canvaswick
