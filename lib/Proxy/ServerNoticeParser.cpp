//===- ServerNoticeParser.cpp - Parses server notices ---------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Numbers are written in plain digits with an optional fraction. Signs,
/// exponents, words and values that do not fit into a double are malformed.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/ServerNoticeParser.h"

#include <algorithm>
#include <charconv>
#include <ctime>

namespace canvaswick {

/// The status with which a server reports that it is overloaded or unavailable,
/// and for how long (Retry-After).
static constexpr int UnavailableStatus = 503;

/// Responses with a lower status are not failures of the server.
static constexpr int MinFailureStatus = 500;

/// A longer backoff is taken for a mistake, and the value for malformed.
static constexpr Duration MaxPlausibleBackoff = fromSeconds(86400);

/// Parses a number that is not negative.
static std::optional<double> parseNumber(const std::string &Text) {
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
  if (const std::optional<double> Seconds = parseNumber(Text)) {
    if (*Seconds > toSeconds(MaxPlausibleBackoff))
      return std::nullopt;
    return fromSeconds(*Seconds);
  }
  std::tm Date{};
  const char *Unparsed =
      ::strptime(Text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &Date);
  if (!Unparsed || *Unparsed != '\0')
    return std::nullopt;
  const int64_t Until = static_cast<int64_t>(::timegm(&Date)) * 1000;
  if (Until - CalendarMillis > toMillis(MaxPlausibleBackoff))
    return std::nullopt;
  return fromMillis(std::max<int64_t>(Until - CalendarMillis, 0));
}

/// If the limit is named several times, the lowest value applies.
static std::optional<double> parseLimit(const httplib::Response &Response,
                                        const std::string &Name,
                                        bool &IsMalformed) {
  std::optional<double> Lowest;
  const auto Range = Response.headers.equal_range(Name);
  for (auto Each = Range.first; Each != Range.second; ++Each) {
    const std::optional<double> Limit = parseNumber(Each->second);
    IsMalformed |= !Limit;
    if (Limit)
      Lowest = std::min(Lowest.value_or(*Limit), *Limit);
  }
  return Lowest;
}

/// If several backoffs are named, the longest one applies.
static std::optional<Duration> parseBackoff(const httplib::Response &Response,
                                            int64_t CalendarMillis,
                                            bool &IsMalformed) {
  std::optional<Duration> Longest;
  const auto Range = Response.headers.equal_range("Retry-After");
  for (auto Each = Range.first; Each != Range.second; ++Each) {
    const std::optional<Duration> Backoff =
        parseRetryAfter(Each->second, CalendarMillis);
    IsMalformed |= !Backoff;
    if (Backoff)
      Longest = std::max(Longest.value_or(*Backoff), *Backoff);
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
        parseLimit(Response, Names.ServerLimit, Notice.IsMalformed);
  Notice.IsLeaving =
      !Names.ServerLeaving.empty() &&
      Response.get_header_value(Names.ServerLeaving) == LeavingValue;
  if (Response.status == UnavailableStatus)
    Notice.Backoff = parseBackoff(Response, CalendarMillis, Notice.IsMalformed);
  // Only a response of the server itself withdraws the limit, and only if it
  // does not name one that is malformed.
  const bool IsProved =
      Names.AnswerProof.empty() || Response.has_header(Names.AnswerProof);
  Notice.MayEndLimit = IsProved && Response.status < MinFailureStatus &&
                       !Response.has_header(Names.ServerLimit);
  return Notice;
}

} // namespace canvaswick
