//===- CallFailure.h - What a failed call means for who made it -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Clients of outside services differ in what statuses mean there, not in what
/// it means that no answer came.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_CALLFAILURE_H
#define CANVASWICK_HTTP_CALLFAILURE_H

#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Support/Error.h"

#include <span>
#include <string>

namespace canvaswick {

/// What a status of a service means.
struct StatusMeaning {
  int Status;
  ErrorKind Kind;
};

/// Turns what a service answered, or that it did not, into an Error. What names
/// the call, Whom the service, as messages do. A status that is not among the
/// Meanings leaves open whether the call was done, as does no answer.
Error describeCallFailure(const ExchangeResult &Answer, const std::string &What,
                          const std::string &Whom,
                          std::span<const StatusMeaning> Meanings);

} // namespace canvaswick

#endif // CANVASWICK_HTTP_CALLFAILURE_H
