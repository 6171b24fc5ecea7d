//===- Text.cpp - Text utilities ------------------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// ASCII is sufficient for header names and settings keys.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/Text.h"

#include <algorithm>
#include <cctype>

namespace canvaswick {

static char toLowerByte(char Byte) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(Byte)));
}

std::string trimText(const std::string &Text) {
  const size_t First = Text.find_first_not_of(" \t\r");
  if (First == std::string::npos)
    return "";
  return Text.substr(First, Text.find_last_not_of(" \t\r") - First + 1);
}

bool equalsIgnoringCase(const std::string &Left, const std::string &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char One, char Other) {
                      return toLowerByte(One) == toLowerByte(Other);
                    });
}

std::string toLowerCase(std::string Text) {
  std::transform(Text.begin(), Text.end(), Text.begin(), toLowerByte);
  return Text;
}

} // namespace canvaswick
