//===- MessageHead.h - Heads of HTTP messages ----------------- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Reads the heads of requests and responses. Nothing in them is decoded or
/// interpreted but what delimits the message: a proxy passes on the rest.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_MESSAGEHEAD_H
#define CANVASWICK_HTTP_MESSAGEHEAD_H

#include "canvaswick/Http/SocketStream.h"

#include <httplib.h>

#include <string>

namespace canvaswick {

/// How reading a head ended.
enum class HeadEnd : uint8_t {
  /// All of it arrived.
  Whole,
  /// The connection ended or failed, or the time was up.
  Cut,
  /// It is longer than its limit.
  TooLong,
  /// A line does not end in CR LF, is no header field or is folded.
  Malformed,
  /// The name of a header field is no token.
  FieldName,
  /// The value of a header field holds a control byte.
  FieldValue,
};

/// Returns the name of End as it appears in answers.
const char *getName(HeadEnd End);

/// The first line of a message, without its end, and its header fields.
struct MessageHead {
  std::string StartLine;
  httplib::Headers Headers;
};

/// Reads lines of messages up to a limit on all of them together.
class LineReader {
public:
  /// Reads at most MaxBytes from Stream.
  LineReader(SocketStream &Stream, size_t MaxBytes)
      : Stream(Stream), Left(MaxBytes) {}

  /// Reads one line and drops its CR LF.
  HeadEnd readLine(std::string &Line);

private:
  SocketStream &Stream;
  size_t Left;
};

/// Reads the head of a message.
HeadEnd readMessageHead(LineReader &Lines, MessageHead &Head);

/// Reads the lines of header fields up to an empty one. All of them are
/// well-formed if it returns Whole.
HeadEnd readHeaderFields(LineReader &Lines, httplib::Headers &Headers);

/// Fills the method, target, version and headers of a request. Returns false if
/// its first line has no three parts.
bool parseRequestHead(MessageHead Head, httplib::Request &Request);

/// Fills the version, status, reason and headers of a response. Returns false
/// if its first line is not one of HTTP/1.0 or HTTP/1.1. The status is any
/// number of three digits.
bool parseResponseHead(MessageHead Head, httplib::Response &Response);

} // namespace canvaswick

#endif // CANVASWICK_HTTP_MESSAGEHEAD_H
