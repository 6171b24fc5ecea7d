//===- JsonText.h - Parses and writes JSON text -----------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Parses and writes JSON text with jsoncpp, with the same options everywhere.
/// Thread-safe.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_JSON_JSONTEXT_H
#define CANVASWICK_JSON_JSONTEXT_H

#include <json/json.h>

#include <string>

namespace canvaswick {

/// Parses Text into Value. Returns false if Text is not JSON or is nested too
/// deeply for jsoncpp. Never throws for malformed text.
bool parseJson(const std::string &Text, Json::Value &Value);

/// Returns Value as JSON text without white space.
std::string writeJson(const Json::Value &Value);

} // namespace canvaswick

#endif // CANVASWICK_JSON_JSONTEXT_H
