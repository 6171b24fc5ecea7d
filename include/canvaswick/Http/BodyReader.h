//===- BodyReader.h - Bodies of HTTP messages ----------------- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Reads the body of a request or a response as its head delimits it. What the
/// body holds is not looked at: it belongs to the sender and the receiver.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_BODYREADER_H
#define CANVASWICK_HTTP_BODYREADER_H

#include "canvaswick/Http/SocketStream.h"

#include <httplib.h>

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>

namespace canvaswick {

/// What delimits a body (RFC 9112, 6.3).
enum class BodyFraming : uint8_t {
  /// There is no body.
  None,
  /// It has a stated length.
  Length,
  /// It comes in chunks.
  Chunked,
  /// It ends with its connection.
  UntilClose,
  /// The headers contradict each other or are not understood.
  Ambiguous,
};

/// How reading a body ended.
enum class BodyEnd : uint8_t {
  /// All of it arrived.
  Whole,
  /// Reading has not ended.
  Unread,
  /// The connection ended or failed, or the time was up.
  Cut,
  /// The chunks cannot be understood.
  Malformed,
  /// A chunk's line or the trailers are longer than their limits.
  TooLong,
  /// It states no length and is longer than its limit.
  TooMuch,
  /// The receiver wanted no more.
  Refused,
};

/// Returns the name of End as it appears in logs and answers.
const char *getName(BodyEnd End);

/// Takes a piece of a body. Returns false if it wants no more.
using BodyReceiver = std::function<bool(const char *, size_t)>;

/// Returns how headers delimit a body that may end with its connection, if they
/// state neither length nor chunks.
BodyFraming findBodyFraming(const httplib::Headers &Headers);

/// Returns the bytes of a chunk. Size must not be 0, which is the last chunk's.
std::string makeChunk(const char *Data, size_t Size);

/// The last chunk of a body without trailers.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/// Reads one body from a stream whose head has been read.
class BodyReader {
public:
  /// Headers are those of the message. Stream must outlive the reader.
  BodyReader(SocketStream &Stream, BodyFraming Framing,
             const httplib::Headers &Headers);

  /// Limits a body that states no length. By default there is no limit.
  void setMaxUnsizedBytes(uint64_t Limit) { this->MaxUnsizedBytes = Limit; }

  /// Writes these bytes before the body is read for the first time: the sender
  /// waits for them.
  void setInvitation(std::string Bytes) { this->Invitation = std::move(Bytes); }

  /// Reads the rest of the body, at most until the stream's deadline. May be
  /// called again with another receiver if one wanted no more.
  BodyEnd read(const BodyReceiver &Receive);

  /// Returns how reading ended.
  BodyEnd getEnd() const { return this->End; }

private:
  BodyEnd readFramed(const BodyReceiver &Receive);
  BodyEnd readPieces(const BodyReceiver &Receive);
  BodyEnd readUntilClose(const BodyReceiver &Receive);
  BodyEnd readChunks(const BodyReceiver &Receive);
  BodyEnd beginChunk();
  BodyEnd readChunkEnd();
  BodyEnd readTrailers();

  SocketStream &Stream;
  const BodyFraming Framing;
  /// The bytes that are left of the body if it has a length, otherwise of the
  /// chunk that is being read, if any.
  uint64_t Left = 0;
  bool IsInChunk = false;
  /// The bytes that a body without a length may still have.
  uint64_t MaxUnsizedBytes = std::numeric_limits<uint64_t>::max();
  std::string Invitation;
  BodyEnd End = BodyEnd::Unread;
};

} // namespace canvaswick

#endif // CANVASWICK_HTTP_BODYREADER_H
