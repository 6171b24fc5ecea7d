//===- HttpClient.cpp - Pooled HTTP client --------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A connection returns to the pool only after a complete, well-framed response
/// that left no unread bytes. Every other connection is closed, so that a late
/// response is never taken for the response to another request.
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Http/TcpConnect.h"
#include "canvaswick/Support/EnumNames.h"
#include "canvaswick/Support/Text.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace canvaswick {

static constexpr EnumNames<ExchangeEnd, 6> ExchangeEndNames = {{
    {ExchangeEnd::Complete, "complete"},
    {ExchangeEnd::NotSent, "not-sent"},
    {ExchangeEnd::Timeout, "timeout"},
    {ExchangeEnd::Broken, "broken"},
    {ExchangeEnd::Canceled, "canceled"},
    {ExchangeEnd::NoConnection, "no-connection"},
}};

const char *getName(ExchangeEnd End) {
  return getEnumName(ExchangeEndNames, End);
}

static constexpr size_t MaxResponseHeadBytes = 65536;

/// Fraction of the idle timeout announced by a server during which a connection
/// is reused.
static constexpr double IdleTimeoutFraction = 0.8;

/// Upper limit for the idle time of a connection, whatever the server
/// announces.
static constexpr Duration MaxIdleTime = fromSeconds(3600);

/// Maximum size of a response body that is collected without a sink.
static constexpr size_t MaxCollectedBytes = 4 << 20;

namespace {

/// Exposes the protected cpp-httplib function that exchanges one message over a
/// given stream.
class MessageExchanger final : public httplib::ClientImpl {
public:
  explicit MessageExchanger(const Endpoint &Address)
      : httplib::ClientImpl(Address.Host, Address.Port) {
    this->set_decompress(false);
    this->set_url_encode(false);
    this->set_keep_alive(true);
  }

  bool run(httplib::Stream &Stream, httplib::Request &Request,
           httplib::Response &Response, httplib::Error &Error) {
    return this->process_request(Stream, Request, Response, false, Error);
  }
};

/// State that the callbacks of one exchange record.
struct ResponseState {
  bool HeadTaken = false;
  bool IsBodyless = false;
  bool IsRefusedBySink = false;
  bool IsUnframed = false;
};

} // namespace

static bool isBodyless(int Status) { return Status == 204 || Status == 304; }

/// Returns whether the headers delimit the response unambiguously, or it may
/// end with the connection.
static bool isFramed(const httplib::Response &Response,
                     bool MayEndWithConnection) {
  const size_t Lengths = Response.get_header_value_count("Content-Length");
  const size_t Encodings = Response.get_header_value_count("Transfer-Encoding");
  if (Lengths + Encodings == 0)
    return MayEndWithConnection;
  if (Lengths + Encodings != 1)
    return false;
  if (Encodings == 1)
    return equalsIgnoringCase(Response.get_header_value("Transfer-Encoding"),
                              "chunked");
  const std::string Length = Response.get_header_value("Content-Length");
  return !Length.empty() &&
         std::all_of(Length.begin(), Length.end(), [](char Byte) {
           return std::isdigit(static_cast<unsigned char>(Byte));
         });
}

ConnectionPool::ConnectionPool(size_t PerAddress) : PerAddress(PerAddress) {}

void ConnectionPool::setBound(const Endpoint &Endpoint, size_t Bound) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Addresses[Endpoint.format()].Bound = Bound;
}

size_t ConnectionPool::countOpen(const Endpoint &Endpoint) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Addresses.find(Endpoint.format());
  return Found == this->Addresses.end() ? 0 : Found->second.Open;
}

void ConnectionPool::closeIdle(TimePoint Limit, TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (auto &[Name, Entry] : this->Addresses) {
    const size_t Before = Entry.Idle.size();
    Entry.Idle.remove_if([Limit, Now](const IdleConnection &Connection) {
      return Connection.Since < Limit || Connection.Until <= Now;
    });
    Entry.Open -= Before - Entry.Idle.size();
  }
}

/// Returns a connection that has been idle for at most MaxIdle, that the server
/// still keeps open and that has no unexpected input, or null. The caller holds
/// the mutex.
std::unique_ptr<SocketStream>
ConnectionPool::takeIdle(Address &Entry, Duration MaxIdle, TimePoint Now) {
  // The last one has been idle for the shortest time.
  while (!Entry.Idle.empty() && Now - Entry.Idle.back().Since <= MaxIdle) {
    const bool IsKept = Now < Entry.Idle.back().Until;
    std::unique_ptr<SocketStream> Stream = std::move(Entry.Idle.back().Stream);
    Entry.Idle.pop_back();
    if (IsKept && !Stream->hasUnexpectedInput())
      return Stream;
    --Entry.Open;
  }
  return nullptr;
}

/// Closes the idle connections to any other instance of the server. The caller
/// holds the mutex.
void ConnectionPool::setServerInstance(Address &Entry,
                                       const std::string &ServerInstance) {
  if (Entry.ServerInstance == ServerInstance)
    return;
  Entry.Open -= Entry.Idle.size();
  Entry.Idle.clear();
  Entry.ServerInstance = ServerInstance;
}

std::unique_ptr<SocketStream>
ConnectionPool::acquire(const Endpoint &Endpoint,
                        const OutgoingRequest &Outgoing, TimePoint Deadline,
                        ExchangeResult &Result) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Address &Entry = this->Addresses[Endpoint.format()];
    this->setServerInstance(Entry, Outgoing.ServerInstance);
    std::unique_ptr<SocketStream> Stream;
    if (!Outgoing.WantsFreshConnection && !Outgoing.Through)
      Stream = takeIdle(Entry, Outgoing.MaxIdle, readSteadyClock());
    Result.WasKept = Stream != nullptr;
    if (Stream)
      return Stream;
    const size_t Bound = Entry.Bound ? Entry.Bound : this->PerAddress;
    // An idle connection that this request may not use gives way.
    if (Bound && Entry.Open >= Bound && !Entry.Idle.empty()) {
      Entry.Idle.pop_front();
      --Entry.Open;
    }
    if (Bound && Entry.Open >= Bound) {
      Result.End = ExchangeEnd::NoConnection;
      return nullptr;
    }
    ++Entry.Open;
  }
  std::unique_ptr<SocketStream> Stream =
      this->connect(Endpoint, Outgoing, Deadline, Result);
  if (Stream)
    return Stream;
  Result.End = ExchangeEnd::NotSent;
  this->drop(Endpoint, nullptr);
  return nullptr;
}

/// Connects to a server, directly or through a peer. Returns null on failure.
std::unique_ptr<SocketStream>
ConnectionPool::connect(const Endpoint &Server, const OutgoingRequest &Outgoing,
                        TimePoint Deadline, ExchangeResult &Result) {
  if (Outgoing.Through)
    return connectThroughPeer(Outgoing, Result);
  const TimePoint Began = readSteadyClock();
  const TimePoint Until = std::min(Deadline, Began + Outgoing.ConnectLimit);
  const int Descriptor =
      Outgoing.SecondConnectDelay > Duration::zero()
          ? connectTcpTwice(Server.Host, Server.Port,
                            Began + Outgoing.SecondConnectDelay, Until)
          : connectTcp(Server.Host, Server.Port, Until);
  if (Outgoing.OnConnect)
    Outgoing.OnConnect(Began, Descriptor >= 0);
  return Descriptor >= 0 ? std::make_unique<SocketStream>(Descriptor) : nullptr;
}

/// Opens a tunnel to a server. Returns null on failure.
std::unique_ptr<SocketStream>
ConnectionPool::connectThroughPeer(const OutgoingRequest &Outgoing,
                                   ExchangeResult &Result) {
  const auto GetDeadline = [&Outgoing](Duration Limit) {
    return std::min(Outgoing.TunnelDeadline, readSteadyClock() + Limit);
  };
  const Endpoint &Peer = Outgoing.Through->Peer;
  Result.Tunnel = TunnelAnswer::NoPeer;
  const int Descriptor =
      connectTcp(Peer.Host, Peer.Port, GetDeadline(Outgoing.ConnectLimit));
  if (Descriptor < 0)
    return nullptr;
  auto Stream = std::make_unique<SocketStream>(Descriptor);
  Result.Tunnel =
      openTunnel(*Stream, *Outgoing.Through, GetDeadline(Outgoing.TunnelLimit));
  if (Result.Tunnel != TunnelAnswer::Opened)
    return nullptr;
  return Stream;
}

void ConnectionPool::giveBack(const Endpoint &Endpoint,
                              const std::string &ServerInstance,
                              std::unique_ptr<SocketStream> Stream,
                              Duration IdleLimit) {
  const TimePoint Now = readSteadyClock();
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Address &Entry = this->Addresses[Endpoint.format()];
  if (Entry.ServerInstance == ServerInstance)
    Entry.Idle.push_back({std::move(Stream), Now, Now + IdleLimit});
  else
    --Entry.Open;
}

void ConnectionPool::drop(const Endpoint &Endpoint,
                          std::unique_ptr<SocketStream> Stream) {
  Stream.reset();
  std::lock_guard<std::mutex> Lock(this->Mutex);
  --this->Addresses[Endpoint.format()].Open;
}

static httplib::Request buildRequest(const Endpoint &Address,
                                     const OutgoingRequest &Outgoing) {
  httplib::Request Request;
  Request.method = Outgoing.Method;
  Request.path = Outgoing.Target;
  Request.headers = Outgoing.Headers;
  if (!Request.has_header("Host"))
    Request.set_header("Host", Address.format());
  Request.body = Outgoing.Body;
  if (Outgoing.BodyProvider) {
    Request.content_provider_ = Outgoing.BodyProvider;
    Request.content_length_ = Outgoing.BodyLength;
    Request.is_chunked_content_provider_ = Outgoing.BodyIsChunked;
    if (Outgoing.BodyIsChunked)
      Request.set_header("Transfer-Encoding", "chunked");
  }
  return Request;
}

/// Makes Request deliver the head and body of its response to Sink, or to
/// Result if Sink is null.
static void setResponseCallbacks(httplib::Request &Request,
                                 const OutgoingRequest &Outgoing,
                                 const AnswerSink *Sink, SocketStream &Stream,
                                 ResponseState &State, ExchangeResult &Result) {
  Request.response_handler = [&State, &Stream, &Outgoing,
                              Sink](const httplib::Response &Response) {
    Stream.endHead();
    State.IsBodyless = isBodyless(Response.status);
    const bool MayEnd =
        Outgoing.MayEndWithConnection && Stream.showsServerEnd();
    State.IsUnframed = !State.IsBodyless && !isFramed(Response, MayEnd);
    if (State.IsUnframed)
      return false;
    State.HeadTaken = true;
    Stream.setStallLimit(Outgoing.StallLimit);
    if (Sink || Outgoing.BodyDeadline != TimePoint::max())
      Stream.setDeadline(Outgoing.BodyDeadline);
    if (Sink && !Sink->OnHead(Response)) {
      State.IsRefusedBySink = true;
      return false;
    }
    // A response such as 304 has no body, whatever its Content-Length.
    return !State.IsBodyless;
  };
  Request.content_receiver = [&State, &Outgoing, Sink,
                              &Result](const char *Data, size_t Size, uint64_t,
                                       uint64_t) {
    if (Sink) {
      State.IsRefusedBySink = !Sink->OnBody(Data, Size);
      return !State.IsRefusedBySink;
    }
    if (Result.Body.size() + Size > MaxCollectedBytes)
      return false;
    Result.Body.append(Data, Size);
    if (Outgoing.OnBodyPart)
      Outgoing.OnBodyPart();
    return true;
  };
}

static ExchangeEnd classifyFailure(const SocketStream &Stream,
                                   const ResponseState &State) {
  if (State.IsRefusedBySink ||
      Stream.getFailure() == StreamFailure::WatchedPeerGone)
    return ExchangeEnd::Canceled;
  if (Stream.getFailure() == StreamFailure::Timeout)
    return ExchangeEnd::Timeout;
  return ExchangeEnd::Broken;
}

/// Returns whether the response is delimited by its status or headers rather
/// than by the end of the connection.
static bool isSelfDelimited(const httplib::Response &Response) {
  return isBodyless(Response.status) || Response.has_header("Content-Length") ||
         Response.has_header("Transfer-Encoding");
}

static bool allowsReuse(const httplib::Response &Response) {
  return !equalsIgnoringCase(Response.get_header_value("Connection"),
                             "close") &&
         Response.version == "HTTP/1.1";
}

/// Returns how long a connection may stay idle after Response. This is shorter
/// than the timeout that the server announces, so that no request is sent while
/// the server closes the connection.
static Duration parseIdleLimit(const httplib::Response &Response) {
  static const std::string Parameter = "timeout=";
  const std::string Text = Response.get_header_value("Keep-Alive");
  const size_t At = Text.find(Parameter);
  if (At == std::string::npos)
    return MaxIdleTime;
  int Seconds = 0;
  const char *First = Text.data() + At + Parameter.size();
  const auto [Last, Failure] =
      std::from_chars(First, Text.data() + Text.size(), Seconds);
  if (Failure != std::errc() || Seconds < 0)
    return MaxIdleTime;
  return std::min(MaxIdleTime, fromSeconds(Seconds * IdleTimeoutFraction));
}

ExchangeResult ConnectionPool::exchange(const Endpoint &Endpoint,
                                        const OutgoingRequest &Outgoing,
                                        TimePoint Deadline, int HangUp,
                                        const AnswerSink *Sink) {
  ExchangeResult Result;
  std::unique_ptr<SocketStream> Stream =
      this->acquire(Endpoint, Outgoing, Deadline, Result);
  if (!Stream)
    return Result;
  if (Outgoing.BeforeSend && !Outgoing.BeforeSend()) {
    Result.End = ExchangeEnd::NotSent;
    this->drop(Endpoint, std::move(Stream));
    return Result;
  }
  Stream->beginHead(MaxResponseHeadBytes);
  Stream->setDeadline(Deadline);
  Stream->setDeadlineExtension(Outgoing.ExtendDeadline);
  Stream->watchHangUp(HangUp);
  httplib::Request Request = buildRequest(Endpoint, Outgoing);
  httplib::Response Response;
  ResponseState State;
  setResponseCallbacks(Request, Outgoing, Sink, *Stream, State, Result);
  httplib::Error Error = httplib::Error::Success;
  MessageExchanger Exchanger(Endpoint);
  const bool IsDone = Exchanger.run(*Stream, Request, Response, Error);
  Stream->watchHangUp(-1);
  Stream->setStallLimit(Duration::zero());
  Stream->setDeadlineExtension(nullptr);
  Result.BytesSent = Stream->countBytesWritten();
  Result.BytesReceived = Stream->countBytesRead();
  Result.WasTunnelLost = Stream->getFailure() == StreamFailure::TunnelLost;
  Result.HasUnmarkedEnd = State.IsUnframed && !Stream->showsServerEnd();
  // cpp-httplib does not call the response handler if the method or status
  // implies that there is no body.
  const bool IsHeadOnly = IsDone && !State.HeadTaken;
  if (IsHeadOnly && Sink)
    State.IsRefusedBySink = !Sink->OnHead(Response);
  const bool IsWhole = (IsDone || (State.IsBodyless && State.HeadTaken)) &&
                       !State.IsRefusedBySink;
  Result.Status = Response.status;
  Result.HeadTaken = State.HeadTaken || IsHeadOnly;
  if (!Sink)
    Result.Headers = Response.headers;
  Result.End =
      IsWhole ? ExchangeEnd::Complete : classifyFailure(*Stream, State);
  // A request that may run once must not find a late repeat of a rejection.
  const bool MayKeep =
      Outgoing.MaxIdle == Duration::max() || Response.status < 400;
  const bool IsReusable = IsWhole && MayKeep && allowsReuse(Response) &&
                          !Outgoing.WantsFreshConnection && !Outgoing.Through &&
                          isSelfDelimited(Response) &&
                          !Stream->hasUnexpectedInput();
  if (IsReusable)
    this->giveBack(Endpoint, Outgoing.ServerInstance, std::move(Stream),
                   std::min(parseIdleLimit(Response), Outgoing.MaxIdle));
  else
    this->drop(Endpoint, std::move(Stream));
  return Result;
}

} // namespace canvaswick
