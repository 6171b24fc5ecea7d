//===- Error.h - Typed errors and results as values -------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Every recoverable failure in canvaswick is an Error inside a Result. Nothing
/// throws across the project's own interfaces.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_ERROR_H
#define CANVASWICK_SUPPORT_ERROR_H

#include <boost/outcome.hpp>

#include <string>

namespace canvaswick {

/// The kinds of failure that callers of a function tell apart.
enum class ErrorKind {
  InvalidArgument,
  NotFound,
  Conflict,
  Unavailable,
  Timeout,
  Unauthorized,
  RateLimited,
  Io,
  OutcomeUnknown,
};

/// Returns the stable name of an error kind, as logs and reports print it.
const char *getName(ErrorKind Kind);

/// One failure: what kind it is and a sentence for the person who reads it.
/// The message never holds a secret.
struct Error {
  ErrorKind Kind;
  std::string Message;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Either a value or an Error. Looking at the wrong side ends the process,
/// because that is a broken invariant and not a failure to recover from.
template <typename T>
using Result = outcome::result<T, Error, outcome::policy::terminate>;

/// Builds the failing side of a Result.
inline auto makeError(ErrorKind Kind, std::string Message) {
  return outcome::failure(Error{Kind, std::move(Message)});
}

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_ERROR_H
