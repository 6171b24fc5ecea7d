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

#include <memory>

namespace canvaswick {

/// Returns this thread's reader. Making one takes longer than reading a short
/// text: with one for each of the 1,163 texts that a start reads in a fleet of
/// 443, it took 17 to 27 ms of processor time, and 10 to 14 with one a thread
/// (FleetAtSizeTest, eight and three runs on a shared machine).
static Json::CharReader &getReader() {
  thread_local const std::unique_ptr<Json::CharReader> Reader(
      Json::CharReaderBuilder().newCharReader());
  return *Reader;
}

bool parseJson(const std::string &Text, Json::Value &Value) {
  const char *Begin = Text.data();
  std::string Problem;
  // The library throws where values lie too deep in each other.
  try {
    return getReader().parse(Begin, Begin + Text.size(), &Value, &Problem);
  } catch (const Json::Exception &) {
    return false;
  }
}

static Json::StreamWriterBuilder makeWriterBuilder() {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Builder;
}

std::string writeJson(const Json::Value &Value) {
  // Writers are made from it on any thread; nothing changes it.
  static const Json::StreamWriterBuilder Builder = makeWriterBuilder();
  return Json::writeString(Builder, Value);
}

} // namespace canvaswick
