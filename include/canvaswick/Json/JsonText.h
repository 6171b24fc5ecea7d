//===- JsonText.h - JSON as text --------------------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One way to read and write JSON, so that no caller repeats jsoncpp's
/// builders.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_JSON_JSONTEXT_H
#define CANVASWICK_JSON_JSONTEXT_H

#include <json/json.h>

#include <string>

namespace canvaswick {

/// Reads Text into Value. Returns false if it is not JSON.
bool parseJson(const std::string &Text, Json::Value &Value);

/// Writes Value without white space.
std::string writeJson(const Json::Value &Value);

} // namespace canvaswick

#endif // CANVASWICK_JSON_JSONTEXT_H
