//===- Text.h - Text utilities ----------------------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// String functions shared by several libraries.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_TEXT_H
#define CANVASWICK_SUPPORT_TEXT_H

#include <string>

namespace canvaswick {

/// Returns Text without leading and trailing spaces, tabs and carriage returns.
std::string trimText(const std::string &Text);

/// Returns whether two texts are equal, ignoring the case of ASCII letters.
bool equalsIgnoringCase(const std::string &Left, const std::string &Right);

/// Returns Text with ASCII letters converted to lower case.
std::string toLowerCase(std::string Text);

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_TEXT_H
