//===- HttpClient.cpp - One HTTP exchange with a backend server or a peer -===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A connection goes back to the pool only after a complete, well-framed answer
/// that left nothing unread; every other one is closed, so that a late answer
/// can never meet another request.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HttpClient.h"
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

static constexpr size_t MaxAnswerHeadBytes = 65536;

/// Part of the time that a server keeps a connection at rest in which it is
/// used again.
static constexpr double UsedRestPart = 0.8;

/// No connection is kept at rest for longer, whatever a server says.
static constexpr Duration MostRest = fromSeconds(3600);

/// Longest answer that is collected when nobody streams it.
static constexpr size_t MaxCollectedBytes = 4 << 20;

namespace {

/// Opens cpp-httplib's reading and writing of one message over our stream.
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

/// What the hooks of one exchange found out.
struct AnswerState {
  bool HeadTaken = false;
  bool IsBodyless = false;
  bool IsRefusedBySink = false;
  bool IsUnframed = false;
};

} // namespace

static bool isBodyless(int Status) { return Status == 204 || Status == 304; }

/// Returns whether the end of the answer can be told from its headers.
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

/// Returns an idle connection that its server still keeps and nothing odd has
/// arrived on, or null. The caller holds the mutex.
std::unique_ptr<SocketStream> ConnectionPool::takeIdle(Address &Entry,
                                                       TimePoint Now) {
  while (!Entry.Idle.empty()) {
    const bool IsKept = Now < Entry.Idle.back().Until;
    std::unique_ptr<SocketStream> Stream = std::move(Entry.Idle.back().Stream);
    Entry.Idle.pop_back();
    if (IsKept && !Stream->hasUnexpectedInput())
      return Stream;
    --Entry.Open;
  }
  return nullptr;
}

/// Closes the idle connections to an earlier life of the server. The caller
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
                        ExchangeEnd &End) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Address &Entry = this->Addresses[Endpoint.format()];
    this->setServerInstance(Entry, Outgoing.ServerInstance);
    std::unique_ptr<SocketStream> Stream;
    if (!Outgoing.WantsFreshConnection)
      Stream = this->takeIdle(Entry, readSteadyClock());
    if (Stream)
      return Stream;
    const size_t Bound = Entry.Bound ? Entry.Bound : this->PerAddress;
    if (Bound && Entry.Open >= Bound) {
      End = ExchangeEnd::NoConnection;
      return nullptr;
    }
    ++Entry.Open;
  }
  const TimePoint ConnectBy =
      std::min(Deadline, readSteadyClock() + Outgoing.ConnectLimit);
  const int Descriptor = connectTcp(Endpoint.Host, Endpoint.Port, ConnectBy);
  if (Descriptor >= 0)
    return std::make_unique<SocketStream>(Descriptor);
  End = ExchangeEnd::NotSent;
  this->drop(Endpoint, nullptr);
  return nullptr;
}

void ConnectionPool::giveBack(const Endpoint &Endpoint,
                              const std::string &ServerInstance,
                              std::unique_ptr<SocketStream> Stream,
                              Duration RestLimit) {
  const TimePoint Now = readSteadyClock();
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Address &Entry = this->Addresses[Endpoint.format()];
  if (Entry.ServerInstance == ServerInstance)
    Entry.Idle.push_back({std::move(Stream), Now, Now + RestLimit});
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

/// Hooks the head and body of the answer of Request up to Sink, or to Result.
static void hookAnswer(httplib::Request &Request,
                       const OutgoingRequest &Outgoing, const AnswerSink *Sink,
                       SocketStream &Stream, AnswerState &State,
                       ExchangeResult &Result) {
  Request.response_handler = [&State, &Stream, &Outgoing,
                              Sink](const httplib::Response &Response) {
    Stream.endHead();
    State.IsBodyless = isBodyless(Response.status);
    State.IsUnframed =
        !State.IsBodyless && !isFramed(Response, Outgoing.MayEndWithConnection);
    if (State.IsUnframed)
      return false;
    State.HeadTaken = true;
    Stream.setStallLimit(Outgoing.StallLimit);
    if (Sink)
      Stream.setDeadline(Outgoing.BodyDeadline);
    if (Sink && !Sink->OnHead(Response)) {
      State.IsRefusedBySink = true;
      return false;
    }
    // An answer such as 304 has no body whatever its length header says.
    return !State.IsBodyless;
  };
  Request.content_receiver = [&State, Sink, &Result](const char *Data,
                                                     size_t Size, uint64_t,
                                                     uint64_t) {
    if (Sink) {
      State.IsRefusedBySink = !Sink->OnBody(Data, Size);
      return !State.IsRefusedBySink;
    }
    if (Result.Body.size() + Size > MaxCollectedBytes)
      return false;
    Result.Body.append(Data, Size);
    return true;
  };
}

static ExchangeEnd classifyFailure(const SocketStream &Stream,
                                   const AnswerState &State) {
  if (State.IsRefusedBySink ||
      Stream.getFailure() == StreamFailure::WatchedPeerGone)
    return ExchangeEnd::Canceled;
  if (Stream.getFailure() == StreamFailure::Timeout)
    return ExchangeEnd::Timeout;
  return ExchangeEnd::Broken;
}

/// Returns whether an answer ends before its connection does.
static bool hasOwnEnd(const httplib::Response &Response) {
  return isBodyless(Response.status) || Response.has_header("Content-Length") ||
         Response.has_header("Transfer-Encoding");
}

static bool allowsReuse(const httplib::Response &Response) {
  return !equalsIgnoringCase(Response.get_header_value("Connection"),
                             "close") &&
         Response.version == "HTTP/1.1";
}

/// Returns for how long a connection may be kept at rest after an answer: less
/// than its server keeps it, so that no request meets the close on its way.
static Duration readRestLimit(const httplib::Response &Response) {
  static const std::string Parameter = "timeout=";
  const std::string Text = Response.get_header_value("Keep-Alive");
  const size_t At = Text.find(Parameter);
  if (At == std::string::npos)
    return MostRest;
  int Seconds = 0;
  const char *First = Text.data() + At + Parameter.size();
  const auto [Last, Failure] =
      std::from_chars(First, Text.data() + Text.size(), Seconds);
  if (Failure != std::errc() || Seconds < 0)
    return MostRest;
  return std::min(MostRest, fromSeconds(Seconds * UsedRestPart));
}

ExchangeResult ConnectionPool::exchange(const Endpoint &Endpoint,
                                        const OutgoingRequest &Outgoing,
                                        TimePoint Deadline, int HangUp,
                                        const AnswerSink *Sink) {
  ExchangeResult Result;
  std::unique_ptr<SocketStream> Stream =
      this->acquire(Endpoint, Outgoing, Deadline, Result.End);
  if (!Stream)
    return Result;
  Stream->beginHead(MaxAnswerHeadBytes);
  Stream->setDeadline(Deadline);
  Stream->setDeadlineExtension(Outgoing.ExtendDeadline);
  Stream->watchHangUp(HangUp);
  httplib::Request Request = buildRequest(Endpoint, Outgoing);
  httplib::Response Response;
  AnswerState State;
  hookAnswer(Request, Outgoing, Sink, *Stream, State, Result);
  httplib::Error Error = httplib::Error::Success;
  MessageExchanger Exchanger(Endpoint);
  const bool IsDone = Exchanger.run(*Stream, Request, Response, Error);
  Stream->watchHangUp(-1);
  Stream->setStallLimit(Duration::zero());
  Stream->setDeadlineExtension(nullptr);
  Result.BytesSent = Stream->countBytesWritten();
  Result.BytesReceived = Stream->countBytesRead();
  // An answer without a body by its method or status never calls the hook.
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
  const bool IsReusable = IsWhole && allowsReuse(Response) &&
                          !Outgoing.WantsFreshConnection &&
                          hasOwnEnd(Response) && !Stream->hasUnexpectedInput();
  if (IsReusable)
    this->giveBack(Endpoint, Outgoing.ServerInstance, std::move(Stream),
                   readRestLimit(Response));
  else
    this->drop(Endpoint, std::move(Stream));
  return Result;
}

} // namespace canvaswick
