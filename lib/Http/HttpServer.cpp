//===- HttpServer.cpp - HTTP server with bounded resources ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The thread of IdleParker accepts connections and waits for input on idle
/// ones. It passes readable connections to the worker pool. A worker serves
/// requests until the connection is idle again, then parks it. The accept loop
/// of cpp-httplib is not used because it takes one thread for each server.
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Support/Text.h"

#include <fmt/format.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cctype>
#include <limits>

namespace canvaswick {

namespace {

/// State shared by the callbacks of one request. It is thread-local because
/// cpp-httplib passes no context to its handlers.
struct ServingContext {
  SocketStream *Stream = nullptr;
  httplib::Request *Request = nullptr;
  bool Handled = false;
  bool MustClose = false;
};

} // namespace

static thread_local ServingContext *CurrentContext = nullptr;

static constexpr const char *AnyPath = "/";

/// Maximum number of connections in the listen queue.
static constexpr int ListenBacklog = 1024;

/// Retry-After of requests that were refused because the server is busy.
static constexpr int BusyRetrySeconds = 1;

static void setServerSocketOptions(socket_t Socket) {
  const int On = 1;
  ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
}

/// Opens a socket that listens at an IPv4 address. cpp-httplib would listen
/// with a queue of five connections first, and a hall that connects at once is
/// more. Returns the descriptor, or -1 on failure.
static int listenTcp(const Endpoint &Address, int Backlog) {
  sockaddr_in Name{};
  Name.sin_family = AF_INET;
  Name.sin_port = htons(Address.Port);
  if (::inet_pton(AF_INET, Address.Host.c_str(), &Name.sin_addr) != 1)
    return -1;
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return -1;
  setServerSocketOptions(Descriptor);
  if (::bind(Descriptor, reinterpret_cast<const sockaddr *>(&Name),
             sizeof(Name)) == 0 &&
      ::listen(Descriptor, Backlog) == 0)
    return Descriptor;
  ::close(Descriptor);
  return -1;
}

/// Returns the port to which a socket is bound.
static uint16_t readPort(int Descriptor) {
  sockaddr_in Name{};
  socklen_t Length = sizeof(Name);
  ::getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Name), &Length);
  return ntohs(Name.sin_port);
}

HttpServer::HttpServer(HttpServerLimits Limits, ExchangeHandler Handler)
    : Limits(Limits), Handler(std::move(Handler)),
      MaxHeadBytes(Limits.MaxHeadBytes), HeadMicros(Limits.HeadTime.count()),
      Pool(Limits.Workers) {
  this->set_socket_options(setServerSocketOptions);
  this->set_payload_max_length(std::numeric_limits<size_t>::max());
  const auto Plain = [this](const httplib::Request &Request,
                            httplib::Response &Response) {
    this->handle(Request, Response, nullptr);
  };
  const auto WithBody = [this](const httplib::Request &Request,
                               httplib::Response &Response,
                               const httplib::ContentReader &Body) {
    this->handle(Request, Response, &Body);
  };
  this->Get(AnyPath, Plain);
  this->Options(AnyPath, Plain);
  this->Delete(AnyPath, Plain);
  this->Post(AnyPath, WithBody);
  this->Put(AnyPath, WithBody);
  this->Patch(AnyPath, WithBody);
  this->Delete(AnyPath, WithBody);
  const auto Ready = [this](std::unique_ptr<SocketStream> Stream) {
    this->serveReady(std::move(Stream));
  };
  const auto Expired = [this](std::unique_ptr<SocketStream> Stream) {
    this->release(std::move(Stream));
  };
  this->Parker = std::make_unique<IdleParker>(Limits.IdleLimit, Ready, Expired);
}

HttpServer::~HttpServer() { this->stopGracefully(readSteadyClock()); }

Result<void> HttpServer::start(const Endpoint &Address) {
  BOOST_OUTCOME_TRY(this->bind(Address));
  this->beginAccepting();
  return outcome::success();
}

Result<void> HttpServer::bind(const Endpoint &Address) {
  const int Listening = listenTcp(Address, ListenBacklog);
  if (Listening >= 0) {
    this->svr_sock_ = Listening;
    this->Port = readPort(Listening);
    return outcome::success();
  }
  // The host is a name, or the address is taken.
  if (Address.Port == 0) {
    const int Chosen = this->bind_to_any_port(Address.Host);
    if (Chosen <= 0)
      return makeError(ErrorKind::Io, "cannot bind to " + Address.format());
    this->Port = static_cast<uint16_t>(Chosen);
  } else {
    if (!this->bind_to_port(Address.Host, Address.Port))
      return makeError(ErrorKind::Io, "cannot bind to " + Address.format());
    this->Port = Address.Port;
  }
  // cpp-httplib listens with a backlog of five. Connections beyond that in a
  // burst would be dropped, and callers would retry them a second later.
  ::listen(this->svr_sock_, ListenBacklog);
  return outcome::success();
}

void HttpServer::beginAccepting() {
  if (this->IsAccepting.exchange(true))
    return;
  this->Parker->listen(this->svr_sock_, [this](int Descriptor) {
    this->takeConnection(Descriptor);
  });
}

uint16_t HttpServer::getPort() const { return this->Port; }

const HttpServerCounters &HttpServer::getCounters() const {
  return this->Counters;
}

size_t HttpServer::countInFlight() const { return this->InFlight; }

size_t HttpServer::countConnections() const { return this->Connections; }

void HttpServer::setCallerBounds(size_t HeadLimit, Duration HeadTime,
                                 Duration IdleLimit) {
  this->MaxHeadBytes = HeadLimit;
  this->HeadMicros = HeadTime.count();
  this->Parker->setIdleLimit(IdleLimit);
}

void HttpServer::beginClosing() { this->Stopping = true; }

bool HttpServer::stopGracefully(TimePoint Deadline) {
  this->Stopping = true;
  bool AllEnded = true;
  while (this->InFlight > 0 && AllEnded) {
    AllEnded = readSteadyClock() < Deadline;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  this->Parker->stop();
  const int Listening = this->svr_sock_.exchange(INVALID_SOCKET);
  if (Listening != INVALID_SOCKET)
    ::close(Listening);
  if (AllEnded)
    this->Pool.stop();
  return AllEnded;
}

/// Handles a newly accepted connection. Runs on the thread of IdleParker.
void HttpServer::takeConnection(int Descriptor) {
  auto Stream = std::make_unique<SocketStream>(Descriptor);
  if (++this->Connections > this->Limits.MaxConnections) {
    ++this->Counters.RefusedConnections;
    this->refuse(*Stream, "connections");
    this->release(std::move(Stream));
    return;
  }
  this->Parker->park(std::move(Stream));
}

void HttpServer::release(std::unique_ptr<SocketStream> Stream) {
  Stream.reset();
  --this->Connections;
}

/// Writes a complete 503 response without reading the request.
void HttpServer::refuse(SocketStream &Stream, const char *Reason) {
  const std::string Answer = fmt::format("HTTP/1.1 503 Service Unavailable\r\n"
                                         "Content-Length: 0\r\n"
                                         "Connection: close\r\n"
                                         "Retry-After: {}\r\n"
                                         "Canvaswick-Outcome: not-run\r\n"
                                         "Canvaswick-Reason: {}\r\n\r\n",
                                         BusyRetrySeconds, Reason);
  Stream.setDeadline(readSteadyClock() + fromMillis(50));
  static_cast<httplib::Stream &>(Stream).write(Answer);
  Stream.beginLinger();
}

void HttpServer::serveReady(std::unique_ptr<SocketStream> Stream) {
  if (Stream->isLingering()) {
    if (Stream->discardInput())
      this->release(std::move(Stream));
    else
      this->Parker->park(std::move(Stream));
    return;
  }
  // std::function requires a copyable job; the pool runs it once.
  SocketStream *Raw = Stream.release();
  ++this->InFlight;
  const auto Job = [this, Raw] {
    this->serveRequests(std::unique_ptr<SocketStream>(Raw));
    --this->InFlight;
  };
  if (this->Pool.trySubmit(Job))
    return;
  Stream.reset(Raw);
  ++this->Counters.RefusedBusy;
  this->refuse(*Stream, "busy");
  --this->InFlight;
  this->Parker->park(std::move(Stream));
}

void HttpServer::serveRequests(std::unique_ptr<SocketStream> Stream) {
  while (this->serveOne(*Stream)) {
    if (Stream->hasBufferedBytes())
      continue;
    this->Parker->park(std::move(Stream));
    return;
  }
  const bool NeedsLinger = Stream->getFailure() == StreamFailure::None;
  if (!NeedsLinger) {
    this->release(std::move(Stream));
    return;
  }
  Stream->beginLinger();
  if (Stream->discardInput())
    this->release(std::move(Stream));
  else
    this->Parker->park(std::move(Stream));
}

/// Serves one request. Returns whether the connection may be kept open.
bool HttpServer::serveOne(SocketStream &Stream) {
  ServingContext Context;
  Context.Stream = &Stream;
  CurrentContext = &Context;
  Stream.muteWrites(false);
  Stream.beginHead(this->MaxHeadBytes);
  Stream.setDeadline(readSteadyClock() + Duration(this->HeadMicros));
  Stream.watchHangUp(-1);
  const auto Setup = [&Context](httplib::Request &Request) {
    Context.Request = &Request;
    Context.Stream->endHead();
    // All paths are routed to one handler; Request.target keeps the original.
    Request.path = AnyPath;
    Request.ranges.clear();
  };
  bool Closed = false;
  // The handler decides whether the response announces a close.
  const bool IsDone = this->process_request(Stream, false, Closed, Setup);
  CurrentContext = nullptr;
  Stream.watchHangUp(-1);
  Stream.setStallLimit(Duration::zero());
  this->Counters.BytesRead += Stream.countBytesRead();
  this->Counters.BytesWritten += Stream.countBytesWritten();
  if (Stream.isHeadTooLong() && !Context.Handled) {
    Stream.muteWrites(false);
    static_cast<httplib::Stream &>(Stream).write(
        "HTTP/1.1 431 Request Header Fields Too Large\r\n"
        "Content-Length: 0\r\nConnection: close\r\n"
        "Canvaswick-Outcome: not-run\r\n\r\n");
    Stream.beginLinger();
  }
  if (!Context.Handled && Stream.hasReadHeadBytes())
    ++this->Counters.Malformed;
  return IsDone && !Closed && Context.Handled && !Context.MustClose;
}

void HttpServer::handle(const httplib::Request &Request,
                        httplib::Response &Response,
                        const httplib::ContentReader *Body) {
  ServingContext &Context = *CurrentContext;
  assert(Context.Request && "a handler ran before the setup hook");
  Context.Handled = true;
  ++this->Counters.Requests;
  HttpExchange Exchange{Request, Response, Body, *Context.Stream,
                        this->Stopping};
  const char *Fault = Context.Stream->isHeadMalformed()
                          ? "line-ending"
                          : findRequestFault(Request);
  if (Fault) {
    ++this->Counters.Malformed;
    Response.status = 400;
    Response.set_header("Canvaswick-Outcome", "not-run");
    Response.set_header("Canvaswick-Reason", Fault);
    Exchange.MustClose = true;
  } else {
    this->Handler(Exchange);
  }
  // A handler that wrote the response itself has already decided. A close that
  // its response did not announce is allowed only if that response is cut short
  // anyway.
  if (!Context.Stream->areWritesMuted())
    Exchange.decideClose();
  // cpp-httplib derives the Connection header of the response from that of the
  // request.
  if (Exchange.MustClose) {
    Context.MustClose = true;
    Context.Request->headers.erase("Connection");
    Context.Request->headers.emplace("Connection", "close");
  }
}

static bool isTokenByte(char Byte) {
  static const std::string Others = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(Byte)) ||
         Others.find(Byte) != std::string::npos;
}

static bool isToken(const std::string &Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenByte);
}

static bool isDigits(const std::string &Text) {
  return !Text.empty() && Text.size() <= 18 &&
         std::all_of(Text.begin(), Text.end(), [](char Byte) {
           return std::isdigit(static_cast<unsigned char>(Byte));
         });
}

static bool hasControlByte(const std::string &Text) {
  return std::any_of(Text.begin(), Text.end(), [](char Byte) {
    const auto Value = static_cast<unsigned char>(Byte);
    return (Value < 0x20 && Value != '\t') || Value == 0x7f;
  });
}

static bool mayHaveBody(const std::string &Method) {
  return Method == "POST" || Method == "PUT" || Method == "PATCH" ||
         Method == "DELETE";
}

const char *findRequestFault(const httplib::Request &Request) {
  for (const auto &[Name, Value] : Request.headers) {
    if (!isToken(Name))
      return "header-name";
    if (hasControlByte(Value))
      return "header-value";
  }
  if (Request.version != "HTTP/1.1")
    return "version";
  if (Request.get_header_value_count("Host") != 1)
    return "host";
  if (Request.target.empty() || Request.target[0] != '/' ||
      hasControlByte(Request.target))
    return "target";
  const size_t Lengths = Request.get_header_value_count("Content-Length");
  const size_t Encodings = Request.get_header_value_count("Transfer-Encoding");
  if (Lengths > 1 || Encodings > 1 || (Lengths == 1 && Encodings == 1))
    return "conflicting-length";
  if (Lengths == 1 && !isDigits(Request.get_header_value("Content-Length")))
    return "content-length";
  if (Encodings == 1 &&
      !equalsIgnoringCase(Request.get_header_value("Transfer-Encoding"),
                          "chunked"))
    return "transfer-encoding";
  const bool HasBody =
      Encodings == 1 ||
      (Lengths == 1 && Request.get_header_value("Content-Length") != "0");
  if (HasBody && !mayHaveBody(Request.method))
    return "unexpected-body";
  if (Encodings == 1 && Request.method == "DELETE")
    return "unexpected-body";
  return nullptr;
}

} // namespace canvaswick
