//===- JsonText.cpp - JSON as text ----------------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Wraps jsoncpp's reader and writer builders.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Json/JsonText.h"

#include <sstream>

namespace canvaswick {

bool parseJson(const std::string &Text, Json::Value &Value) {
  std::istringstream Stream(Text);
  std::string Problem;
  // The library throws where values lie too deep in each other.
  try {
    return Json::parseFromStream(Json::CharReaderBuilder(), Stream, &Value,
                                 &Problem);
  } catch (const Json::Exception &) {
    return false;
  }
}

std::string writeJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Writer;
  Writer["indentation"] = "";
  return Json::writeString(Writer, Value);
}

} // namespace canvaswick
