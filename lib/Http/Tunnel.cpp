//===- Tunnel.cpp - Connections through a peer ----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Both ends of a tunnel. The bytes of a server are not interpreted: whether an
/// answer is complete is decided by the daemon that sent the request.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/Tunnel.h"

#include <fmt/format.h>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <charconv>

namespace canvaswick {

/// The size of a tunnel's buffer in each direction.
static constexpr size_t TunnelBufferBytes = 16384;

/// The longest answer to a request to open a tunnel.
static constexpr size_t MaxAnswerBytes = 2048;

/// The longest wait of one poll, so that a connection that failed without an
/// event is noticed.
static constexpr int PollMillis = 1000;

static constexpr int SwitchingProtocols = 101;
static constexpr int BadGateway = 502;

/// Reads up to the end of a head. Returns an empty text on failure.
static std::string readHead(SocketStream &Stream) {
  static constexpr std::string_view End = "\r\n\r\n";
  std::string Head;
  char Byte = 0;
  while (Head.size() < MaxAnswerBytes) {
    if (Stream.read(&Byte, 1) != 1)
      return "";
    Head += Byte;
    if (Head.ends_with(End))
      return Head;
  }
  return "";
}

/// Returns the status of a response head, or 0 if it is malformed.
static int parseStatus(const std::string &Head) {
  static constexpr std::string_view Version = "HTTP/1.1 ";
  int Status = 0;
  if (!Head.starts_with(Version))
    return 0;
  const char *First = Head.data() + Version.size();
  std::from_chars(First, Head.data() + Head.size(), Status);
  return Status;
}

/// Returns whether a response head says that the tunnel has frames.
static bool announcesFrames(std::string Head) {
  const auto ToLower = [](unsigned char Byte) {
    return static_cast<char>(std::tolower(Byte));
  };
  std::string Line =
      fmt::format("\r\n{}: {}\r\n", TunnelFramesHeader, TunnelFramesVersion);
  std::transform(Head.begin(), Head.end(), Head.begin(), ToLower);
  std::transform(Line.begin(), Line.end(), Line.begin(), ToLower);
  return Head.find(Line) != std::string::npos;
}

TunnelAnswer openTunnel(SocketStream &Stream, const TunnelTarget &Target,
                        TimePoint Deadline) {
  Stream.setDeadline(Deadline);
  std::string Request =
      fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nConnection: Upgrade\r\n"
                  "Upgrade: {}\r\n{}: {}\r\n",
                  TunnelPath, Target.Peer.format(), TunnelProtocol,
                  TunnelFramesHeader, TunnelFramesVersion);
  for (const auto &[Name, Value] : Target.Headers)
    Request += fmt::format("{}: {}\r\n", Name, Value);
  Request += "\r\n";
  if (static_cast<httplib::Stream &>(Stream).write(Request) < 0)
    return TunnelAnswer::NoPeer;
  const std::string Head = readHead(Stream);
  switch (parseStatus(Head)) {
  case SwitchingProtocols:
    return Stream.beginTunnel(announcesFrames(Head)) ? TunnelAnswer::Opened
                                                     : TunnelAnswer::NoPeer;
  case BadGateway:
    return TunnelAnswer::NoServer;
  case 0:
    return TunnelAnswer::NoPeer;
  default:
    return TunnelAnswer::Declined;
  }
}

bool acceptTunnel(SocketStream &Caller, bool HasFrames) {
  std::string Answer =
      fmt::format("HTTP/1.1 {} Switching Protocols\r\nConnection: Upgrade\r\n"
                  "Upgrade: {}\r\n",
                  SwitchingProtocols, TunnelProtocol);
  if (HasFrames)
    Answer +=
        fmt::format("{}: {}\r\n", TunnelFramesHeader, TunnelFramesVersion);
  Answer += "\r\n";
  return static_cast<httplib::Stream &>(Caller).write(Answer) >= 0;
}

namespace {

/// One direction of a tunnel.
class TunnelDirection {
public:
  TunnelDirection(int From, int To, bool HasFrames)
      : From(From), To(To), HasFrames(HasFrames) {}

  /// Returns whether it can read more.
  bool wantsInput() const { return !this->HasEnded && this->isEmpty(); }

  /// Returns whether bytes wait to be written.
  bool hasOutput() const { return !this->isEmpty(); }

  /// Returns whether all was passed on and nothing more will come.
  bool isDone() const { return this->HasEnded && this->isEmpty(); }

  /// Returns whether nothing more will be read.
  bool hasEnded() const { return this->HasEnded; }

  /// Returns whether a connection failed, so that the other end can't be told.
  bool isBroken() const { return this->IsBroken; }

  /// Ends the direction: nothing more is read, and the last frame says that the
  /// server's connection has failed.
  void fail() { this->end(TunnelServerEnd::Failed); }

  /// Reads and writes what is possible without waiting.
  void advance() {
    if (this->wantsInput())
      this->read();
    if (this->hasOutput())
      this->write();
  }

private:
  bool isEmpty() const { return this->At == this->Buffer.size(); }

  /// Returns whether a failed call only has to be repeated later.
  static bool isTemporary() {
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
  }

  void read() {
    this->Buffer.resize(TunnelBufferBytes);
    this->At = 0;
    const ssize_t Count =
        ::recv(this->From, this->Buffer.data(), this->Buffer.size(), 0);
    const bool IsFailed = Count < 0 && !isTemporary();
    this->Buffer.resize(Count > 0 ? static_cast<size_t>(Count) : 0);
    if (Count > 0 && this->HasFrames)
      this->Buffer.insert(0, makeTunnelFrameHead(this->Buffer.size()));
    if (Count == 0)
      this->end(TunnelServerEnd::Closed);
    if (IsFailed && this->HasFrames)
      this->fail();
    this->IsBroken = IsFailed && !this->HasFrames;
  }

  void end(TunnelServerEnd How) {
    if (this->HasFrames && !this->HasEnded)
      this->Buffer += makeTunnelEndFrame(How);
    this->HasEnded = true;
  }

  void write() {
    const ssize_t Count = ::send(this->To, this->Buffer.data() + this->At,
                                 this->Buffer.size() - this->At, MSG_NOSIGNAL);
    if (Count > 0)
      this->At += static_cast<size_t>(Count);
    else if (!isTemporary())
      this->IsBroken = true;
  }

  const int From;
  const int To;
  const bool HasFrames;
  std::string Buffer;
  size_t At = 0;
  bool HasEnded = false;
  bool IsBroken = false;
};

} // namespace

static short getEvents(const TunnelDirection &In, const TunnelDirection &Out) {
  return static_cast<short>((In.wantsInput() ? POLLIN : 0) |
                            (Out.hasOutput() ? POLLOUT : 0));
}

bool relayTunnel(SocketStream &Caller, SocketStream &Server, bool HasFrames) {
  TunnelDirection Requests(Caller.socket(), Server.socket(), false);
  TunnelDirection Answers(Server.socket(), Caller.socket(), HasFrames);
  while (true) {
    pollfd Polls[2] = {
        {Caller.socket(),
         static_cast<short>(getEvents(Requests, Answers) | POLLRDHUP), 0},
        {Requests.isBroken() || Answers.hasEnded() ? -1 : Server.socket(),
         getEvents(Answers, Requests), 0}};
    if (::poll(Polls, 2, PollMillis) < 0 && errno != EINTR)
      return false;
    // The caller never closes one direction only: it has given up.
    if ((Polls[0].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
      return false;
    if (!Requests.isBroken())
      Requests.advance();
    if (Requests.isBroken() && HasFrames)
      Answers.fail();
    Answers.advance();
    if (Answers.isBroken() || (Requests.isBroken() && !HasFrames))
      return false;
    if (Answers.isDone())
      return true;
  }
}

} // namespace canvaswick
