//===- SocketStream.h - Socket with a deadline ------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Messages are read and written through this stream, both to callers and to
/// backend servers. A read or write fails at the deadline, or as soon as
/// the watched peer disconnects.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_SOCKETSTREAM_H
#define CANVASWICK_HTTP_SOCKETSTREAM_H

#include "canvaswick/Http/TunnelFrames.h"
#include "canvaswick/Support/Time.h"

#include <httplib.h>

#include <functional>
#include <optional>
#include <string>

namespace canvaswick {

/// The reason why a read or write failed.
enum class StreamFailure {
  None,
  Closed,
  Timeout,
  WatchedPeerGone,
  Io,
  /// The tunnel ended before the server's connection did.
  TunnelLost,
};

/// A connected TCP socket with a read buffer. Closes the socket when destroyed.
/// Not thread-safe.
class SocketStream final : public httplib::Stream {
public:
  /// Takes ownership of a connected descriptor.
  explicit SocketStream(int Descriptor);
  ~SocketStream() override;
  SocketStream(const SocketStream &) = delete;
  SocketStream &operator=(const SocketStream &) = delete;

  /// Sets the time after which every read and write fails.
  void setDeadline(TimePoint Deadline);

  /// Sets a function that is called when the deadline has passed and returns a
  /// later deadline. Without one the deadline is final.
  void setDeadlineExtension(std::function<TimePoint()> Extend);

  /// Makes a single wait for the peer fail after Limit. Zero disables this.
  void setStallLimit(Duration Limit);

  /// Sets a function that is called when nothing has happened for the stall
  /// limit, with the time for which that is so. Returns how much longer to
  /// wait; zero or less ends the wait. Null: the stall limit ends it.
  void setStallExtension(std::function<Duration(Duration)> Extend);

  /// Makes reads and writes fail as soon as the peer of Descriptor disconnects.
  /// -1 disables this.
  void watchHangUp(int Descriptor);

  /// Begins a message: counts its bytes from now on.
  void beginMessage();

  /// Makes the stream a tunnel: what is read from now on are frames of the
  /// server's bytes if HasFrames, otherwise these bytes alone. Returns false if
  /// what has arrived already is not made of frames.
  bool beginTunnel(bool HasFrames);

  /// Returns whether the end of input is known to be the end of the server's
  /// connection, and not that of a peer which passes its bytes on.
  bool showsServerEnd() const { return !this->IsTunnel || this->Frames; }

  /// Sets whether writes are discarded. Used when the response has already been
  /// written.
  void muteWrites(bool Muted);

  /// Returns whether writes are discarded.
  bool areWritesMuted() const { return this->Muted; }

  /// Returns the number of bytes written since beginMessage. If it is zero, the
  /// peer has not executed the request.
  size_t countBytesWritten() const;

  /// Returns the number of bytes received since beginMessage, including those
  /// buffered before.
  size_t countBytesRead() const;

  /// Returns why the last read or write failed.
  StreamFailure getFailure() const;

  /// Returns whether the connection has input, in the buffer or on the socket,
  /// or the peer has closed it. An idle connection must have neither.
  bool hasUnexpectedInput() const;

  /// Returns whether the peer has shut down its side or reset the connection.
  bool isPeerGone() const;

  /// Returns whether the buffer holds unread bytes.
  bool hasBufferedBytes() const;

  /// Shuts down the write side: the peer reads end of file after the data
  /// already written. Input is discarded until the time Until at the latest.
  void beginLinger(TimePoint Until);

  /// Makes the connection end with a reset when it is closed, so that the peer
  /// does not take what it has received for complete.
  void resetOnClose();

  /// Calls setDeadPeerDetection for an accepted connection.
  void detectDeadPeer();

  /// Returns whether beginLinger was called.
  bool isLingering() const;

  /// Returns the time at which the connection must be closed. Must not be
  /// called before beginLinger.
  TimePoint getLingerEnd() const;

  /// Discards the input that has arrived. Returns whether the peer has closed
  /// its side too.
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
  TimePoint extendWait(TimePoint Began, TimePoint Until);
  ssize_t fill();
  bool takeReceived(size_t Count);
  ssize_t endInput(bool IsClosed);

  static constexpr size_t BufferBytes = 16384;

  int Descriptor;
  int WatchedDescriptor = -1;
  TimePoint Deadline = TimePoint::max();
  std::function<TimePoint()> Extend;
  Duration StallLimit = Duration::zero();
  std::function<Duration(Duration)> ExtendStall;
  std::string Buffer;
  size_t BufferAt = 0;
  bool IsTunnel = false;
  std::optional<TunnelFrameDecoder> Frames;
  bool Muted = false;
  std::optional<TimePoint> LingerUntil;
  size_t BytesWritten = 0;
  size_t BytesRead = 0;
  StreamFailure Failure = StreamFailure::None;
};

} // namespace canvaswick

#endif // CANVASWICK_HTTP_SOCKETSTREAM_H
