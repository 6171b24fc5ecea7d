//===- HexNumber.h - Hexadecimal numbers in messages ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Decodes the ids of servers, services, organisations and requests in messages
/// between daemons. They are hexadecimal because JSON parsers lose digits of
/// large integers.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_DAEMON_HEXNUMBER_H
#define CANVASWICK_LIB_DAEMON_HEXNUMBER_H

#include <json/json.h>

#include <charconv>
#include <string>

namespace canvaswick {

/// Decodes a text that consists of hexadecimal digits only. Returns false if it
/// is malformed or the number does not fit.
template <typename NumberT>
bool decodeHex(const Json::Value &Value, NumberT &Number) {
  if (!Value.isString())
    return false;
  const std::string Text = Value.asString();
  const char *End = Text.data() + Text.size();
  const auto [Rest, Code] = std::from_chars(Text.data(), End, Number, 16);
  return Code == std::errc() && Rest == End;
}

} // namespace canvaswick

#endif // CANVASWICK_LIB_DAEMON_HEXNUMBER_H
