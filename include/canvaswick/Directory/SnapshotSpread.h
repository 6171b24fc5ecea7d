//===- SnapshotSpread.h - When daemons load the snapshot --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// All daemons of a fleet that starts load the snapshot through the store's
/// link. If they did so at once, each would wait for all others and none would
/// be served in time.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_SNAPSHOTSPREAD_H
#define CANVASWICK_DIRECTORY_SNAPSHOTSPREAD_H

#include "canvaswick/Support/Time.h"

#include <cstddef>

namespace canvaswick {

/// Returns the time between two looks of one daemon for a newer snapshot, long
/// enough for all Daemons to load one of Items items in it. Draw is a uniform
/// random number from 0 to 1.
Duration computeSnapshotInterval(size_t Daemons, size_t Items, double Draw);

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_SNAPSHOTSPREAD_H
