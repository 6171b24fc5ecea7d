//===- InFlightTable.cpp - Requests in flight of a hall -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One list for each peer, replaced as a whole.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/InFlightTable.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

/// How long half of what an answer showed of other halls' requests is taken to
/// last: about a request's time.
static constexpr Duration ForeignHalfLife = fromMillis(250);

InFlightTable::InFlightTable(size_t Servers)
    : ByServer(Servers), Foreign(Servers) {}

uint64_t InFlightTable::begin(const InFlightRequest &Request) {
  const uint64_t Number = this->NextNumber++;
  this->ByServer[Request.Server].push_back({Request, OwnSource, Number});
  this->Own[Number] = Request.Server;
  return Number;
}

void InFlightTable::end(uint64_t Number) {
  const auto Found = this->Own.find(Number);
  if (Found == this->Own.end())
    return;
  std::erase_if(this->ByServer[Found->second], [Number](const Entry &Each) {
    return Each.Source == OwnSource && Each.Number == Number;
  });
  this->Own.erase(Found);
}

size_t InFlightTable::findPeer(const std::string &Daemon) {
  const auto Place = this->PeerOfName.try_emplace(Daemon, this->Peers.size());
  if (Place.second)
    this->Peers.emplace_back();
  return Place.first->second;
}

void InFlightTable::replacePeer(const std::string &Daemon, uint64_t Sequence,
                                const std::vector<InFlightRequest> &Requests,
                                TimePoint Now) {
  const size_t Source = this->findPeer(Daemon);
  Peer &Told = this->Peers[Source];
  if (Sequence <= Told.Sequence)
    return;
  for (const size_t Server : Told.Servers)
    std::erase_if(this->ByServer[Server], [Source](const Entry &Each) {
      return Each.Source == Source;
    });
  Told = {Sequence, Now, {}};
  for (const InFlightRequest &Request : Requests) {
    this->ByServer[Request.Server].push_back({Request, Source, 0});
    Told.Servers.push_back(Request.Server);
  }
}

size_t InFlightTable::countKnown(size_t Server, TimePoint Now) const {
  size_t Count = 0;
  this->visit(Server, Now, [&Count](const InFlightRequest &) { ++Count; });
  return Count;
}

void InFlightTable::recordReportedLoad(size_t Server, int Load, TimePoint Now) {
  // The request that was answered still counts in the answer's load.
  const double Others = Load - 1 - static_cast<double>(countKnown(Server, Now));
  this->Foreign[Server] = {std::max(0.0, Others), Now};
}

void InFlightTable::recordRemoteLoad(size_t Server, double Load,
                                     TimePoint Now) {
  const double Others = Load - static_cast<double>(countKnown(Server, Now));
  this->Foreign[Server] = {std::max(0.0, Others), Now};
}

double InFlightTable::getLoad(size_t Server, TimePoint Now) const {
  const ForeignLoad &Shown = this->Foreign[Server];
  const double Lives = toSeconds(Now - Shown.At) / toSeconds(ForeignHalfLife);
  return static_cast<double>(this->countKnown(Server, Now)) +
         Shown.Requests * std::exp2(-std::max(0.0, Lives));
}

std::vector<InFlightRequest> InFlightTable::getLocalRequests() const {
  std::vector<InFlightRequest> All;
  for (const auto &[Number, Server] : this->Own)
    for (const Entry &Each : this->ByServer[Server])
      if (Each.Source == OwnSource && Each.Number == Number)
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
    this->Foreign[Server] = Other.Foreign[Old];
    for (Entry Each : Other.ByServer[Old]) {
      if (Each.Source == OwnSource)
        continue;
      Each.Request.Server = Server;
      this->ByServer[Server].push_back(Each);
      this->Peers[Each.Source].Servers.push_back(Server);
    }
  }
}

} // namespace canvaswick
