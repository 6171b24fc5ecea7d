//===- ClaimGate.cpp - Names of the kinds of answer to a claim ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Holds the table that reports print.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Claims/ClaimGate.h"
#include "canvaswick/Support/EnumNames.h"

namespace canvaswick {

static constexpr EnumNames<ClaimKind, 6> ClaimKindNames = {{
    {ClaimKind::Granted, "granted"},
    {ClaimKind::FirstAnswer, "first-answer"},
    {ClaimKind::StillRunning, "still-running"},
    {ClaimKind::NotKnown, "not-known"},
    {ClaimKind::DifferentRequest, "different"},
    {ClaimKind::Unavailable, "unavailable"},
}};

const char *getName(ClaimKind Kind) {
  return getEnumName(ClaimKindNames, Kind);
}

} // namespace canvaswick
