//===- QuotaEncoding.cpp - Encoding of organisations' usage ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Rows are short arrays instead of objects, because there may be many of them.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/QuotaEncoding.h"
#include "HexNumber.h"

#include <fmt/format.h>

#include <cmath>

namespace canvaswick {

/// Demand is encoded in fractions 1/DemandScale of a request per second. A
/// demand above MaxDemand is rejected as malformed.
static constexpr double DemandScale = 100;
static constexpr double MaxDemand = 1e9;

Json::Value encodeUsages(const std::vector<QuotaUsage> &Usages) {
  Json::Value Rows(Json::arrayValue);
  for (const QuotaUsage &Usage : Usages) {
    Json::Value Row(Json::arrayValue);
    Row.append(fmt::format("{:x}", Usage.Organisation));
    Row.append(
        static_cast<Json::Int64>(std::llround(Usage.Demand * DemandScale)));
    Row.append(static_cast<Json::Int64>(Usage.Admitted));
    Rows.append(Row);
  }
  return Rows;
}

bool decodeUsage(const Json::Value &Row, QuotaUsage &Usage) {
  if (!Row.isArray() || Row.size() != 3 || !Row[1].isInt64() ||
      !Row[2].isInt64())
    return false;
  Usage.Demand = static_cast<double>(Row[1].asInt64()) / DemandScale;
  Usage.Admitted = Row[2].asInt64();
  return Usage.Demand >= 0 && Usage.Demand <= MaxDemand &&
         decodeHex(Row[0], Usage.Organisation);
}

bool decodeUsages(const Json::Value &Rows, std::vector<QuotaUsage> &Usages) {
  if (!Rows.isArray())
    return false;
  for (const Json::Value &Row : Rows) {
    QuotaUsage Usage;
    if (!decodeUsage(Row, Usage))
      return false;
    Usages.push_back(Usage);
  }
  return true;
}

} // namespace canvaswick
