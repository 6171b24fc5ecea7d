//===- QuotaTimes.h - Means over which allowances look ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Times that both the buckets and what may be used of them go by. Private to
/// this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_ADMISSION_QUOTATIMES_H
#define CANVASWICK_LIB_ADMISSION_QUOTATIMES_H

#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// The rate at which a daemon is asked is the mean over about this time: some
/// messages between daemons long, so that a rise is told soon.
inline constexpr Duration AskedFade = fromMillis(250);

/// What is usual of a daemon is the mean over about this time: longer than the
/// time between two requests of most organisations at a daemon.
inline constexpr Duration UsualFade = fromSeconds(4);

/// Requests that are imagined beside those within AskedFade, so that the first
/// one after a while is not taken for a rise of the whole fleet.
inline constexpr double ImaginedAsked = 3;

} // namespace canvaswick

#endif // CANVASWICK_LIB_ADMISSION_QUOTATIMES_H
