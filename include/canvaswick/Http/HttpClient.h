//===- HttpClient.h - One HTTP exchange with a backend server or a peer -*- C++
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// cpp-httplib writes the request and reads the answer; this class owns the
/// connection, the deadline and the judgement of what a failure means for the
/// caller: not run, or not known.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_HTTPCLIENT_H
#define CANVASWICK_HTTP_HTTPCLIENT_H

#include "canvaswick/Http/SocketStream.h"
#include "canvaswick/Settings/FleetConfig.h"

#include <httplib.h>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace canvaswick {

/// How an exchange ended.
enum class ExchangeEnd {
  /// The whole answer arrived.
  Complete,
  /// No connection came about: nothing was sent, so nothing was run.
  NotSent,
  /// The deadline passed.
  Timeout,
  /// The connection broke, or the answer could not be understood.
  Broken,
  /// The caller hung up, or refused the rest of the answer.
  Canceled,
  /// No connection was allowed within the bound for this server.
  NoConnection,
};

/// Returns the name of an end as logs and reports print it.
const char *getName(ExchangeEnd End);

/// What to do with an answer while it arrives.
struct AnswerSink {
  /// Called once with the status and headers. False cancels.
  std::function<bool(const httplib::Response &)> OnHead;
  /// Called for each piece of the body. False cancels.
  std::function<bool(const char *, size_t)> OnBody;
};

/// One request towards a server.
struct OutgoingRequest {
  std::string Method = "GET";
  std::string Target = "/";
  httplib::Headers Headers;
  std::string Body;
  /// When set, sends the body piece by piece instead of Body.
  httplib::ContentProvider BodyProvider;
  size_t BodyLength = 0;
  bool BodyIsChunked = false;
  /// Once the head of the answer is there: the longest time without a byte,
  /// and the instant by which the body must be whole.
  Duration StallLimit = Duration::zero();
  TimePoint BodyDeadline = TimePoint::max();
  /// Asked for a later deadline when the one for the head has passed.
  std::function<TimePoint()> ExtendDeadline;
  /// Names the life of the server at the address. A connection to one life is
  /// never used for another: what is left of one that lost power looks open.
  std::string ServerInstance;
  /// How long a new connection may take to come about.
  Duration ConnectLimit = fromSeconds(1);
  /// Takes no connection that was used before, and leaves none behind.
  bool WantsFreshConnection = false;
  /// Whether an answer without a length may end with its connection.
  bool MayEndWithConnection = false;
};

/// What came of one exchange.
struct ExchangeResult {
  ExchangeEnd End = ExchangeEnd::Broken;
  int Status = 0;
  httplib::Headers Headers;
  std::string Body;
  bool HeadTaken = false;
  size_t BytesSent = 0;
  size_t BytesReceived = 0;
};

/// A bounded set of connections to each of many addresses. Thread-safe.
class ConnectionPool {
public:
  /// Opens at most PerAddress connections to an address at once; 0: no bound.
  explicit ConnectionPool(size_t PerAddress);

  /// Runs one exchange. With a Sink the body streams into it, otherwise it is
  /// collected. Deadline holds until the head of the answer. HangUp is a
  /// descriptor whose peer's leaving cancels, or -1.
  ExchangeResult exchange(const Endpoint &Address,
                          const OutgoingRequest &Request, TimePoint Deadline,
                          int HangUp, const AnswerSink *Sink);

  /// Sets the bound for one address.
  void setBound(const Endpoint &Address, size_t Bound);

  /// Closes connections that have been idle since before Limit, or for so long
  /// that their servers may close them.
  void closeIdle(TimePoint Limit, TimePoint Now);

  /// Returns how many connections to Address are open.
  size_t countOpen(const Endpoint &Address) const;

private:
  struct IdleConnection {
    std::unique_ptr<SocketStream> Stream;
    TimePoint Since;
    /// When the server may close it, by its own word.
    TimePoint Until;
  };
  struct Address {
    /// The life that the idle connections lead to.
    std::string ServerInstance;
    std::list<IdleConnection> Idle;
    size_t Open = 0;
    size_t Bound = 0;
  };

  std::unique_ptr<SocketStream> acquire(const Endpoint &Endpoint,
                                        const OutgoingRequest &Outgoing,
                                        TimePoint Deadline, ExchangeEnd &End);
  std::unique_ptr<SocketStream> takeIdle(Address &Entry, TimePoint Now);
  void setServerInstance(Address &Entry, const std::string &ServerInstance);
  void giveBack(const Endpoint &Endpoint, const std::string &ServerInstance,
                std::unique_ptr<SocketStream> Stream, Duration RestLimit);
  void drop(const Endpoint &Endpoint, std::unique_ptr<SocketStream> Stream);

  const size_t PerAddress;
  mutable std::mutex Mutex;
  std::map<std::string, Address> Addresses;
};

} // namespace canvaswick

#endif // CANVASWICK_HTTP_HTTPCLIENT_H
