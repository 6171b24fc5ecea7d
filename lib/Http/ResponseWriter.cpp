//===- ResponseWriter.cpp - Responses of handlers -------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Writes the head and the body at once, in one packet if they are short.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/ResponseWriter.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <string>

namespace canvaswick {

/// The idle time that kept connections are announced, in seconds: shorter than
/// they may be idle.
static constexpr int AnnouncedIdleSeconds = 5;

namespace {

struct StatusName {
  int Status;
  const char *Name;
};

} // namespace

static constexpr StatusName StatusNames[] = {
    {200, "OK"},
    {204, "No Content"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {410, "Gone"},
    {411, "Length Required"},
    {412, "Precondition Failed"},
    {413, "Payload Too Large"},
    {421, "Misdirected Request"},
    {422, "Unprocessable Content"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
};

static const char *getStatusName(int Status) {
  const auto *Found = std::find_if(
      std::begin(StatusNames), std::end(StatusNames),
      [Status](const StatusName &Each) { return Each.Status == Status; });
  return Found == std::end(StatusNames) ? "Unnamed" : Found->Name;
}

bool writeResponse(SocketStream &Stream, const httplib::Response &Response,
                   const ResponseForm &Form) {
  const int Status = Response.status < 0 ? 200 : Response.status;
  std::string Bytes =
      fmt::format("HTTP/1.1 {} {}\r\n", Status, getStatusName(Status));
  for (const auto &[Name, Value] : Response.headers)
    Bytes += Name + ": " + Value + "\r\n";
  if (!Response.has_header("Content-Length"))
    Bytes += fmt::format("Content-Length: {}\r\n", Response.body.size());
  if (Form.IsLast)
    Bytes += "Connection: close\r\n";
  else if (!Response.has_header("Keep-Alive"))
    Bytes += fmt::format("Keep-Alive: timeout={}\r\n", AnnouncedIdleSeconds);
  Bytes += "\r\n";
  if (!Form.IsHeadOnly)
    Bytes += Response.body;
  return Stream.write(Bytes.data(), Bytes.size()) >= 0;
}

} // namespace canvaswick
