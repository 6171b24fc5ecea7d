//===- AllowanceWire.cpp - Levels of organisations in messages ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Short arrays in place of objects, since there may be many.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/AllowanceWire.h"
#include "HexNumber.h"

#include <fmt/format.h>

#include <cmath>

namespace canvaswick {

/// A level's requests a second count in these parts of one. More than the most
/// are taken for a mistake.
static constexpr double AskedParts = 100;
static constexpr double MostAsked = 1e9;

Json::Value encodeLevels(const std::vector<QuotaUsage> &Levels) {
  Json::Value Rows(Json::arrayValue);
  for (const QuotaUsage &Each : Levels) {
    Json::Value Row(Json::arrayValue);
    Row.append(fmt::format("{:x}", Each.Organisation));
    Row.append(
        static_cast<Json::Int64>(std::llround(Each.Demand * AskedParts)));
    Row.append(static_cast<Json::Int64>(Each.Admitted));
    Rows.append(Row);
  }
  return Rows;
}

bool decodeLevel(const Json::Value &Row, QuotaUsage &Level) {
  if (!Row.isArray() || Row.size() != 3 || !Row[1].isInt64() ||
      !Row[2].isInt64())
    return false;
  Level.Demand = static_cast<double>(Row[1].asInt64()) / AskedParts;
  Level.Admitted = Row[2].asInt64();
  return Level.Demand >= 0 && Level.Demand <= MostAsked &&
         decodeHex(Row[0], Level.Organisation);
}

bool decodeLevels(const Json::Value &Rows, std::vector<QuotaUsage> &Levels) {
  if (!Rows.isArray())
    return false;
  for (const Json::Value &Row : Rows) {
    QuotaUsage Level;
    if (!decodeLevel(Row, Level))
      return false;
    Levels.push_back(Level);
  }
  return true;
}

} // namespace canvaswick
