//===- TcpConnect.cpp - Outgoing TCP connections --------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Connects without blocking, so that time limits hold.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/TcpConnect.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace canvaswick {

/// TCP options for dead peers: the last one decides while data is
/// unacknowledged, the others while the connection is idle.
static constexpr int KeepAliveIdleSeconds = 1;
static constexpr int KeepAliveIntervalSeconds = 1;
static constexpr int KeepAliveProbes = 2;
static constexpr unsigned UnacknowledgedMillis = 3000;

void setDeadPeerDetection(int Descriptor) {
  const auto Set = [Descriptor](int Level, int Option, auto Value) {
    ::setsockopt(Descriptor, Level, Option, &Value, sizeof(Value));
  };
  Set(SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  Set(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  Set(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  Set(IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedMillis);
}

/// Waits until one of the connections in progress has ended, and looks at them
/// once if Deadline has passed. Returns the number of ended ones, or -1 if they
/// cannot be watched.
static int waitForConnects(pollfd *Polls, nfds_t PollCount,
                           TimePoint Deadline) {
  while (true) {
    const Duration Left =
        std::max(Duration::zero(), Deadline - readSteadyClock());
    const auto Millis = static_cast<int>(toMillis(Left));
    const int Count =
        ::poll(Polls, PollCount, Left > Duration::zero() ? Millis + 1 : 0);
    if (Count > 0 || (Count < 0 && errno != EINTR))
      return Count;
    if (Left == Duration::zero())
      return 0;
  }
}

/// Returns whether a connection attempt that has ended was successful.
static bool isConnected(int Descriptor) {
  int Code = 0;
  socklen_t Length = sizeof(Code);
  return ::getsockopt(Descriptor, SOL_SOCKET, SO_ERROR, &Code, &Length) == 0 &&
         Code == 0;
}

/// Waits for a connection in progress, and looks at it once if Deadline has
/// passed.
static ConnectionProbe finishConnect(int Descriptor, TimePoint Deadline) {
  pollfd Poll{Descriptor, POLLOUT, 0};
  const int Count = waitForConnects(&Poll, 1, Deadline);
  if (Count == 0)
    return ConnectionProbe::TimedOut;
  return Count > 0 && isConnected(Descriptor) ? ConnectionProbe::Connected
                                              : ConnectionProbe::Refused;
}

/// Begins to connect. Returns the descriptor, or -1 if the address is malformed
/// or the attempt failed at once. Sets IsConnected if the connection is there.
static int beginConnect(const std::string &Host, uint16_t Port,
                        bool &IsConnected) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  if (::inet_pton(AF_INET, Host.c_str(), &Address.sin_addr) != 1)
    return -1;
  const int Descriptor =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Descriptor < 0)
    return -1;
  setDeadPeerDetection(Descriptor);
  IsConnected =
      ::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) == 0;
  if (IsConnected || errno == EINPROGRESS)
    return Descriptor;
  ::close(Descriptor);
  return -1;
}

int connectTcp(const std::string &Host, uint16_t Port, TimePoint Deadline) {
  bool IsConnected = false;
  const int Descriptor = beginConnect(Host, Port, IsConnected);
  if (Descriptor < 0 || IsConnected ||
      finishConnect(Descriptor, Deadline) == ConnectionProbe::Connected)
    return Descriptor;
  ::close(Descriptor);
  return -1;
}

/// Waits for the first of two connections in progress, and closes the other
/// one. Returns -1 if there is none at the deadline, or the server refuses.
static int finishEither(int First, int Second, TimePoint Deadline) {
  pollfd Polls[2] = {{First, POLLOUT, 0}, {Second, POLLOUT, 0}};
  int Connected = -1;
  if (waitForConnects(Polls, 2, Deadline) > 0)
    for (const pollfd &Each : Polls)
      if (Connected < 0 && Each.revents && isConnected(Each.fd))
        Connected = Each.fd;
  for (const int Each : {First, Second})
    if (Each != Connected)
      ::close(Each);
  return Connected;
}

int connectTcpTwice(const std::string &Host, uint16_t Port, TimePoint SecondAt,
                    TimePoint Deadline) {
  bool IsDone = false;
  const int First = beginConnect(Host, Port, IsDone);
  if (First < 0 || IsDone)
    return First;
  const ConnectionProbe Early =
      finishConnect(First, std::min(SecondAt, Deadline));
  if (Early == ConnectionProbe::Connected)
    return First;
  const int Second = Early == ConnectionProbe::TimedOut
                         ? beginConnect(Host, Port, IsDone)
                         : -1;
  if (Second >= 0 && !IsDone)
    return finishEither(First, Second, Deadline);
  ::close(First);
  return Second;
}

std::vector<ConnectionProbe> probeConnections(const std::vector<Endpoint> &All,
                                              TimePoint Deadline) {
  std::vector<int> Descriptors;
  for (const Endpoint &Each : All) {
    bool IsConnected = false;
    Descriptors.push_back(beginConnect(Each.Host, Each.Port, IsConnected));
  }
  std::vector<ConnectionProbe> Results;
  for (const int Descriptor : Descriptors) {
    Results.push_back(Descriptor < 0 ? ConnectionProbe::Refused
                                     : finishConnect(Descriptor, Deadline));
    if (Descriptor >= 0)
      ::close(Descriptor);
  }
  return Results;
}

} // namespace canvaswick
