//===- TreeText.h - Edits and compares settings trees as text ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What the operators' tool needs besides the checks: one value changed without
/// touching the rest, and a diff by section and key.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_OPERATOR_TREETEXT_H
#define CANVASWICK_OPERATOR_TREETEXT_H

#include "canvaswick/Settings/IniDocument.h"

#include <string>
#include <vector>

namespace canvaswick {

/// Returns Text with Key set to Value in a section that must be there. Comments
/// and order stay. Fails with NotFound if there is no such section.
Result<std::string> setTreeValue(const std::string &Text,
                                 const std::string &Section,
                                 const std::string &Key,
                                 const std::string &Value);

/// Returns the differences between two trees, one a line: "+ [section] key =
/// value" for what is new and "- ..." for what is gone.
std::vector<std::string> diffTrees(const IniDocument &Old,
                                   const IniDocument &New);

} // namespace canvaswick

#endif // CANVASWICK_OPERATOR_TREETEXT_H
