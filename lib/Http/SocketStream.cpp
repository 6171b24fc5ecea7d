//===- SocketStream.cpp - Socket with a deadline --------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Uses non-blocking sockets and poll. All reads and writes of HTTP connections
/// go through this file.
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/SocketStream.h"
#include "canvaswick/Http/TcpConnect.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <cstring>

namespace canvaswick {

SocketStream::SocketStream(int Descriptor) : Descriptor(Descriptor) {
  const int Flags = ::fcntl(Descriptor, F_GETFL);
  ::fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
  const int On = 1;
  ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

SocketStream::~SocketStream() { ::close(this->Descriptor); }

void SocketStream::setDeadline(TimePoint Deadline) {
  this->Deadline = Deadline;
}

void SocketStream::setDeadlineExtension(std::function<TimePoint()> Extend) {
  this->Extend = std::move(Extend);
}

/// Returns whether the deadline was extended.
bool SocketStream::extendDeadline() {
  if (!this->Extend)
    return false;
  const TimePoint Later = this->Extend();
  if (Later <= this->Deadline)
    return false;
  this->Deadline = Later;
  return true;
}

void SocketStream::setStallLimit(Duration Limit) { this->StallLimit = Limit; }

void SocketStream::setStallExtension(std::function<Duration(Duration)> Extend) {
  this->ExtendStall = std::move(Extend);
}

/// Returns until when to wait after a wait that began at Began has reached
/// Until, or Until if it is over.
TimePoint SocketStream::extendWait(TimePoint Began, TimePoint Until) {
  if (Until == this->Deadline)
    return this->extendDeadline() ? this->Deadline : Until;
  if (!this->ExtendStall)
    return Until;
  const TimePoint Now = readSteadyClock();
  const Duration More = this->ExtendStall(Now - Began);
  return More > Duration::zero() ? std::min(this->Deadline, Now + More) : Until;
}

void SocketStream::watchHangUp(int Descriptor) {
  this->WatchedDescriptor = Descriptor;
}

void SocketStream::beginMessage() {
  this->BytesWritten = 0;
  this->BytesRead = this->Buffer.size() - this->BufferAt;
  this->Failure = StreamFailure::None;
}

void SocketStream::muteWrites(bool Muted) { this->Muted = Muted; }

size_t SocketStream::countBytesWritten() const { return this->BytesWritten; }

size_t SocketStream::countBytesRead() const { return this->BytesRead; }

StreamFailure SocketStream::getFailure() const { return this->Failure; }

bool SocketStream::hasBufferedBytes() const {
  return this->BufferAt < this->Buffer.size();
}

bool SocketStream::hasUnexpectedInput() const {
  if (this->hasBufferedBytes())
    return true;
  pollfd Poll{this->Descriptor, POLLIN | POLLRDHUP, 0};
  return ::poll(&Poll, 1, 0) != 0;
}

bool SocketStream::isPeerGone() const {
  pollfd Poll{this->Descriptor, POLLRDHUP, 0};
  return ::poll(&Poll, 1, 0) != 0;
}

/// Maximum timeout of one poll. The timeout of poll does not count the time
/// during which the machine is suspended, but the deadline does. The clock is
/// therefore read again after this time, and a request whose deadline passed
/// during a suspension ends within it.
static constexpr int64_t MaxPollMillis = 500;

/// Waits until the socket is ready for Events. Returns false and records the
/// failure otherwise.
bool SocketStream::waitFor(short Events) {
  TimePoint Until = this->Deadline;
  TimePoint Began{};
  if (this->StallLimit > Duration::zero()) {
    Began = readSteadyClock();
    Until = std::min(Until, Began + this->StallLimit);
  }
  while (true) {
    const Duration Left = Until == TimePoint::max() ? fromSeconds(3600)
                                                    : Until - readSteadyClock();
    if (Left <= Duration::zero()) {
      const TimePoint Later = this->extendWait(Began, Until);
      if (Later > Until) {
        Until = Later;
        continue;
      }
      this->Failure = StreamFailure::Timeout;
      return false;
    }
    pollfd Polls[2] = {{this->Descriptor, Events, 0},
                       {this->WatchedDescriptor, POLLRDHUP, 0}};
    const int64_t Millis = std::min(toMillis(Left) + 1, MaxPollMillis);
    const int Count = ::poll(Polls, this->WatchedDescriptor >= 0 ? 2 : 1,
                             static_cast<int>(Millis));
    if (Count < 0 && errno != EINTR) {
      this->Failure = StreamFailure::Io;
      return false;
    }
    if (Count <= 0)
      continue;
    if (this->WatchedDescriptor >= 0 && Polls[1].revents != 0) {
      this->Failure = StreamFailure::WatchedPeerGone;
      return false;
    }
    if (Polls[0].revents != 0)
      return true;
  }
}

bool SocketStream::beginTunnel(bool HasFrames) {
  this->IsTunnel = true;
  if (!HasFrames)
    return true;
  this->Frames.emplace();
  const std::string Early = this->Buffer.substr(this->BufferAt);
  this->Buffer.clear();
  this->BufferAt = 0;
  return this->Frames->decode(Early, this->Buffer);
}

/// Takes what was received into the buffer: Count bytes, of which some may be
/// marks of a tunnel's frames. Returns false if they are malformed.
bool SocketStream::takeReceived(size_t Count) {
  this->Buffer.resize(Count);
  if (this->Frames) {
    std::string Payload;
    if (!this->Frames->decode(this->Buffer, Payload))
      return false;
    this->Buffer = std::move(Payload);
  }
  this->BytesRead += this->Buffer.size();
  return true;
}

/// Records why there is no more input, and returns what a read returns then.
ssize_t SocketStream::endInput(bool IsClosed) {
  this->Buffer.clear();
  this->Failure = IsClosed ? StreamFailure::Closed : StreamFailure::Io;
  if (this->Frames && this->Frames->getEnd() == TunnelServerEnd::None)
    this->Failure = StreamFailure::TunnelLost;
  return this->Failure == StreamFailure::Closed ? 0 : -1;
}

ssize_t SocketStream::fill() {
  this->Buffer.resize(BufferBytes);
  this->BufferAt = 0;
  while (true) {
    if (this->Frames && this->Frames->getEnd() != TunnelServerEnd::None)
      return this->endInput(this->Frames->getEnd() == TunnelServerEnd::Closed);
    const ssize_t Count =
        ::recv(this->Descriptor, this->Buffer.data(), BufferBytes, 0);
    if (Count > 0) {
      if (!this->takeReceived(static_cast<size_t>(Count)))
        return this->endInput(false);
      // The bytes may have been marks only.
      if (this->Buffer.empty()) {
        this->Buffer.resize(BufferBytes);
        continue;
      }
      return static_cast<ssize_t>(this->Buffer.size());
    }
    const bool IsRetry = Count < 0 && (errno == EAGAIN ||
                                       errno == EWOULDBLOCK || errno == EINTR);
    if (!IsRetry)
      return this->endInput(Count == 0);
    if (!this->waitFor(POLLIN)) {
      this->Buffer.clear();
      return -1;
    }
  }
}

ssize_t SocketStream::read(char *Data, size_t Size) {
  if (!this->hasBufferedBytes()) {
    const ssize_t Count = this->fill();
    if (Count <= 0)
      return Count;
  }
  const size_t Count = std::min(Size, this->Buffer.size() - this->BufferAt);
  std::memcpy(Data, this->Buffer.data() + this->BufferAt, Count);
  this->BufferAt += Count;
  return static_cast<ssize_t>(Count);
}

ssize_t SocketStream::write(const char *Data, size_t Size) {
  if (this->Muted)
    return static_cast<ssize_t>(Size);
  size_t Done = 0;
  while (Done < Size) {
    const ssize_t Count =
        ::send(this->Descriptor, Data + Done, Size - Done, MSG_NOSIGNAL);
    if (Count > 0) {
      Done += static_cast<size_t>(Count);
      this->BytesWritten += static_cast<size_t>(Count);
      continue;
    }
    const bool IsRetry = Count < 0 && (errno == EAGAIN ||
                                       errno == EWOULDBLOCK || errno == EINTR);
    if (!IsRetry) {
      this->Failure =
          this->IsTunnel ? StreamFailure::TunnelLost : StreamFailure::Io;
      return -1;
    }
    if (!this->waitFor(POLLOUT))
      return -1;
  }
  return static_cast<ssize_t>(Size);
}

void SocketStream::beginLinger(TimePoint Until) {
  this->LingerUntil = Until;
  ::shutdown(this->Descriptor, SHUT_WR);
}

void SocketStream::detectDeadPeer() { setDeadPeerDetection(this->Descriptor); }

void SocketStream::resetOnClose() {
  const linger Reset{1, 0};
  ::setsockopt(this->Descriptor, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
  this->Failure = StreamFailure::Io;
}

bool SocketStream::isLingering() const { return this->LingerUntil.has_value(); }

TimePoint SocketStream::getLingerEnd() const {
  assert(this->LingerUntil && "the connection does not linger");
  return *this->LingerUntil;
}

bool SocketStream::discardInput() {
  this->Buffer.clear();
  this->BufferAt = 0;
  char Discarded[BufferBytes];
  for (int I = 0; I < 16; ++I) {
    const ssize_t Count =
        ::recv(this->Descriptor, Discarded, sizeof(Discarded), 0);
    if (Count > 0)
      continue;
    return Count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }
  return false;
}

bool SocketStream::is_readable() const { return true; }

bool SocketStream::is_writable() const { return true; }

static void readAddress(const sockaddr_in &Address, std::string &Ip,
                        int &Port) {
  char Text[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &Address.sin_addr, Text, sizeof(Text));
  Ip = Text;
  Port = ntohs(Address.sin_port);
}

void SocketStream::get_remote_ip_and_port(std::string &Ip, int &Port) const {
  sockaddr_in Address{};
  socklen_t Length = sizeof(Address);
  if (::getpeername(this->Descriptor, reinterpret_cast<sockaddr *>(&Address),
                    &Length) == 0)
    readAddress(Address, Ip, Port);
}

void SocketStream::get_local_ip_and_port(std::string &Ip, int &Port) const {
  sockaddr_in Address{};
  socklen_t Length = sizeof(Address);
  if (::getsockname(this->Descriptor, reinterpret_cast<sockaddr *>(&Address),
                    &Length) == 0)
    readAddress(Address, Ip, Port);
}

socket_t SocketStream::socket() const { return this->Descriptor; }

} // namespace canvaswick
