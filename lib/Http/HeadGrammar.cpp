//===- HeadGrammar.cpp - What a message's head may hold -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Checks bytes first, then what delimits the message, then what each kind of
/// message may say.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HeadGrammar.h"
#include "canvaswick/Support/Text.h"

#include <algorithm>
#include <cctype>
#include <iterator>
#include <sstream>
#include <vector>

namespace canvaswick {

/// Digits of a length that fits in 64 bits.
static constexpr size_t MaxLengthDigits = 18;

static constexpr int FirstStatus = 100;
static constexpr int FirstFinalStatus = 200;
static constexpr int LastStatus = 599;
static constexpr int NoContent = 204;

static bool isDigit(char Byte) {
  return std::isdigit(static_cast<unsigned char>(Byte));
}

static bool isTokenByte(char Byte) {
  static constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  const bool IsLetter =
      (Byte >= 'a' && Byte <= 'z') || (Byte >= 'A' && Byte <= 'Z');
  return IsLetter || isDigit(Byte) ||
         Others.find(Byte) != std::string_view::npos;
}

bool isToken(const std::string &Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenByte);
}

bool hasControlByte(const std::string &Text) {
  return std::any_of(Text.begin(), Text.end(), [](char Byte) {
    const auto Value = static_cast<unsigned char>(Byte);
    return (Value < 0x20 && Value != '\t') || Value == 0x7f;
  });
}

bool isBodyLength(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxLengthDigits &&
         std::all_of(Text.begin(), Text.end(), isDigit);
}

/// Returns all options that the Connection header lists.
static std::vector<std::string>
listConnectionOptions(const httplib::Headers &Headers) {
  std::vector<std::string> Options;
  const auto Range = Headers.equal_range("Connection");
  for (auto Each = Range.first; Each != Range.second; ++Each) {
    std::istringstream Stream(Each->second);
    std::string Option;
    while (std::getline(Stream, Option, ','))
      Options.push_back(trimText(Option));
  }
  return Options;
}

bool hasConnectionOption(const httplib::Headers &Headers,
                         const std::string &Option) {
  const std::vector<std::string> Options = listConnectionOptions(Headers);
  return std::any_of(Options.begin(), Options.end(),
                     [&](const std::string &Each) {
                       return equalsIgnoringCase(Each, Option);
                     });
}

/// Returns whether a field says what the body is or where it goes, so that it
/// cannot belong to one connection only.
static bool describesMessage(const std::string &Name) {
  const std::string Lower = toLowerCase(Name);
  return Lower == "host" || Lower.starts_with("content-");
}

const char *findFramingFault(const httplib::Headers &Headers) {
  const size_t Lengths = Headers.count("Content-Length");
  const size_t Encodings = Headers.count("Transfer-Encoding");
  if (Lengths + Encodings > 1)
    return "conflicting-length";
  if (Lengths == 1 && !isBodyLength(Headers.find("Content-Length")->second))
    return "content-length";
  if (Encodings == 1 &&
      !equalsIgnoringCase(Headers.find("Transfer-Encoding")->second, "chunked"))
    return "transfer-encoding";
  const std::vector<std::string> Options = listConnectionOptions(Headers);
  return std::any_of(Options.begin(), Options.end(), describesMessage)
             ? "connection-option"
             : nullptr;
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

/// Returns whether headers without a framing fault announce a body that is not
/// empty.
static bool announcesBody(const httplib::Headers &Headers) {
  const auto Length = Headers.find("Content-Length");
  if (Length == Headers.end())
    return Headers.count("Transfer-Encoding") > 0;
  return Length->second != "0";
}

const char *findRequestFault(const httplib::Request &Request) {
  if (!isServedMethod(Request.method))
    return "method";
  if (Request.version != "HTTP/1.1")
    return "version";
  if (Request.get_header_value_count("Host") != 1)
    return "host";
  if (Request.target.empty() || Request.target[0] != '/' ||
      hasControlByte(Request.target))
    return "target";
  if (const char *Fault = findFramingFault(Request.headers))
    return Fault;
  if (announcesBody(Request.headers) && !mayHaveBody(Request.method))
    return "unexpected-body";
  if (Request.has_header("Transfer-Encoding") && Request.method == "DELETE")
    return "unexpected-body";
  return nullptr;
}

const char *findResponseFault(const httplib::Response &Response) {
  if (Response.status < FirstStatus || Response.status > LastStatus)
    return "status";
  if (hasControlByte(Response.reason))
    return "reason";
  if (const char *Fault = findFramingFault(Response.headers))
    return Fault;
  const bool IsChunked = Response.has_header("Transfer-Encoding");
  if (IsChunked && Response.version != "HTTP/1.1")
    return "version";
  const bool IsBodyless =
      Response.status < FirstFinalStatus || Response.status == NoContent;
  if (IsBodyless && announcesBody(Response.headers))
    return "unexpected-body";
  return nullptr;
}

} // namespace canvaswick
