//===- SocketStream.h - A buffered socket with a deadline and a hang-up watch
//-*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// cpp-httplib reads and writes messages through this stream, both towards
/// callers and towards backend servers. A read or write ends at the deadline,
/// or as soon as the watched peer hangs up.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_SOCKETSTREAM_H
#define CANVASWICK_HTTP_SOCKETSTREAM_H

#include "canvaswick/Support/Time.h"

#include <httplib.h>

#include <functional>
#include <string>

namespace canvaswick {

/// Why a stream stopped, for the one that used it.
enum class StreamFailure { None, Closed, Timeout, WatchedPeerGone, Io };

/// One connected TCP socket. Closes it when destroyed.
class SocketStream final : public httplib::Stream {
public:
  /// Takes over a connected descriptor.
  explicit SocketStream(int Descriptor);
  ~SocketStream() override;
  SocketStream(const SocketStream &) = delete;
  SocketStream &operator=(const SocketStream &) = delete;

  /// Sets the instant after which every read and write fails.
  void setDeadline(TimePoint Deadline);

  /// Asks Extend for a later deadline when the deadline has passed. An empty
  /// function: it holds.
  void setDeadlineExtension(std::function<TimePoint()> Extend);

  /// Makes a single wait for the peer fail after Limit. Zero: no such bound.
  void setStallLimit(Duration Limit);

  /// Makes reads fail as soon as the peer of Descriptor hangs up. -1: none.
  void watchHangUp(int Descriptor);

  /// Starts to count the bytes of a message head. A read beyond Limit fails.
  void beginHead(size_t Limit);

  /// Stops to count head bytes: the body follows.
  void endHead();

  /// Throws away everything written from now on, because the answer was
  /// already written.
  void muteWrites(bool Muted);

  /// Returns whether what is written is thrown away.
  bool areWritesMuted() const { return this->Muted; }

  /// Returns whether the head was longer than its limit.
  bool isHeadTooLong() const;

  /// Returns whether the head had a line that did not end in CR LF, or a
  /// folded line.
  bool isHeadMalformed() const;

  /// Returns whether any byte of a message was read since beginHead.
  bool hasReadHeadBytes() const;

  /// Returns how many bytes went out, for telling "not run" from "not known".
  size_t countBytesWritten() const;

  /// Returns how many bytes came in since beginHead.
  size_t countBytesRead() const;

  /// Returns why the last read or write failed.
  StreamFailure getFailure() const;

  /// Returns whether bytes wait to be read, in the buffer or on the socket, or
  /// the peer has closed. An idle connection must have neither.
  bool hasUnexpectedInput() const;

  /// Returns whether the peer has ended its side or reset the connection.
  bool isPeerGone() const;

  /// Returns whether the buffer holds bytes already read.
  bool hasBufferedBytes() const;

  /// Ends our side of the connection: the peer reads the end after what was
  /// written. Input is thrown away from now on.
  void beginLinger();

  /// Returns whether beginLinger was called.
  bool isLingering() const;

  /// Throws away what has arrived. Returns whether the peer has closed too.
  bool discardInput();

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char *Data, size_t Size) override;
  ssize_t write(const char *Data, size_t Size) override;
  void get_remote_ip_and_port(std::string &Ip, int &Port) const override;
  void get_local_ip_and_port(std::string &Ip, int &Port) const override;
  socket_t socket() const override;

private:
  bool waitFor(short Events);
  bool extendDeadline();
  ssize_t fill();
  bool checkHeadByte(char Byte);
  void escapeHead();

  static constexpr size_t BufferBytes = 16384;

  int Descriptor;
  int Watched = -1;
  TimePoint Deadline = TimePoint::max();
  std::function<TimePoint()> Extend;
  Duration StallLimit = Duration::zero();
  std::string Buffer;
  size_t BufferAt = 0;
  bool Muted = false;
  bool Lingering = false;
  bool InHead = false;
  size_t HeadBytes = 0;
  size_t HeadLimit = 0;
  bool HeadTooLong = false;
  bool HeadMalformed = false;
  size_t HeadLines = 0;
  bool IsHeadLineEmpty = false;
  bool IsHeadEscaped = false;
  char LastHeadByte = 0;
  char ByteBeforeLast = 0;
  size_t BytesWritten = 0;
  size_t BytesRead = 0;
  StreamFailure Failure = StreamFailure::None;
};

/// Connects to an IP number and port before Deadline. Returns the descriptor,
/// or -1 when no connection came about.
int connectTcp(const std::string &Host, uint16_t Port, TimePoint Deadline);

} // namespace canvaswick

#endif // CANVASWICK_HTTP_SOCKETSTREAM_H
