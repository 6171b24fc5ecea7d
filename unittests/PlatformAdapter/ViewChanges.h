//===- ViewChanges.h - Changes of a view in tests ---------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What the store sends a daemon, applied to its view.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_PLATFORMADAPTER_VIEWCHANGES_H
#define CANVASWICK_UNITTESTS_PLATFORMADAPTER_VIEWCHANGES_H

#include "platform/FleetView.h"

namespace canvaswick::platform {

/// Applies the answer of a watch after the view's position. Returns whether
/// anything changed.
inline bool applyEvents(FleetView &View, const std::vector<StoreItem> &Events,
                        const StorePosition &AsOf, TimePoint Now) {
  return View.apply(makeChanges(View.getAsOf(), Events, AsOf), Now).IsChanged;
}

/// Applies a read of all items. Returns whether anything changed.
inline bool replaceAll(FleetView &View, const std::vector<StoreItem> &Items,
                       const StorePosition &AsOf, TimePoint Now) {
  return View.apply(makeFullChanges(Items, AsOf), Now).IsChanged;
}

} // namespace canvaswick::platform

#endif // CANVASWICK_UNITTESTS_PLATFORMADAPTER_VIEWCHANGES_H
