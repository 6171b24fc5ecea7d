//===- CallFailure.cpp - Converts failed calls to errors ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each client passes a table of the statuses of its service.
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/CallFailure.h"

#include <fmt/format.h>

#include <algorithm>

namespace canvaswick {

static bool wasNeverSent(ExchangeEnd End) {
  return End == ExchangeEnd::NotSent || End == ExchangeEnd::NoConnection;
}

Error describeCallFailure(const ExchangeResult &Answer,
                          const std::string &CallName,
                          const std::string &ServiceName,
                          std::span<const StatusMeaning> Meanings) {
  if (wasNeverSent(Answer.End))
    return {ErrorKind::Unavailable,
            fmt::format("{}: cannot reach {}", CallName, ServiceName)};
  if (Answer.End != ExchangeEnd::Complete && Answer.BytesReceived > 0)
    return {ErrorKind::OutcomeUnknown,
            fmt::format("{}: answer from {} incomplete after {} bytes",
                        CallName, ServiceName, Answer.BytesReceived)};
  if (Answer.End != ExchangeEnd::Complete)
    return {ErrorKind::OutcomeUnknown,
            fmt::format("{}: no answer from {}", CallName, ServiceName)};
  const auto Found = std::find_if(
      Meanings.begin(), Meanings.end(),
      [&](const StatusMeaning &Each) { return Each.Status == Answer.Status; });
  const ErrorKind Kind =
      Found == Meanings.end() ? ErrorKind::OutcomeUnknown : Found->Kind;
  return {Kind, fmt::format("{}: {} answered {}", CallName, ServiceName,
                            Answer.Status)};
}

} // namespace canvaswick
