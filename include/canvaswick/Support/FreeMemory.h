//===- FreeMemory.h - Returning free memory to the system -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Decoding all items of a large fleet takes many times the memory of the
/// result, in the arena of the thread that does it. The allocator would keep it
/// for that thread, which may never need it again.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_FREEMEMORY_H
#define CANVASWICK_SUPPORT_FREEMEMORY_H

namespace canvaswick {

/// Returns the free memory of all threads to the system. Takes some
/// milliseconds.
void releaseFreeMemory();

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_FREEMEMORY_H
