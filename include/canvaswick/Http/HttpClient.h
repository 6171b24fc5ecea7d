//===- HttpClient.h - Pooled HTTP client ------------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// ConnectionPool owns the connections, enforces deadlines, and classifies a
/// failure by whether the server may have executed the request.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_HTTPCLIENT_H
#define CANVASWICK_HTTP_HTTPCLIENT_H

#include "canvaswick/Http/BodyReader.h"
#include "canvaswick/Http/SocketStream.h"
#include "canvaswick/Http/Tunnel.h"
#include "canvaswick/Settings/FleetConfig.h"

#include <httplib.h>

#include <functional>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace canvaswick {

/// How an exchange ended.
enum class ExchangeEnd {
  /// The complete response arrived.
  Complete,
  /// No connection was established: nothing was sent, so nothing was executed.
  NotSent,
  /// The deadline passed.
  Timeout,
  /// The connection broke, or the response could not be parsed.
  Broken,
  /// The caller disconnected, or the sink rejected the rest of the response.
  Canceled,
  /// The connection limit of the address was reached: nothing was sent.
  NoConnection,
};

/// Returns the name of End as it appears in logs and reports.
const char *getName(ExchangeEnd End);

/// Returns whether a response of this status may say that its request did not
/// run.
bool isRejection(int Status);

/// Callbacks that receive a response as it arrives.
struct AnswerSink {
  /// Called once with the status and headers. Returning false cancels the
  /// exchange.
  std::function<bool(const httplib::Response &)> OnHead;
  /// Called for each chunk of the body. Returning false cancels the exchange.
  std::function<bool(const char *, size_t)> OnBody;
};

/// One request to a server.
struct OutgoingRequest {
  std::string Method = "GET";
  std::string Target = "/";
  httplib::Headers Headers;
  std::string Body;
  /// If set, it passes the body on instead of Body, piece by piece. Returns
  /// false if the body is not whole.
  std::function<bool(const BodyReceiver &)> BodyProvider;
  uint64_t BodyLength = 0;
  bool BodyIsChunked = false;
  /// Limits that apply once the head of the response has arrived: the longest
  /// time without a byte, and the time by which the body must be complete.
  /// Without a body deadline, a body that is collected must be complete by the
  /// deadline of the head.
  Duration StallLimit = Duration::zero();
  TimePoint BodyDeadline = TimePoint::max();
  /// Called when the stall limit has passed, with the time without a byte.
  /// Returns how much longer to wait for one; the request times out if that is
  /// nothing.
  std::function<Duration(Duration)> ExtendStall;
  /// Called whenever a part of a collected body has arrived, unless empty.
  std::function<void()> OnBodyPart;
  /// Called when the deadline for the head has passed. Returns the new
  /// deadline; the request times out if that is not later.
  std::function<TimePoint()> ExtendDeadline;
  /// Identifies the instance of the server at the address. A connection to one
  /// instance is never reused for another: if a server loses power, its old
  /// connections still look open.
  std::string ServerInstance;
  /// The time limit for establishing a new connection.
  Duration ConnectLimit = fromSeconds(1);
  /// If a new connection has not been established after this time, a second one
  /// is begun, and the first to be established is used. Zero: there is no
  /// second one.
  Duration SecondConnectDelay = Duration::zero();
  /// Uses a new connection and closes it after the exchange.
  bool WantsFreshConnection = false;
  /// The longest idle time of a kept connection that may be used. If it is
  /// limited, the connection must have been left after a success, and is kept
  /// for no longer after the exchange.
  Duration MaxIdle = Duration::max();
  /// Connects to the server through a peer. Such a connection is new and is
  /// closed after the exchange.
  std::optional<TunnelTarget> Through;
  /// The time limit for opening a tunnel once the peer is connected, and the
  /// time by which it must be open whatever the deadline of the head.
  Duration TunnelLimit = fromSeconds(1);
  TimePoint TunnelDeadline = TimePoint::max();
  /// Called with the time at which an attempt to connect directly began, and
  /// whether it succeeded, unless empty.
  std::function<void(TimePoint, bool)> OnConnect;
  /// Called once there is a connection, before the first byte of the request is
  /// sent, unless empty. Nothing is sent if it returns false.
  std::function<bool()> BeforeSend;
  /// The longest body of a response that states no length, in bytes.
  uint64_t MaxUnsizedBytes = std::numeric_limits<uint64_t>::max();
  /// Whether a response without a length may be delimited by the end of its
  /// connection, if that is known to be the server's.
  bool MayEndWithConnection = false;
};

/// The outcome of one exchange.
struct ExchangeResult {
  ExchangeEnd End = ExchangeEnd::Broken;
  int Status = 0;
  httplib::Headers Headers;
  std::string Body;
  bool HeadTaken = false;
  /// What made the response unreadable, as it appears in logs, or null.
  const char *Fault = nullptr;
  size_t BytesSent = 0;
  size_t BytesReceived = 0;
  /// Whether the request was sent on a kept connection.
  bool WasKept = false;
  /// Whether a tunnel ended before the server's connection did: the peer that
  /// carried it ended, or the link to it.
  bool WasTunnelLost = false;
  /// Whether the response ends with its connection, and the peer that carries
  /// the tunnel does not say when that is.
  bool HasUnmarkedEnd = false;
  /// How a tunnel was answered, if one was asked for.
  TunnelAnswer Tunnel = TunnelAnswer::Opened;
};

/// Pools a bounded number of connections to each address. Thread-safe.
class ConnectionPool {
public:
  /// Opens at most PerAddress connections to an address at once. 0 means no
  /// limit.
  explicit ConnectionPool(size_t PerAddress);

  /// Sends one request and receives its response. The body goes to Sink, or is
  /// collected in the result if Sink is null. Deadline applies until the head
  /// of the response has arrived. The exchange is canceled when the peer of
  /// the descriptor HangUp disconnects; -1 disables this.
  ExchangeResult exchange(const Endpoint &Address,
                          const OutgoingRequest &Request, TimePoint Deadline,
                          int HangUp, const AnswerSink *Sink);

  /// Sets the connection limit of one address.
  void setBound(const Endpoint &Address, size_t Bound);

  /// Closes connections that became idle before Limit, and those whose servers
  /// may close them by now.
  void closeIdle(TimePoint Limit, TimePoint Now);

  /// Returns the number of open connections to Address.
  size_t countOpen(const Endpoint &Address) const;

private:
  struct IdleConnection {
    std::unique_ptr<SocketStream> Stream;
    TimePoint Since;
    /// The time at which the server may close the connection, according to its
    /// Keep-Alive header.
    TimePoint Until;
    /// Whether the last response on it was a success.
    bool IsAfterSuccess = false;
  };
  struct Address {
    /// The server instance to which the idle connections lead.
    std::string ServerInstance;
    std::list<IdleConnection> Idle;
    size_t Open = 0;
    size_t Bound = 0;
  };

  std::unique_ptr<SocketStream> acquire(const Endpoint &Endpoint,
                                        const OutgoingRequest &Outgoing,
                                        TimePoint Deadline,
                                        ExchangeResult &Result);
  std::unique_ptr<SocketStream> connect(const Endpoint &Endpoint,
                                        const OutgoingRequest &Outgoing,
                                        TimePoint Deadline,
                                        ExchangeResult &Result);
  static std::unique_ptr<SocketStream>
  connectThroughPeer(const OutgoingRequest &Outgoing, ExchangeResult &Result);
  static std::unique_ptr<SocketStream>
  takeIdle(Address &Entry, Duration MaxIdle, TimePoint Now);
  void setServerInstance(Address &Entry, const std::string &ServerInstance);
  void giveBack(const Endpoint &Endpoint, const std::string &ServerInstance,
                IdleConnection Left);
  void drop(const Endpoint &Endpoint, std::unique_ptr<SocketStream> Stream);

  const size_t PerAddress;
  mutable std::mutex Mutex;
  std::map<std::string, Address> Addresses;
};

} // namespace canvaswick

#endif // CANVASWICK_HTTP_HTTPCLIENT_H
