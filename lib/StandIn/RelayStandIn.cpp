//===- RelayStandIn.cpp - TCP relay with faults per direction -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each connection has one thread per direction. A direction that is cut is not
/// read, so its bytes wait as they do behind a firewall that drops packets.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/StandIn/RelayStandIn.h"
#include "canvaswick/Http/TcpConnect.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace canvaswick {

static constexpr int PollMillis = 20;
static constexpr int Backlog = 64;

RelayStandIn::RelayStandIn(Endpoint Target) : Target(std::move(Target)) {}

RelayStandIn::~RelayStandIn() { this->stop(); }

static sockaddr_in makeSocketAddress(const Endpoint &Address) {
  sockaddr_in Name{};
  Name.sin_family = AF_INET;
  Name.sin_port = htons(Address.Port);
  ::inet_pton(AF_INET, Address.Host.c_str(), &Name.sin_addr);
  return Name;
}

/// Opens the listening socket. The caller holds ListenMutex.
Result<void> RelayStandIn::listen(int Length) {
  this->Listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Name = makeSocketAddress(this->Address);
  const int On = 1;
  ::setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  if (::bind(this->Listener, reinterpret_cast<const sockaddr *>(&Name),
             sizeof(Name)) != 0 ||
      ::listen(this->Listener, Length) != 0)
    return makeError(ErrorKind::Io, "cannot bind to " + this->Address.format());
  return outcome::success();
}

Result<void> RelayStandIn::start(const Endpoint &Given) {
  this->Address = Given;
  std::lock_guard<std::mutex> Lock(this->ListenMutex);
  BOOST_OUTCOME_TRY(this->listen(Backlog));
  sockaddr_in Name{};
  socklen_t Length = sizeof(Name);
  ::getsockname(this->Listener, reinterpret_cast<sockaddr *>(&Name), &Length);
  this->Port = ntohs(Name.sin_port);
  this->Address.Port = this->Port;
  this->Acceptor = std::thread([this] { this->acceptLoop(); });
  return outcome::success();
}

/// Connects to the own address until nothing answers any more, so that the
/// system drops what others send. The caller holds ListenMutex.
void RelayStandIn::fillQueue() {
  ::listen(this->Listener, 0);
  const sockaddr_in Name = makeSocketAddress(this->Address);
  bool HasAnswered = true;
  while (HasAnswered) {
    const int Filler =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    ::connect(Filler, reinterpret_cast<const sockaddr *>(&Name), sizeof(Name));
    this->Fillers.push_back(Filler);
    pollfd Poll{Filler, POLLOUT, 0};
    HasAnswered = ::poll(&Poll, 1, PollMillis) > 0;
  }
}

/// Drops the connections of fillQueue. The caller holds ListenMutex.
void RelayStandIn::clearQueue() {
  for (const int Filler : this->Fillers)
    ::close(Filler);
  this->Fillers.clear();
  ::listen(this->Listener, Backlog);
}

void RelayStandIn::setNewConnections(NewConnections Next) {
  std::lock_guard<std::mutex> Lock(this->ListenMutex);
  if (this->Mode == NewConnections::Hang)
    this->clearQueue();
  if (this->Mode == NewConnections::Refuse)
    (void)this->listen(Backlog);
  this->Mode = Next;
  if (Next == NewConnections::Hang)
    this->fillQueue();
  if (Next == NewConnections::Refuse) {
    ::close(this->Listener);
    this->Listener = -1;
  }
}

void RelayStandIn::resetOpenConnections() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  // Disconnecting a TCP socket resets its connection.
  sockaddr None{};
  None.sa_family = AF_UNSPEC;
  for (const Connection &Each : this->Connections)
    ::connect(Each.Client, &None, sizeof(None));
}

void RelayStandIn::acceptLoop() {
  while (!this->Stopping) {
    pollfd Poll{this->getListener(), POLLIN, 0};
    if (Poll.fd < 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(PollMillis));
    else if (::poll(&Poll, 1, PollMillis) > 0)
      this->acceptOne();
  }
}

/// Returns the descriptor at which to accept, or -1 if new connections are not
/// to be accepted.
int RelayStandIn::getListener() {
  std::lock_guard<std::mutex> Lock(this->ListenMutex);
  return this->Mode == NewConnections::Accept ? this->Listener : -1;
}

/// Accepts one connection if one waits, and forwards it.
void RelayStandIn::acceptOne() {
  int Client = -1;
  {
    std::lock_guard<std::mutex> Lock(this->ListenMutex);
    pollfd Poll{this->Listener, POLLIN, 0};
    if (this->Mode != NewConnections::Accept || ::poll(&Poll, 1, 0) <= 0)
      return;
    Client = ::accept(this->Listener, nullptr, nullptr);
  }
  if (Client < 0)
    return;
  const int Upstream = connectTcp(this->Target.Host, this->Target.Port,
                                  readSteadyClock() + fromSeconds(2));
  if (Upstream < 0) {
    ::close(Client);
    return;
  }
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Connection &Added = this->Connections.emplace_back();
  Added.Client = Client;
  Added.Upstream = Upstream;
  Added.Forward = std::thread([this, Client, Upstream, &Added] {
    this->forwardBytes(Client, Upstream, this->Faults.CutForward,
                       Added.IsSilent, false);
  });
  Added.Backward = std::thread([this, Client, Upstream, &Added] {
    this->forwardBytes(Upstream, Client, this->Faults.CutBackward,
                       Added.IsSilent, true);
  });
}

/// Waits until the link from the target has carried Bytes more.
void RelayStandIn::waitForBandwidth(size_t Bytes) {
  const int64_t PerSecond = this->Faults.BytesPerSecond;
  if (PerSecond <= 0)
    return;
  TimePoint Until;
  {
    std::lock_guard<std::mutex> Lock(this->BandwidthMutex);
    this->LinkFreeAt = std::max(this->LinkFreeAt, readSteadyClock()) +
                       fromSeconds(static_cast<double>(Bytes) /
                                   static_cast<double>(PerSecond));
    Until = this->LinkFreeAt;
  }
  while (!this->Stopping && readSteadyClock() < Until)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

/// Forwards bytes in one direction until From reaches its end or the relay
/// stops, then shuts down the sending side of To.
void RelayStandIn::forwardBytes(int From, int To, const std::atomic<bool> &Cut,
                                const std::atomic<bool> &IsSilent,
                                bool IsBackward) {
  // Small enough that a slow link still forwards several times a second.
  char Data[4096];
  while (!this->Stopping) {
    if (Cut || IsSilent) {
      std::this_thread::sleep_for(std::chrono::milliseconds(PollMillis));
      continue;
    }
    pollfd Poll{From, POLLIN, 0};
    if (::poll(&Poll, 1, PollMillis) <= 0 || Cut || IsSilent)
      continue;
    const ssize_t Count = ::recv(From, Data, sizeof(Data), MSG_DONTWAIT);
    if (Count == 0)
      break;
    if (Count < 0 && (errno == EAGAIN || errno == EINTR))
      continue;
    if (Count < 0)
      break;
    const int64_t DelayMs = this->Faults.DelayMs;
    if (DelayMs > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(DelayMs));
    if (IsBackward) {
      this->waitForBandwidth(static_cast<size_t>(Count));
      this->BytesBackward += static_cast<size_t>(Count);
    }
    ssize_t Sent = 0;
    while (Sent < Count && !this->Stopping) {
      const ssize_t Now =
          ::send(To, Data + Sent, static_cast<size_t>(Count - Sent),
                 MSG_NOSIGNAL | MSG_DONTWAIT);
      if (Now > 0)
        Sent += Now;
      else if (errno != EAGAIN && errno != EINTR)
        break;
      else
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  ::shutdown(To, SHUT_WR);
}

void RelayStandIn::silenceOpenConnections() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (Connection &Each : this->Connections)
    Each.IsSilent = true;
}

void RelayStandIn::stop() {
  if (this->Stopping.exchange(true))
    return;
  if (this->Acceptor.joinable())
    this->Acceptor.join();
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (Connection &Each : this->Connections) {
    Each.Forward.join();
    Each.Backward.join();
    ::close(Each.Client);
    ::close(Each.Upstream);
  }
  this->Connections.clear();
  std::lock_guard<std::mutex> ListenLock(this->ListenMutex);
  for (const int Filler : this->Fillers)
    ::close(Filler);
  if (this->Listener >= 0)
    ::close(this->Listener);
}

} // namespace canvaswick
