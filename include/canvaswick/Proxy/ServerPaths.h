//===- ServerPaths.h - Paths of one daemon to its servers ------ *- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Shares between the threads of a daemon which services it is cut off from,
/// and the peers that connect to their servers meanwhile.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_SERVERPATHS_H
#define CANVASWICK_PROXY_SERVERPATHS_H

#include "canvaswick/Http/Tunnel.h"
#include "canvaswick/Proxy/ServiceRuntime.h"
#include "canvaswick/Routing/PathMonitor.h"
#include "canvaswick/Routing/TunnelPeers.h"

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace canvaswick {

/// The paths of one daemon. Thread-safe; no other lock is taken while its mutex
/// is held.
class ServerPaths {
public:
  ServerPaths();

  /// Returns the headers by which peers recognise this daemon in a request for
  /// a tunnel to Server, which is "service/server".
  using Signer = std::function<httplib::Headers(const std::string &Server)>;

  /// Sets how requests for tunnels are signed. Must be called before the first
  /// request. Without a signer, peers recognise this daemon by its address.
  void setSigner(Signer Sign) { this->Sign = std::move(Sign); }

  /// Sets what is called, on any thread, when servers are to be probed at once.
  /// Must be called before the first request.
  void setProbeListener(std::function<void()> Listener) {
    this->ProbeListener = std::move(Listener);
  }

  /// Sets the hall of this daemon and the peers, which do not include it.
  void setPeers(const std::string &Hall, std::vector<TunnelPeer> Peers);

  /// Sets the services whose paths are watched.
  void setServices(const std::set<ServerId> &Services);

  /// Returns whether there is any peer.
  bool hasPeers() const;

  /// Returns whether a peer has this host.
  bool hasPeerAt(const std::string &Host) const;

  /// Records what a peer's message shows, as TunnelPeers does.
  void recordPeerMessage(const std::string &Peer, bool IsCutOff,
                         bool WasAnswered, TimePoint Now);

  /// Records that a server accepted a connection of this daemon, and logs if
  /// the service is in reach again.
  void recordConnected(const ServiceRuntime &Service, TimePoint Now);

  /// Records that an attempt to connect that began at Began failed, or that a
  /// connection broke then before a server answered.
  void recordFailure(ServerId Service, TimePoint Began);

  /// Records that a server answered a request that was sent directly.
  void recordAnswer(ServerId Service, TimePoint Now);

  /// Records that a server has been silent since Began.
  void recordSilence(ServerId Service, TimePoint Began);

  /// Returns whether servers of the service are to be probed now.
  bool isProbeDue(ServerId Service, TimePoint Now) const;

  /// Applies a probe of servers and logs a change. Returns whether the service
  /// is cut off from now on and was not before.
  bool applyProbe(const ServiceRuntime &Service, const PathProbe &Probe,
                  TimePoint Now);

  /// Returns the state of the path to the service.
  PathState getState(ServerId Service) const;

  /// Returns whether a request is to be sent through a peer: the service is cut
  /// off, or the request's connection that began at FailedAt failed and none
  /// has been established since.
  bool needsPeer(ServerId Service,
                 const std::optional<TimePoint> &FailedAt) const;

  /// Returns the number of services that are cut off.
  size_t countCutOff() const;

  /// Returns whether there are services, and all are cut off.
  bool isIsolated() const;

  /// Chooses a peer that is not in Excluded to connect to a server of the
  /// service. Returns nothing if none is known to be able to.
  std::optional<TunnelPeer> choosePeer(const std::vector<std::string> &Excluded,
                                       TimePoint Now);

  /// Returns the request by which Peer opens a tunnel to a server.
  TunnelTarget makeTarget(const TunnelPeer &Peer, const std::string &Service,
                          const std::string &Server) const;

  /// Records that a peer declined a tunnel or was not reached.
  void recordDeclined(const TunnelPeer &Peer, TimePoint Now);

private:
  Signer Sign;
  std::function<void()> ProbeListener;
  mutable std::mutex Mutex;
  PathMonitor Monitor;
  TunnelPeers Peers;
  /// When a connection of this daemon first failed since the last success.
  TimePoint FailingSince{};
  RandomSource Random;
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_SERVERPATHS_H
