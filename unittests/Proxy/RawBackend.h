//===- RawBackend.h - Backend server made of raw bytes ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A backend server for tests that reads requests and writes answers byte by
/// byte, with no code of the product, and a proxy in front of it.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_PROXY_RAWBACKEND_H
#define CANVASWICK_UNITTESTS_PROXY_RAWBACKEND_H

#include "ProxyFixture.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace canvaswick {

/// A message as it was on the wire.
struct RawMessage {
  /// The first line and the header lines, each with its line end.
  std::string Head;
  /// The body without the chunks' lines.
  std::string Body;
};

/// A socket that is read and written without the product's code.
class RawSocket {
public:
  explicit RawSocket(int Descriptor) : Descriptor(Descriptor) {
    const int Flags = ::fcntl(Descriptor, F_GETFL);
    ::fcntl(Descriptor, F_SETFL, Flags & ~O_NONBLOCK);
  }
  ~RawSocket() { ::close(this->Descriptor); }
  RawSocket(const RawSocket &) = delete;
  RawSocket &operator=(const RawSocket &) = delete;

  /// Connects to a port of this machine. Returns the descriptor.
  static int connectTo(uint16_t Port) {
    return connectTcp("127.0.0.1", Port, readSteadyClock() + fromSeconds(5));
  }

  /// Makes each read and write fail after this time.
  void setTimeLimit(int Seconds) {
    const timeval Limit{Seconds, 0};
    ::setsockopt(this->Descriptor, SOL_SOCKET, SO_RCVTIMEO, &Limit,
                 sizeof(Limit));
    ::setsockopt(this->Descriptor, SOL_SOCKET, SO_SNDTIMEO, &Limit,
                 sizeof(Limit));
  }

  bool write(const std::string &Bytes) {
    size_t Done = 0;
    while (Done < Bytes.size()) {
      const ssize_t Count = ::send(this->Descriptor, Bytes.data() + Done,
                                   Bytes.size() - Done, MSG_NOSIGNAL);
      if (Count <= 0)
        return false;
      Done += static_cast<size_t>(Count);
    }
    return true;
  }

  /// Writes the same bytes again until the other side closes. Returns how many
  /// it took, at most Limit.
  size_t writeUntilClosed(const std::string &Bytes, size_t Limit) {
    size_t Done = 0;
    while (Done < Limit && this->write(Bytes))
      Done += Bytes.size();
    return Done;
  }

  /// Makes the end of the connection a reset.
  void resetAtEnd() {
    const linger Abort{1, 0};
    ::setsockopt(this->Descriptor, SOL_SOCKET, SO_LINGER, &Abort,
                 sizeof(Abort));
  }

  void endSending() { ::shutdown(this->Descriptor, SHUT_WR); }

  /// Reads all until the other side closes.
  std::string readAll() {
    while (this->fill())
      continue;
    return std::exchange(this->Buffer, std::string());
  }

  /// Reads one message whose body, if any, has a length or chunks. Returns
  /// false at the end of the connection.
  bool readMessage(RawMessage &Message) {
    Message = RawMessage();
    while (!Message.Head.ends_with("\r\n\r\n")) {
      std::string Line;
      if (!this->readLine(Line))
        return false;
      Message.Head += Line;
    }
    const std::string Length = getField(Message.Head, "content-length");
    if (!Length.empty())
      return this->readBytes(std::strtoull(Length.c_str(), nullptr, 10),
                             Message.Body);
    return getField(Message.Head, "transfer-encoding").empty() ||
           this->readChunks(Message.Body);
  }

  /// Returns the value of the first header field of this name, in small
  /// letters, or an empty text.
  static std::string getField(const std::string &Head,
                              const std::string &Name) {
    std::string Small = Head;
    std::transform(Small.begin(), Small.end(), Small.begin(), ::tolower);
    const size_t At = Small.find("\r\n" + Name + ": ");
    if (At == std::string::npos)
      return "";
    const size_t From = At + 4 + Name.size();
    return Head.substr(From, Head.find("\r\n", From) - From);
  }

private:
  bool fill() {
    char Piece[16384];
    const ssize_t Count = ::recv(this->Descriptor, Piece, sizeof(Piece), 0);
    if (Count <= 0)
      return false;
    this->Buffer.append(Piece, static_cast<size_t>(Count));
    return true;
  }

  bool readLine(std::string &Line) {
    while (true) {
      const size_t End = this->Buffer.find("\r\n");
      if (End != std::string::npos) {
        Line = this->Buffer.substr(0, End + 2);
        this->Buffer.erase(0, End + 2);
        return true;
      }
      if (!this->fill())
        return false;
    }
  }

  bool readBytes(size_t Count, std::string &Bytes) {
    while (this->Buffer.size() < Count)
      if (!this->fill())
        return false;
    Bytes += this->Buffer.substr(0, Count);
    this->Buffer.erase(0, Count);
    return true;
  }

  bool readChunks(std::string &Body) {
    while (true) {
      std::string Line;
      if (!this->readLine(Line))
        return false;
      const size_t Size = std::strtoull(Line.c_str(), nullptr, 16);
      if (Size == 0)
        break;
      if (!this->readBytes(Size, Body) || !this->readLine(Line))
        return false;
    }
    std::string Trailer;
    while (Trailer != "\r\n")
      if (!this->readLine(Trailer))
        return false;
    return true;
  }

  const int Descriptor;
  std::string Buffer;
};

/// Accepts connections on loopback and runs Serve for each, in a thread.
class RawBackend {
public:
  explicit RawBackend(std::function<void(RawSocket &)> Serve)
      : Serve(std::move(Serve)), Listening(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Name{};
    Name.sin_family = AF_INET;
    Name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Length = sizeof(Name);
    auto *Address = reinterpret_cast<sockaddr *>(&Name);
    REQUIRE(::bind(this->Listening, Address, Length) == 0);
    REQUIRE(::listen(this->Listening, 64) == 0);
    REQUIRE(::getsockname(this->Listening, Address, &Length) == 0);
    this->Port = ntohs(Name.sin_port);
    this->Acceptor = std::thread([this] { this->accept(); });
  }

  ~RawBackend() {
    ::shutdown(this->Listening, SHUT_RDWR);
    this->Acceptor.join();
    ::close(this->Listening);
    for (std::thread &Each : this->Threads)
      Each.join();
  }

  uint16_t getPort() const { return this->Port; }

private:
  void accept() {
    while (true) {
      const int Descriptor = ::accept(this->Listening, nullptr, nullptr);
      if (Descriptor < 0)
        return;
      this->Threads.emplace_back([this, Descriptor] {
        RawSocket Socket(Descriptor);
        Socket.setTimeLimit(10);
        this->Serve(Socket);
      });
    }
  }

  const std::function<void(RawSocket &)> Serve;
  const int Listening;
  uint16_t Port = 0;
  std::thread Acceptor;
  std::vector<std::thread> Threads;
};

/// A proxy before one RawBackend, which is listed as two servers, so that a
/// request can be sent twice.
class RawProxy : public ProxyFixture {
public:
  using Handler = std::function<void(RawSocket &)>;

  /// ServiceKeys are further settings of the service.
  explicit RawProxy(Handler Serve, const ProxyOptions &Options = {},
                    const std::string &ServiceKeys = "")
      : ProxyFixture("", 3, "", Options), Raw(std::move(Serve)) {
    Result<SettingsTree> Tree = SettingsTree::parse(
        fmt::format("[region r]\n[service s]\nregion = r\nfloor-percent = 0\n"
                    "{1}[server s/b1]\naddress = 127.0.0.1:{0}\nhall = a\n"
                    "[server s/b2]\naddress = 127.0.0.1:{0}\nhall = a\n"
                    "[route read]\nprefix = /\nservice = s\n"
                    "[route once]\nprefix = /once\nservice = s\n"
                    "class = once\n",
                    this->Raw.getPort(), ServiceKeys),
        "test.ini");
    REQUIRE(Tree);
    this->setConfig(compileFleetConfig(Tree.value(), 99));
  }

  ~RawProxy() {
    // Closes the connections on which the server's threads wait.
    this->Server->stopGracefully(readSteadyClock() + fromSeconds(5));
    this->Upstreams.closeIdle(TimePoint::max(), readSteadyClock());
  }

  uint16_t getPort() const { return this->Server->getPort(); }

private:
  RawBackend Raw;
};

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_PROXY_RAWBACKEND_H
