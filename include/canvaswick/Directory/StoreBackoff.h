//===- StoreBackoff.h - How long the store is left alone after a failure --===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// While nobody of a hall is answered, all its daemons ask the store. Who is
/// answered tells the others, so what matters is how often the hall asks, not
/// how often each daemon does.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_STOREBACKOFF_H
#define CANVASWICK_DIRECTORY_STOREBACKOFF_H

#include "canvaswick/Support/Time.h"

#include <cstddef>

namespace canvaswick {

/// Returns how long a daemon waits before it asks the store again, after
/// Failures in a row, 1 at least. HallSize counts the daemons of its hall as
/// far as it knows them, itself included. Draw is in [0, 1) and spreads
/// daemons, so that they do not come back together.
Duration computeStoreBackoff(int Failures, size_t HallSize, double Draw);

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_STOREBACKOFF_H
