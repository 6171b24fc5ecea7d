//===- RequestPaths.cpp - Paths of attempts to servers --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of RequestProxy that decides whether this daemon connects to a
/// server itself or has a peer do it, and that finds the peer.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"
#include "canvaswick/Support/Log.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace canvaswick {

/// Peers that are asked for one request. Those that decline do so at once.
static constexpr size_t MaxPeersPerRequest = 6;

/// Time limits for connecting to a peer, and then for its connection to the
/// server. Both take a few milliseconds, or one more with a lost packet.
static constexpr Duration PeerConnectLimit = fromMillis(200);
static constexpr Duration TunnelOpenLimit = fromMillis(400);

/// Chooses the path of the next attempt. Returns false if there is none: this
/// daemon is cut off from the servers, and so is every peer that answered.
bool RequestProxy::choosePath(RequestContext &Request) const {
  const ServerId Service = Request.Service->getId();
  const PathState State = this->Paths.getState(Service);
  const bool WasThroughPeer = Request.Needs.IsThroughPeer;
  Request.Needs.IsThroughPeer = false;
  if (Request.HasNoPeer)
    return !State.IsCutOff || !State.IsSilent;
  Request.Needs.IsThroughPeer =
      this->Paths.needsPeer(Service, Request.LinkFailedAt);
  // The servers that this daemon did not reach may be fine.
  if (State.IsCutOff && Request.Needs.IsThroughPeer && !WasThroughPeer &&
      !Request.WasSent)
    Request.Needs.Tried.clear();
  return true;
}

/// Returns whether a server may still be sent the request, right before that
/// happens: connections take a while.
bool RequestProxy::maySendNow(RequestContext &Request,
                              const ServerConfig &Server) const {
  Request.WasWithdrawn = !this->Fleet.get()->mayReceive(
      Request.Service->getConfig().Name, Server.Name, readSteadyClock());
  if (Request.WasWithdrawn)
    this->Counters.add(Counter::SendsWithdrawn);
  return !Request.WasWithdrawn;
}

/// Charges an arrival at a server, right before the request is sent there. The
/// first one is free, each further one uses up a retry. Returns whether the
/// request may be sent.
bool RequestProxy::chargeArrival(RequestContext &Request) const {
  const bool IsRepeated = Request.WasSent;
  if (IsRepeated && !Request.Permit.isHeld()) {
    logError("retry-without-permit", "id={}", Request.CallerId);
    return false;
  }
  if (IsRepeated)
    std::move(Request.Permit).consume(readSteadyClock());
  Request.IsRetryPaid = IsRepeated;
  Request.WasSent = true;
  Request.Service->getMetrics().recordArrival(IsRepeated);
  return true;
}

/// Sends an attempt on its path.
ExchangeResult RequestProxy::sendAttempt(RequestContext &Request,
                                         const Attempt &Current,
                                         OutgoingRequest &Outgoing,
                                         TimePoint Deadline, int CallerSocket,
                                         const AnswerSink &Sink) {
  const ServerConfig &Server = Request.Service->getServer(Current.Server);
  Request.WasWithdrawn = false;
  Outgoing.BeforeSend = [this, &Request, &Server] {
    return this->maySendNow(Request, Server) && this->chargeArrival(Request);
  };
  if (Current.IsThroughPeer)
    return this->sendThroughPeers(Request, Server, Outgoing, Deadline,
                                  CallerSocket, Sink);
  const ServerId Service = Request.Service->getId();
  Outgoing.OnConnect = [this, &Request, &Server, Service,
                        Limit = Outgoing.ConnectLimit](TimePoint Began,
                                                       bool IsConnected) {
    const TimePoint Now = readSteadyClock();
    Request.LinkFailedAt.reset();
    if (IsConnected) {
      this->ConnectWaits.recordConnected(Server.Hall, Now - Began);
      this->Paths.recordConnected(*Request.Service, Now);
      return;
    }
    // A refused connection ends early.
    if (Now - Began >= Limit)
      this->ConnectWaits.recordTimeout(Server.Hall);
    Request.LinkFailedAt = Began;
    this->Paths.recordFailure(Service, Began);
  };
  const ExchangeResult Result = this->Upstreams.exchange(
      Server.Address, Outgoing, Deadline, CallerSocket, &Sink);
  const TimePoint Ended = readSteadyClock();
  if (Result.BytesReceived > 0) {
    this->Paths.recordAnswer(Service, Ended);
  } else if (Result.End == ExchangeEnd::Broken) {
    Request.LinkFailedAt = Ended;
    this->Paths.recordFailure(Service, Ended);
  }
  return Result;
}

/// Asks a peer no more for this request, and later than others for the next
/// ones: it declined, or ended while it carried a tunnel.
void RequestProxy::leavePeer(RequestContext &Request, const TunnelPeer &Peer) {
  Request.AskedPeers.push_back(Peer.Name);
  this->Paths.recordDeclined(Peer, readSteadyClock());
}

/// Sends an attempt through the first peer that connects to the server.
ExchangeResult RequestProxy::sendThroughPeers(RequestContext &Request,
                                              const ServerConfig &Server,
                                              OutgoingRequest &Outgoing,
                                              TimePoint Deadline,
                                              int CallerSocket,
                                              const AnswerSink &Sink) {
  ExchangeResult Result;
  Result.End = ExchangeEnd::NotSent;
  Outgoing.ConnectLimit = PeerConnectLimit;
  Outgoing.TunnelLimit = TunnelOpenLimit;
  Outgoing.TunnelDeadline = Request.Deadline;
  while (Request.AskedPeers.size() < MaxPeersPerRequest) {
    const std::optional<TunnelPeer> Peer =
        this->Paths.choosePeer(Request.AskedPeers, readSteadyClock());
    if (!Peer)
      break;
    Outgoing.Through = this->Paths.makeTarget(
        *Peer, Request.Service->getConfig().Name, Server.Name);
    // The peers before may have taken a while to decline.
    this->setDeadlineHeader(Request, Outgoing);
    Result = this->Upstreams.exchange(Server.Address, Outgoing, Deadline,
                                      CallerSocket, &Sink);
    if (Result.End != ExchangeEnd::NotSent) {
      this->Counters.add(Counter::TunnelsOpened);
      if (Result.WasTunnelLost || Result.HasUnmarkedEnd)
        this->leavePeer(Request, *Peer);
      return Result;
    }
    if (Request.WasWithdrawn)
      return Result;
    this->Counters.add(Counter::TunnelsDeclined);
    if (Result.Tunnel == TunnelAnswer::NoServer) {
      // Unless the links of both are cut, which the next probe of each shows,
      // the server is gone, and the next one may be reached directly.
      Request.AskedPeers.push_back(Peer->Name);
      Request.LinkFailedAt.reset();
      return Result;
    }
    this->leavePeer(Request, *Peer);
  }
  Request.HasNoPeer = true;
  return Result;
}

} // namespace canvaswick
