//===- ServerNoticeParser.h - Reads a server's notice off an ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What of an answer's head concerns its server, not the request.
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

/// Reads a Retry-After (RFC 9110, 10.2.3): seconds, fractions allowed, or a
/// date, counted from CalendarMillis. A date in the past is no wait. Returns
/// nothing for any other text.
std::optional<Duration> parseRetryAfter(const std::string &Text,
                                        int64_t CalendarMillis);

/// Reads a notice. Words that cannot be understood are left out.
ServerNotice parseServerNotice(const httplib::Response &Response,
                               const HeaderNames &Names,
                               int64_t CalendarMillis);

} // namespace canvaswick

#endif // CANVASWICK_PROXY_SERVERNOTICEPARSER_H
