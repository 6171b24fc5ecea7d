//===- RetryTable.h - What retries were spent on ----------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Builds a table of the retries taken from the services' budgets from the
/// daemons' logs.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_OPERATOR_RETRYTABLE_H
#define CANVASWICK_OPERATOR_RETRYTABLE_H

#include "canvaswick/Operator/RequestReport.h"

namespace canvaswick {

/// Returns a table for each service, the one with the most retries first: how
/// many retries were taken, by the outcome of the attempt before, how many of
/// them served the request, and how many requests ended without an answer after
/// they had arrived at a server.
std::string makeRetryTable(const std::vector<LogLine> &Lines);

} // namespace canvaswick

#endif // CANVASWICK_OPERATOR_RETRYTABLE_H
