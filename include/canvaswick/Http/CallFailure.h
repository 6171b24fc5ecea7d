//===- CallFailure.h - Converts failed calls to errors ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The statuses of outside services have different meanings, but a missing
/// answer means the same for all of them.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_CALLFAILURE_H
#define CANVASWICK_HTTP_CALLFAILURE_H

#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Support/Error.h"

#include <span>
#include <string>

namespace canvaswick {

/// Maps one HTTP status of a service to an error kind.
struct StatusMeaning {
  int Status;
  ErrorKind Kind;
};

/// Converts a failed call to an Error. CallName and ServiceName appear in its
/// message. The kind is Unavailable if the request was not sent. It is
/// OutcomeUnknown if no complete answer arrived, or if Meanings does not
/// contain the status: the service may have executed the call.
Error describeCallFailure(const ExchangeResult &Answer,
                          const std::string &CallName,
                          const std::string &ServiceName,
                          std::span<const StatusMeaning> Meanings);

} // namespace canvaswick

#endif // CANVASWICK_HTTP_CALLFAILURE_H
