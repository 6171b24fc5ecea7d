//===- AllowanceWire.h - Levels of organisations in messages ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// How daemons write what organisations asked of them, over datagrams and calls
/// alike: a list of the organisation's name in hexadecimal digits, hundredths
/// of a request a second that were asked, and the requests admitted since the
/// teller began to count.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_ALLOWANCEWIRE_H
#define CANVASWICK_DAEMON_ALLOWANCEWIRE_H

#include "canvaswick/Admission/FleetQuota.h"

#include <json/json.h>

#include <vector>

namespace canvaswick {

/// Writes levels into a message.
Json::Value encodeLevels(const std::vector<QuotaUsage> &Levels);

/// Reads one level. Returns false if it is malformed.
bool decodeLevel(const Json::Value &Row, QuotaUsage &Level);

/// Reads a list of levels. Returns false if it is none, or one is malformed.
bool decodeLevels(const Json::Value &Rows, std::vector<QuotaUsage> &Levels);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_ALLOWANCEWIRE_H
