//===- HallDrains.cpp - Halls that are out of use -------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The version is changed under the mutex: whoever reads a new version and then
/// asks for a hall gets the answer of that version or of a later one.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/HallDrains.h"
#include "canvaswick/Support/EnumNames.h"
#include "canvaswick/Support/Log.h"

namespace canvaswick {

static constexpr EnumNames<HallStep, 2> HallStepNames = {{
    {HallStep::Drained, "drained"},
    {HallStep::Returned, "returned"},
}};

const char *getName(HallStep Step) { return getEnumName(HallStepNames, Step); }

std::vector<HallChange> HallDrains::update(const std::set<std::string> &Halls,
                                           TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<HallChange> Changes;
  for (const std::string &Hall : Halls) {
    if (!this->DrainedSince.emplace(Hall, Now).second)
      continue;
    Changes.push_back({Hall, HallStep::Drained, {}});
  }
  std::erase_if(this->DrainedSince, [&](const auto &Entry) {
    if (Halls.count(Entry.first) > 0)
      return false;
    Changes.push_back({Entry.first, HallStep::Returned, Now - Entry.second});
    return true;
  });
  if (!Changes.empty())
    ++this->Version;
  return Changes;
}

bool HallDrains::isDrained(const std::string &Hall) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->DrainedSince.count(Hall) > 0;
}

std::vector<HallDrain> HallDrains::list() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<HallDrain> All;
  for (const auto &[Hall, Since] : this->DrainedSince)
    All.push_back({Hall, Since});
  return All;
}

void logHallChanges(const std::vector<HallChange> &Changes) {
  for (const HallChange &Each : Changes)
    logWarning("hall", "hall={:?} step={} after-ms={}", Each.Hall,
               getName(Each.Step), toMillis(Each.Lasted));
}

} // namespace canvaswick
