//===- ClaimGate.cpp - Interface that grants claims on requests -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines the names of claim outcomes in reports.
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
