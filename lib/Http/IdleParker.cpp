//===- IdleParker.cpp - Waits for input on idle connections ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Connections are registered with EPOLLONESHOT and removed from epoll when
/// taken. The listening socket stays registered.
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/IdleParker.h"
#include "canvaswick/Support/Log.h"

#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <vector>

namespace canvaswick {

static constexpr int WaitMillis = 500;
static constexpr int MaxEvents = 64;

/// Maximum number of connections accepted before other events are handled.
static constexpr int MaxAcceptsPerEvent = 64;

/// Pause after accept failed for lack of descriptors or memory. New connections
/// stay in the listen queue of the kernel meanwhile, as with cpp-httplib.
static constexpr std::chrono::milliseconds AcceptPause(1);

IdleParker::IdleParker(Duration IdleLimit, StreamHandler Ready,
                       StreamHandler Expired)
    : IdleMicros(IdleLimit.count()), Ready(std::move(Ready)),
      Expired(std::move(Expired)), Epoll(::epoll_create1(EPOLL_CLOEXEC)),
      Wake(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.fd = this->Wake;
  ::epoll_ctl(this->Epoll, EPOLL_CTL_ADD, this->Wake, &Event);
  this->Thread = std::thread([this] { this->runThread(); });
}

IdleParker::~IdleParker() {
  this->stop();
  ::close(this->Epoll);
  ::close(this->Wake);
}

void IdleParker::park(std::unique_ptr<SocketStream> Stream) {
  const int Descriptor = Stream->socket();
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Connections[Descriptor] = {std::move(Stream), readSteadyClock()};
  }
  epoll_event Event{};
  Event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
  Event.data.fd = Descriptor;
  ::epoll_ctl(this->Epoll, EPOLL_CTL_ADD, Descriptor, &Event);
}

void IdleParker::listen(int Socket, AcceptHandler Handler) {
  const int Flags = ::fcntl(Socket, F_GETFL);
  ::fcntl(Socket, F_SETFL, Flags | O_NONBLOCK);
  this->Accepted = std::move(Handler);
  this->Listening = Socket;
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.fd = Socket;
  ::epoll_ctl(this->Epoll, EPOLL_CTL_ADD, Socket, &Event);
}

/// Accepts a bounded number of pending connections.
void IdleParker::acceptPending() {
  for (int I = 0; I < MaxAcceptsPerEvent; ++I) {
    const int Descriptor =
        ::accept4(this->Listening, nullptr, nullptr, SOCK_CLOEXEC);
    if (Descriptor >= 0) {
      this->Accepted(Descriptor);
      continue;
    }
    if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
        errno == ENOMEM) {
      logWarning("connection-not-accepted", "errno={}", errno);
      std::this_thread::sleep_for(AcceptPause);
    }
    return;
  }
}

std::unique_ptr<SocketStream> IdleParker::take(int Descriptor) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Connections.find(Descriptor);
  if (Found == this->Connections.end())
    return nullptr;
  std::unique_ptr<SocketStream> Stream = std::move(Found->second.Stream);
  this->Connections.erase(Found);
  ::epoll_ctl(this->Epoll, EPOLL_CTL_DEL, Descriptor, nullptr);
  return Stream;
}

void IdleParker::closeExpired(TimePoint Now) {
  const Duration IdleLimit(this->IdleMicros);
  std::vector<int> Expired;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    for (const auto &[Descriptor, Connection] : this->Connections) {
      const TimePoint Until = Connection.Stream->isLingering()
                                  ? Connection.Stream->getLingerEnd()
                                  : Connection.Since + IdleLimit;
      if (Now > Until)
        Expired.push_back(Descriptor);
    }
  }
  for (const int Descriptor : Expired)
    if (std::unique_ptr<SocketStream> Stream = this->take(Descriptor))
      this->Expired(std::move(Stream));
}

void IdleParker::runThread() {
  TimePoint NextSweep = readSteadyClock();
  while (!this->Stopping) {
    epoll_event Events[MaxEvents];
    const int Count = ::epoll_wait(this->Epoll, Events, MaxEvents, WaitMillis);
    for (int I = 0; I < Count; ++I)
      if (Events[I].data.fd == this->Listening)
        this->acceptPending();
      else if (std::unique_ptr<SocketStream> Stream =
                   this->take(Events[I].data.fd))
        this->Ready(std::move(Stream));
    const TimePoint Now = readSteadyClock();
    if (Now < NextSweep)
      continue;
    this->closeExpired(Now);
    NextSweep = Now + fromSeconds(1);
  }
}

void IdleParker::stop() {
  if (this->Stopping.exchange(true))
    return;
  const uint64_t One = 1;
  [[maybe_unused]] const ssize_t Ignored =
      ::write(this->Wake, &One, sizeof(One));
  this->Thread.join();
  std::vector<std::unique_ptr<SocketStream>> Remaining;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    for (auto &[Descriptor, Connection] : this->Connections)
      Remaining.push_back(std::move(Connection.Stream));
    this->Connections.clear();
  }
  for (std::unique_ptr<SocketStream> &Stream : Remaining)
    this->Expired(std::move(Stream));
}

size_t IdleParker::countParked() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Connections.size();
}

} // namespace canvaswick
