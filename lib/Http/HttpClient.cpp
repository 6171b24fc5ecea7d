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
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HttpClient.h"
#include "RequestExchange.h"
#include "canvaswick/Http/TcpConnect.h"
#include "canvaswick/Support/EnumNames.h"
#include "canvaswick/Support/Text.h"

#include <algorithm>
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

bool isRejection(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

static constexpr int FirstFailureStatus = 400;

/// Fraction of the idle timeout announced by a server during which a connection
/// is reused.
static constexpr double IdleTimeoutFraction = 0.8;

/// Upper limit for the idle time of a connection, whatever the server
/// announces.
static constexpr Duration MaxIdleTime = fromSeconds(3600);

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
  const bool TakesAny = MaxIdle == Duration::max();
  // The last one has been idle for the shortest time.
  while (!Entry.Idle.empty() && Now - Entry.Idle.back().Since <= MaxIdle &&
         (TakesAny || Entry.Idle.back().IsAfterSuccess)) {
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
                              IdleConnection Left) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Address &Entry = this->Addresses[Endpoint.format()];
  if (Entry.ServerInstance == ServerInstance)
    Entry.Idle.push_back(std::move(Left));
  else
    --Entry.Open;
}

void ConnectionPool::drop(const Endpoint &Endpoint,
                          std::unique_ptr<SocketStream> Stream) {
  Stream.reset();
  std::lock_guard<std::mutex> Lock(this->Mutex);
  --this->Addresses[Endpoint.format()].Open;
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
  Stream->beginMessage();
  Stream->setDeadline(Deadline);
  Stream->setDeadlineExtension(Outgoing.ExtendDeadline);
  Stream->setStallExtension(Outgoing.ExtendStall);
  Stream->watchHangUp(HangUp);
  RequestExchange Exchange(*Stream, Endpoint, Outgoing, Sink);
  Exchange.run(Result);
  Stream->watchHangUp(-1);
  Stream->setStallLimit(Duration::zero());
  Stream->setDeadlineExtension(nullptr);
  Stream->setStallExtension(nullptr);
  Result.WasTunnelLost = Stream->getFailure() == StreamFailure::TunnelLost;
  const httplib::Response &Response = Exchange.getResponse();
  // A late repeat of a rejection must not be found by the next request, of
  // which it would say the same.
  const bool IsReusable = Exchange.allowsReuse() &&
                          !isRejection(Response.status) &&
                          !Outgoing.WantsFreshConnection && !Outgoing.Through &&
                          !Stream->hasUnexpectedInput();
  if (!IsReusable) {
    this->drop(Endpoint, std::move(Stream));
    return Result;
  }
  const TimePoint Now = readSteadyClock();
  const Duration IdleLimit =
      std::min(parseIdleLimit(Response), Outgoing.MaxIdle);
  this->giveBack(Endpoint, Outgoing.ServerInstance,
                 {std::move(Stream), Now, Now + IdleLimit,
                  Response.status < FirstFailureStatus});
  return Result;
}

} // namespace canvaswick
