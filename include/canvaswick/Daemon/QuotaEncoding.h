//===- QuotaEncoding.h - Encoding of organisations' usage -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Encodes the usage of organisations for messages between daemons, in
/// datagrams and calls alike. Each row holds the organisation's id in
/// hexadecimal digits, its demand in hundredths of a request per second, and
/// the number of requests admitted since the sender began to count.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_QUOTAENCODING_H
#define CANVASWICK_DAEMON_QUOTAENCODING_H

#include "canvaswick/Admission/FleetQuota.h"

#include <json/json.h>

#include <vector>

namespace canvaswick {

/// Encodes usages as a list of rows.
Json::Value encodeUsages(const std::vector<QuotaUsage> &Usages);

/// Decodes one row. Returns false if it is malformed.
bool decodeUsage(const Json::Value &Row, QuotaUsage &Usage);

/// Decodes a list of rows. Returns false if the value is not a list or a row is
/// malformed.
bool decodeUsages(const Json::Value &Rows, std::vector<QuotaUsage> &Usages);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_QUOTAENCODING_H
