//===- Outcome.cpp - Names of outcomes ------------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines the names of outcomes that appear in reports.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/Outcome.h"
#include "canvaswick/Support/EnumNames.h"

namespace canvaswick {

static constexpr EnumNames<RequestOutcome, OutcomeCount> RequestOutcomeNames = {
    {
        {RequestOutcome::Good, "good"},
        {RequestOutcome::Slow, "slow"},
        {RequestOutcome::Failed, "failed"},
        {RequestOutcome::Shed, "shed"},
        {RequestOutcome::Canceled, "canceled"},
        {RequestOutcome::Unreachable, "unreachable"},
        {RequestOutcome::Overdue, "overdue"},
        {RequestOutcome::FailedEarly, "failed-early"},
        {RequestOutcome::FailedAfterWork, "failed-after-work"},
        {RequestOutcome::Misdirected, "misdirected"},
    }};

const char *getName(RequestOutcome Outcome) {
  return getEnumName(RequestOutcomeNames, Outcome);
}

} // namespace canvaswick
