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
#include "canvaswick/Http/HeadGrammar.h"
#include "canvaswick/Http/MessageHead.h"

#include <fmt/format.h>

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace canvaswick {

/// The size of a tunnel's buffer in each direction.
static constexpr size_t TunnelBufferBytes = 16384;

/// The longest answer to a request to open a tunnel.
static constexpr size_t MaxAnswerBytes = 2048;

/// The longest wait of one poll, so that a connection that failed without an
/// event is noticed.
static constexpr int PollMillis = 1000;

static constexpr int NoAnswer = -1;
static constexpr int SwitchingProtocols = 101;
static constexpr int BadGateway = 502;

/// Reads the head of the peer's answer. Its status is -1 if it is malformed.
static httplib::Response readAnswer(SocketStream &Stream) {
  LineReader Lines(Stream, MaxAnswerBytes);
  MessageHead Head;
  httplib::Response Answer;
  if (readMessageHead(Lines, Head) != HeadEnd::Whole ||
      !parseResponseHead(std::move(Head), Answer) || findResponseFault(Answer))
    Answer.status = NoAnswer;
  return Answer;
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
  const httplib::Response Answer = readAnswer(Stream);
  const bool HasFrames =
      Answer.get_header_value(TunnelFramesHeader) == TunnelFramesVersion;
  switch (Answer.status) {
  case SwitchingProtocols:
    return Stream.beginTunnel(HasFrames) ? TunnelAnswer::Opened
                                         : TunnelAnswer::NoPeer;
  case BadGateway:
    return TunnelAnswer::NoServer;
  case NoAnswer:
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
