//===- QuotaTimes.h - Time constants of fleet quotas ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Time constants that both the buckets and the usable quota are based on.
/// Private to this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_ADMISSION_QUOTATIMES_H
#define CANVASWICK_LIB_ADMISSION_QUOTATIMES_H

#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// Time constant of a daemon's demand: a few intervals between messages, so
/// that a surge is reported soon.
inline constexpr Duration DemandTimeConstant = fromMillis(250);

/// Time constant of a daemon's typical rate: longer than the time between two
/// requests of most organisations at one daemon.
inline constexpr Duration TypicalTimeConstant = fromSeconds(4);

/// Requests added as a prior to those within DemandTimeConstant, so that the
/// first request after a pause does not look like a surge of the whole fleet.
inline constexpr double PriorRequests = 3;

} // namespace canvaswick

#endif // CANVASWICK_LIB_ADMISSION_QUOTATIMES_H
