//===- Error.cpp - Names of error kinds -----------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines the names of error kinds for logs and reports.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/Error.h"
#include "canvaswick/Support/EnumNames.h"

namespace canvaswick {

static constexpr EnumNames<ErrorKind, 9> ErrorKindNames = {{
    {ErrorKind::InvalidArgument, "invalid-argument"},
    {ErrorKind::NotFound, "not-found"},
    {ErrorKind::Conflict, "conflict"},
    {ErrorKind::Unavailable, "unavailable"},
    {ErrorKind::Timeout, "timeout"},
    {ErrorKind::Unauthorized, "unauthorized"},
    {ErrorKind::RateLimited, "rate-limited"},
    {ErrorKind::Io, "io"},
    {ErrorKind::OutcomeUnknown, "outcome-unknown"},
}};

const char *getName(ErrorKind Kind) {
  return getEnumName(ErrorKindNames, Kind);
}

} // namespace canvaswick
