//===- Exceptions.h - Exceptions of libraries ----------------- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Errors of this project are values, but a library may throw, and so may an
/// allocation. Threads end such an exception here.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_EXCEPTIONS_H
#define CANVASWICK_SUPPORT_EXCEPTIONS_H

#include <functional>

namespace canvaswick {

/// Runs Work and logs an exception as Event. Returns whether there was none.
bool runAndLogExceptions(const char *Event, const std::function<void()> &Work);

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_EXCEPTIONS_H
