//===- TreeEdit.h - Edits of the published settings -------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What the commands that publish settings have in common.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_OPERATOR_TREEEDIT_H
#define CANVASWICK_LIB_OPERATOR_TREEEDIT_H

#include "canvaswick/Operator/Commands.h"

#include <functional>
#include <string>

namespace canvaswick {

/// Makes a new tree from the text of the newest one.
using TreeEdit = std::function<Result<std::string>(const std::string &Text)>;

/// Returns the address of --platform. Fails with InvalidArgument.
Result<Endpoint> parsePlatform(const OperatorOptions &Options);

/// Returns a request without a tree, with the options' author, note and change
/// ID, or a random change ID.
ConfigRequest makeRequest(const OperatorOptions &Options);

/// Adds to an error with an unknown outcome how to find out whether the change
/// was published.
Error addRecoveryHint(Error Failure, const ConfigRequest &Request);

/// Applies an edit to the newest tree and publishes the result. Tries again if
/// others publish a version at the same time. Returns the new version. Fails
/// with the errors of Edit and of ConfigPublisher.
Result<uint64_t> publishEdit(const OperatorOptions &Options,
                             const std::string &Note, const TreeEdit &Edit);

} // namespace canvaswick

#endif // CANVASWICK_LIB_OPERATOR_TREEEDIT_H
