//===- ItemChanges.cpp - Changes of a replica -----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Builds changes that are complete.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/ItemChanges.h"
#include "canvaswick/Support/EnumNames.h"

#include <utility>

namespace canvaswick {

static constexpr EnumNames<ChangesExtent, 4> ChangesExtentNames = {{
    {ChangesExtent::Excerpt, "excerpt"},
    {ChangesExtent::Departures, "departures"},
    {ChangesExtent::Small, "small"},
    {ChangesExtent::All, "all"},
}};

const char *getName(ChangesExtent Extent) {
  return getEnumName(ChangesExtentNames, Extent);
}

ItemChanges makeChanges(const StorePosition &After,
                        std::vector<StoreItem> Items,
                        const StorePosition &AsOf) {
  ItemChanges Changes;
  Changes.After = After;
  Changes.Items = std::move(Items);
  Changes.AsOf = AsOf;
  return Changes;
}

ItemChanges makeFullChanges(std::vector<StoreItem> Items,
                            const StorePosition &AsOf) {
  ItemChanges Changes = makeChanges({}, std::move(Items), AsOf);
  Changes.IsFull = true;
  return Changes;
}

} // namespace canvaswick
