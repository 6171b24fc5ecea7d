//===- StoreBackoff.h - Backoff after failures of the store -----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// While the store answers no daemon of a hall, all its daemons retry. A daemon
/// that is answered notifies the others, so what matters is the request rate of
/// the whole hall, not that of each daemon.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_STOREBACKOFF_H
#define CANVASWICK_DIRECTORY_STOREBACKOFF_H

#include "canvaswick/Support/Time.h"

#include <cstddef>

namespace canvaswick {

/// Returns how long a daemon waits before it sends a request to the store
/// again. Failures is the number of failures in a row, at least 1. HallSize is
/// the number of known daemons in its hall, including itself. Draw is in [0, 1)
/// and spreads the daemons, so that they don't retry together.
Duration computeStoreBackoff(int Failures, size_t HallSize, double Draw);

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_STOREBACKOFF_H
