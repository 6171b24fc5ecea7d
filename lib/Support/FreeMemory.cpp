//===- FreeMemory.cpp - Returning free memory to the system ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Uses the extension of the GNU C library.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/FreeMemory.h"

#include <malloc.h>

namespace canvaswick {

void releaseFreeMemory() { (void)::malloc_trim(0); }

} // namespace canvaswick
