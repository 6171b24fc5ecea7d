//===- Text.h - Small helpers for text --------------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What several libraries need of plain text.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_TEXT_H
#define CANVASWICK_SUPPORT_TEXT_H

#include <string>

namespace canvaswick {

/// Returns Text without spaces, tabs and carriage returns at its ends.
std::string trimText(const std::string &Text);

/// Returns whether two texts are the same but for the case of ASCII letters.
bool equalsIgnoringCase(const std::string &Left, const std::string &Right);

/// Returns Text in lower case, by ASCII.
std::string toLowerCase(std::string Text);

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_TEXT_H
