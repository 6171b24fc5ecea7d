//===- CallFailure.cpp - What a failed call means for who made it ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One table a service.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/CallFailure.h"

#include <fmt/format.h>

#include <algorithm>

namespace canvaswick {

static bool wasNeverSent(ExchangeEnd End) {
  return End == ExchangeEnd::NotSent || End == ExchangeEnd::NoConnection;
}

Error describeCallFailure(const ExchangeResult &Answer, const std::string &What,
                          const std::string &Whom,
                          std::span<const StatusMeaning> Meanings) {
  if (wasNeverSent(Answer.End))
    return {ErrorKind::Unavailable,
            fmt::format("{}: {} is not reached", What, Whom)};
  if (Answer.End != ExchangeEnd::Complete)
    return {ErrorKind::OutcomeUnknown,
            fmt::format("{}: no answer of {}", What, Whom)};
  const auto Found = std::find_if(
      Meanings.begin(), Meanings.end(),
      [&](const StatusMeaning &Each) { return Each.Status == Answer.Status; });
  const ErrorKind Kind =
      Found == Meanings.end() ? ErrorKind::OutcomeUnknown : Found->Kind;
  return {Kind, fmt::format("{}: {} answered {}", What, Whom, Answer.Status)};
}

} // namespace canvaswick
