//===- Exceptions.cpp - Exceptions of libraries ---------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Logs what an exception says.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/Exceptions.h"
#include "canvaswick/Support/Log.h"

#include <exception>

namespace canvaswick {

bool runAndLogExceptions(const char *Event, const std::function<void()> &Work) {
  try {
    Work();
    return true;
  } catch (const std::exception &Failure) {
    logError(Event, "what={:?}", Failure.what());
  }
  return false;
}

} // namespace canvaswick
