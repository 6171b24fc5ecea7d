//===- TreeText.h - Edits and diffs of settings trees -----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Changes one value in the text of a settings tree without touching the rest,
/// and compares two trees by section and key.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_OPERATOR_TREETEXT_H
#define CANVASWICK_OPERATOR_TREETEXT_H

#include "canvaswick/Settings/IniDocument.h"

#include <string>
#include <vector>

namespace canvaswick {

/// Returns Text with Key set to Value in Section. The assignment becomes the
/// first line of the section; the order and comments of all other lines stay.
/// Fails with NotFound if there is no such section.
Result<std::string> setTreeValue(const std::string &Text,
                                 const std::string &Section,
                                 const std::string &Key,
                                 const std::string &Value);

/// Returns the differences between two trees, one per element: "+ [section] key
/// = value" for an added value and "- ..." for a removed one. A changed value
/// is both.
std::vector<std::string> diffTrees(const IniDocument &Old,
                                   const IniDocument &New);

} // namespace canvaswick

#endif // CANVASWICK_OPERATOR_TREETEXT_H
