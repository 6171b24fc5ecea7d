//===- Wire.cpp - Sockets, messages and the record of a case --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "Wire.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <thread>

namespace review {

double now() {
  using Clock = std::chrono::steady_clock;
  static const Clock::time_point Start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - Start).count();
}

void sleepUntil(double When) { sleepFor(When - now()); }

void sleepFor(double Seconds) {
  if (Seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

Record::Record(const std::string &Path) : File(std::fopen(Path.c_str(), "w")) {
  if (!this->File)
    throw std::runtime_error("cannot write " + Path);
}

Record::~Record() { std::fclose(this->File); }

void Record::line(const std::string &Text) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::fprintf(this->File, "%8.3f %s\n", now(), Text.c_str());
  std::fflush(this->File);
}

std::string Message::get(const std::string &Name) const {
  for (const auto &[Field, Value] : this->Fields)
    if (::strcasecmp(Field.c_str(), Name.c_str()) == 0)
      return Value;
  return "";
}

static std::string getWord(const std::string &Line, int Index) {
  size_t Begin = 0;
  for (int I = 0; I < Index; ++I) {
    Begin = Line.find(' ', Begin);
    if (Begin == std::string::npos)
      return "";
    ++Begin;
  }
  return Line.substr(Begin, Line.find(' ', Begin) - Begin);
}

std::string Message::method() const { return getWord(this->StartLine, 0); }

std::string Message::target() const { return getWord(this->StartLine, 1); }

int Message::status() const {
  return std::atoi(getWord(this->StartLine, 1).c_str());
}

const char *getName(End Kind) {
  switch (Kind) {
  case End::None:
    return "open";
  case End::Closed:
    return "closed";
  case End::Reset:
    return "reset";
  case End::Timeout:
    return "timeout";
  }
  return "";
}

Connection::Connection(int Descriptor) : Descriptor(Descriptor) {
  const int On = 1;
  if (Descriptor >= 0)
    ::setsockopt(Descriptor, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

Connection::~Connection() {
  if (this->Descriptor >= 0)
    ::close(this->Descriptor);
}

static sockaddr_in makeAddress(uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

Connection *Connection::connectTo(uint16_t Port) {
  const int Descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = makeAddress(Port);
  if (::connect(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) == 0)
    return new Connection(Descriptor);
  ::close(Descriptor);
  return new Connection(-1);
}

bool Connection::write(const std::string &Bytes) {
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

bool Connection::waitForInput(double Until) {
  if (!this->Buffer.empty())
    return true;
  const double Left = Until - now();
  pollfd Poll{this->Descriptor, POLLIN, 0};
  return ::poll(&Poll, 1, Left > 0 ? static_cast<int>(Left * 1000) : 0) > 0;
}

bool Connection::fill() {
  if (this->Ended != End::None)
    return false;
  const double Left = this->Deadline - now();
  pollfd Poll{this->Descriptor, POLLIN, 0};
  const int Millis =
      Left > 3600 ? -1 : (Left > 0 ? static_cast<int>(Left * 1000) + 1 : 0);
  if (::poll(&Poll, 1, Millis) <= 0) {
    this->Ended = End::Timeout;
    return false;
  }
  char Bytes[16384];
  const ssize_t Count = ::recv(this->Descriptor, Bytes, sizeof(Bytes), 0);
  if (Count > 0) {
    this->Buffer.append(Bytes, static_cast<size_t>(Count));
    this->Received.append(Bytes, static_cast<size_t>(Count));
    return true;
  }
  this->Ended = Count == 0 ? End::Closed : End::Reset;
  return false;
}

bool Connection::readLine(std::string &Line) {
  while (true) {
    const size_t At = this->Buffer.find("\r\n");
    if (At != std::string::npos) {
      Line = this->Buffer.substr(0, At);
      this->Buffer.erase(0, At + 2);
      return true;
    }
    if (!this->fill())
      return false;
  }
}

bool Connection::readBytes(size_t Count, std::string &Into) {
  while (this->Buffer.size() < Count)
    if (!this->fill()) {
      Into += this->Buffer;
      this->Buffer.clear();
      return false;
    }
  Into += this->Buffer.substr(0, Count);
  this->Buffer.erase(0, Count);
  return true;
}

void Connection::readToEnd(std::string &Into) {
  while (this->fill()) {
  }
  Into += this->Buffer;
  this->Buffer.clear();
}

bool Connection::readHead(Message &Into) {
  if (!this->readLine(Into.StartLine))
    return false;
  std::string Line;
  while (this->readLine(Line)) {
    if (Line.empty())
      return true;
    const size_t Colon = Line.find(':');
    const size_t Begin = Colon == std::string::npos
                             ? Colon
                             : Line.find_first_not_of(" \t", Colon + 1);
    Into.Fields.emplace_back(Line.substr(0, Colon), Begin == std::string::npos
                                                        ? ""
                                                        : Line.substr(Begin));
  }
  return false;
}

bool Connection::readChunks(std::string &Into) {
  std::string Line;
  while (this->readLine(Line)) {
    const size_t Size = std::strtoull(Line.c_str(), nullptr, 16);
    if (Size == 0)
      return this->readLine(Line);
    if (!this->readBytes(Size, Into) || !this->readLine(Line))
      return false;
  }
  return false;
}

bool Connection::readMessage(Message &Into, bool IsAnswer) {
  if (!this->readHead(Into))
    return false;
  if (::strcasecmp(Into.get("Transfer-Encoding").c_str(), "chunked") == 0)
    return this->readChunks(Into.Body);
  const std::string Length = Into.get("Content-Length");
  if (!Length.empty())
    return this->readBytes(std::strtoull(Length.c_str(), nullptr, 10),
                           Into.Body);
  if (!IsAnswer || Into.status() == 204 || Into.status() == 304)
    return true;
  this->readToEnd(Into.Body);
  return this->Ended == End::Closed;
}

void Connection::close() {
  ::close(this->Descriptor);
  this->Descriptor = -1;
}

void Connection::reset() {
  const linger Now{1, 0};
  ::setsockopt(this->Descriptor, SOL_SOCKET, SO_LINGER, &Now, sizeof(Now));
  this->close();
}

static int bindFree(int Type, uint16_t &Port) {
  const int Descriptor = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  sockaddr_in Address = makeAddress(Port);
  socklen_t Length = sizeof(Address);
  if (::bind(Descriptor, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) != 0) {
    ::close(Descriptor);
    return -1;
  }
  ::getsockname(Descriptor, reinterpret_cast<sockaddr *>(&Address), &Length);
  Port = ntohs(Address.sin_port);
  return Descriptor;
}

uint16_t findFreePort() {
  while (true) {
    uint16_t Port = 0;
    const int Stream = bindFree(SOCK_STREAM, Port);
    const int Datagram = bindFree(SOCK_DGRAM, Port);
    ::close(Stream);
    if (Datagram < 0)
      continue;
    ::close(Datagram);
    return Port;
  }
}

Listener::Listener(Handler Serve) : Serve(std::move(Serve)) {
  this->Descriptor = bindFree(SOCK_STREAM, this->Port);
  if (this->Descriptor < 0 || ::listen(this->Descriptor, 1024) != 0)
    throw std::runtime_error("cannot listen");
  std::thread([this] {
    while (true) {
      const int Taken =
          ::accept4(this->Descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (Taken < 0)
        continue;
      std::thread([this, Taken] {
        Connection Stream(Taken);
        this->Serve(Stream);
      }).detach();
    }
  }).detach();
}

std::string formatMessage(const Message &Given, bool IsAnswer) {
  std::string Text = Given.StartLine + "\r\n";
  for (const auto &[Name, Value] : Given.Fields)
    Text += Name + ": " + Value + "\r\n";
  const bool HasLength = !Given.get("Content-Length").empty() ||
                         !Given.get("Transfer-Encoding").empty();
  if (!HasLength && (IsAnswer || !Given.Body.empty()))
    Text += "Content-Length: " + std::to_string(Given.Body.size()) + "\r\n";
  return Text + "\r\n" + Given.Body;
}

} // namespace review
