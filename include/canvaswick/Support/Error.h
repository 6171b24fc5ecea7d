//===- Error.h - Error kinds and result type --------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Every recoverable failure in canvaswick is an Error in a Result. The
/// interfaces of the project do not throw exceptions.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_ERROR_H
#define CANVASWICK_SUPPORT_ERROR_H

#include <boost/outcome.hpp>

#include <string>

namespace canvaswick {

/// The kinds of failure that callers distinguish.
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

/// Returns the stable name of an error kind for logs and reports.
const char *getName(ErrorKind Kind);

/// A failure: its kind, and a message for people. The message must not contain
/// a secret.
struct Error {
  ErrorKind Kind;
  std::string Message;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// Either a value or an Error. Access to the wrong one terminates the process,
/// because it is a programming error and not a recoverable failure.
template <typename T>
using Result = outcome::result<T, Error, outcome::policy::terminate>;

/// Creates the failure side of a Result.
inline auto makeError(ErrorKind Kind, std::string Message) {
  return outcome::failure(Error{Kind, std::move(Message)});
}

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_ERROR_H
