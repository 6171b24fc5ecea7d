//===- ServerNoticeParser.cpp - Reads a server's notice off an answer -----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A number is written in plain digits; signs, exponents, words and what does
/// not fit a double are no numbers.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/ServerNoticeParser.h"

#include <algorithm>
#include <charconv>
#include <ctime>

namespace canvaswick {

/// A server says that it is overloaded or away with this status, and may say
/// for how long.
static constexpr int UnavailableStatus = 503;

/// Answers below this status are no failures of the server.
static constexpr int FirstFailureStatus = 500;

/// A server that asks for more than a day of rest has made a mistake, and is
/// taken for one that names no time.
static constexpr Duration MostBelieved = fromSeconds(86400);

/// Reads a number that is not negative.
static std::optional<double> readNumber(const std::string &Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Failure] =
      std::from_chars(Text.data(), End, Value, std::chars_format::fixed);
  const bool IsDigit = !Text.empty() && Text[0] >= '0' && Text[0] <= '9';
  if (Failure != std::errc() || Last != End || !IsDigit)
    return std::nullopt;
  return Value;
}

std::optional<Duration> parseRetryAfter(const std::string &Text,
                                        int64_t CalendarMillis) {
  if (const std::optional<double> Seconds = readNumber(Text)) {
    if (*Seconds > toSeconds(MostBelieved))
      return std::nullopt;
    return fromSeconds(*Seconds);
  }
  std::tm Date{};
  const char *Rest =
      ::strptime(Text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &Date);
  if (!Rest || *Rest != '\0')
    return std::nullopt;
  const int64_t Until = static_cast<int64_t>(::timegm(&Date)) * 1000;
  if (Until - CalendarMillis > toMillis(MostBelieved))
    return std::nullopt;
  return fromMillis(std::max<int64_t>(Until - CalendarMillis, 0));
}

/// Of a limit that is named more than once the lowest counts.
static std::optional<double> readLimit(const httplib::Response &Response,
                                       const std::string &Name,
                                       bool &IsMalformed) {
  std::optional<double> Lowest;
  const auto Range = Response.headers.equal_range(Name);
  for (auto Each = Range.first; Each != Range.second; ++Each) {
    const std::optional<double> Limit = readNumber(Each->second);
    IsMalformed |= !Limit;
    if (Limit)
      Lowest = std::min(Lowest.value_or(*Limit), *Limit);
  }
  return Lowest;
}

/// Of a rest that is asked for more than once the longest counts.
static std::optional<Duration> readRest(const httplib::Response &Response,
                                        int64_t CalendarMillis,
                                        bool &IsMalformed) {
  std::optional<Duration> Longest;
  const auto Range = Response.headers.equal_range("Retry-After");
  for (auto Each = Range.first; Each != Range.second; ++Each) {
    const std::optional<Duration> Rest =
        parseRetryAfter(Each->second, CalendarMillis);
    IsMalformed |= !Rest;
    if (Rest)
      Longest = std::max(Longest.value_or(*Rest), *Rest);
  }
  if (Longest == Duration::zero())
    return std::nullopt;
  return Longest;
}

ServerNotice parseServerNotice(const httplib::Response &Response,
                               const HeaderNames &Names,
                               int64_t CalendarMillis) {
  ServerNotice Notice;
  if (!Names.ServerLimit.empty())
    Notice.RequestsPerSecond =
        readLimit(Response, Names.ServerLimit, Notice.IsMalformed);
  Notice.IsLeaving =
      !Names.ServerLeaving.empty() &&
      Response.get_header_value(Names.ServerLeaving) == LeavingValue;
  if (Response.status == UnavailableStatus)
    Notice.Backoff = readRest(Response, CalendarMillis, Notice.IsMalformed);
  // A limit that was named and could not be read is not taken back, nor by an
  // answer that may not be the server's own.
  const bool IsProved =
      Names.AnswerProof.empty() || Response.has_header(Names.AnswerProof);
  Notice.MayEndLimit = IsProved && Response.status < FirstFailureStatus &&
                       !Response.has_header(Names.ServerLimit);
  return Notice;
}

} // namespace canvaswick
