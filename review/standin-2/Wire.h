//===- Wire.h - Sockets, messages and the record of a case ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What the stand-ins of the second review share. All sockets are on loopback
/// addresses.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_REVIEW_STANDIN2_WIRE_H
#define CANVASWICK_REVIEW_STANDIN2_WIRE_H

#include <cstdint>
#include <cstdio>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// Seconds of the steady clock since the first call.
double now();

void sleepUntil(double When);

void sleepFor(double Seconds);

/// The file record.txt of a case; each line begins with the time.
class Record {
public:
  explicit Record(const std::string &Path);
  ~Record();
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  void line(const std::string &Text);

private:
  std::mutex Mutex;
  std::FILE *File;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/// A request or an answer.
struct Message {
  std::string StartLine;
  Headers Fields;
  std::string Body;

  std::string get(const std::string &Name) const;
  std::string method() const;
  std::string target() const;
  int status() const;
};

/// How the other side of a connection ended it, or that time ran out.
enum class End { None, Closed, Reset, Timeout };

const char *getName(End Kind);

/// A blocking stream with a time limit on each read.
class Connection {
public:
  explicit Connection(int Descriptor);
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Connects to 127.0.0.1. The connection is not open if that fails.
  static Connection *connectTo(uint16_t Port);

  bool isOpen() const { return this->Descriptor >= 0; }
  void setDeadline(double When) { this->Deadline = When; }
  bool write(const std::string &Bytes);

  /// Reads a head and the body that its headers delimit. Returns false, and
  /// sets the end, if it is not whole. What was read stays in Message.
  bool readMessage(Message &Into, bool IsAnswer);

  bool readHead(Message &Into);
  bool readBytes(size_t Count, std::string &Into);

  /// Reads until the other side ends.
  void readToEnd(std::string &Into);

  End getEnd() const { return this->Ended; }

  /// Everything that was received.
  const std::string &getReceived() const { return this->Received; }

  /// Waits until something can be read. Returns false at the time given.
  bool waitForInput(double Until);

  void close();

  /// Closes with a reset.
  void reset();

private:
  bool fill();
  bool readLine(std::string &Line);
  bool readChunks(std::string &Into);

  int Descriptor;
  double Deadline = 1e9;
  std::string Buffer;
  std::string Received;
  End Ended = End::None;
};

/// Listens on a free port of 127.0.0.1 and serves each connection on a thread
/// of its own, until the process ends.
class Listener {
public:
  using Handler = std::function<void(Connection &)>;

  explicit Listener(Handler Serve);

  uint16_t getPort() const { return this->Port; }

private:
  Handler Serve;
  int Descriptor;
  uint16_t Port = 0;
};

/// Returns a port of 127.0.0.1 that nobody uses now.
uint16_t findFreePort();

std::string formatMessage(const Message &Given, bool IsAnswer);

} // namespace review

#endif // CANVASWICK_REVIEW_STANDIN2_WIRE_H
