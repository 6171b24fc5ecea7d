//===- RequestFault.cpp - Faults of requests ------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Checks what delimits a request and names its target (RFC 9112).
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/RequestFault.h"
#include "canvaswick/Http/BodyReader.h"
#include "canvaswick/Support/Text.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <string>

namespace canvaswick {

static bool isTokenByte(char Byte) {
  static const std::string Others = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(Byte)) ||
         Others.find(Byte) != std::string::npos;
}

static bool isToken(const std::string &Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenByte);
}

static bool hasControlByte(const std::string &Text) {
  return std::any_of(Text.begin(), Text.end(), [](char Byte) {
    const auto Value = static_cast<unsigned char>(Byte);
    return (Value < 0x20 && Value != '\t') || Value == 0x7f;
  });
}

static bool isServedMethod(const std::string &Method) {
  static constexpr const char *Served[] = {"GET",   "HEAD",   "POST",   "PUT",
                                           "PATCH", "DELETE", "OPTIONS"};
  return std::find(std::begin(Served), std::end(Served), Method) !=
         std::end(Served);
}

static bool mayHaveBody(const std::string &Method) {
  return Method == "POST" || Method == "PUT" || Method == "PATCH" ||
         Method == "DELETE";
}

const char *findRequestFault(const httplib::Request &Request) {
  for (const auto &[Name, Value] : Request.headers) {
    if (!isToken(Name))
      return "header-name";
    if (hasControlByte(Value))
      return "header-value";
  }
  if (!isServedMethod(Request.method))
    return "method";
  if (Request.version != "HTTP/1.1")
    return "version";
  if (Request.get_header_value_count("Host") != 1)
    return "host";
  if (Request.target.empty() || Request.target[0] != '/' ||
      hasControlByte(Request.target))
    return "target";
  const size_t Lengths = Request.get_header_value_count("Content-Length");
  const size_t Encodings = Request.get_header_value_count("Transfer-Encoding");
  if (Lengths > 1 || Encodings > 1 || (Lengths == 1 && Encodings == 1))
    return "conflicting-length";
  if (Lengths == 1 && !isBodyLength(Request.get_header_value("Content-Length")))
    return "content-length";
  if (Encodings == 1 &&
      !equalsIgnoringCase(Request.get_header_value("Transfer-Encoding"),
                          "chunked"))
    return "transfer-encoding";
  const bool HasBody =
      Encodings == 1 ||
      (Lengths == 1 && Request.get_header_value("Content-Length") != "0");
  if (HasBody && !mayHaveBody(Request.method))
    return "unexpected-body";
  if (Encodings == 1 && Request.method == "DELETE")
    return "unexpected-body";
  return nullptr;
}

} // namespace canvaswick
