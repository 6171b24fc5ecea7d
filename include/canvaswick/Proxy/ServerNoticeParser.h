//===- ServerNoticeParser.h - Parses server notices -------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Parses the headers of a response that concern the server and not the
/// request.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_SERVERNOTICEPARSER_H
#define CANVASWICK_PROXY_SERVERNOTICEPARSER_H

#include "canvaswick/Proxy/ProxyOptions.h"
#include "canvaswick/Routing/ServerNotices.h"

#include <httplib.h>

#include <cstdint>
#include <optional>
#include <string>

namespace canvaswick {

/// Parses a Retry-After header (RFC 9110, 10.2.3): a number of seconds, which
/// may have a fraction, or an HTTP date, which is compared with CalendarMillis
/// (milliseconds since the epoch). A date in the past gives zero. Returns
/// nothing if the text is malformed or the time exceeds one day.
std::optional<Duration> parseRetryAfter(const std::string &Text,
                                        int64_t CalendarMillis);

/// Parses the notice in a response. Malformed values are ignored and set
/// IsMalformed.
ServerNotice parseServerNotice(const httplib::Response &Response,
                               const HeaderNames &Names,
                               int64_t CalendarMillis);

} // namespace canvaswick

#endif // CANVASWICK_PROXY_SERVERNOTICEPARSER_H
