//===- WatchDuty.cpp - Who watches the store for whom ---------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The order is by hash, so that it does not favour the names that sort first.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/WatchDuty.h"
#include "canvaswick/Support/Hash.h"

#include <algorithm>

namespace canvaswick {

/// Daemons of a hall that watch. One of them may be cut off from the store
/// without noticing for some seconds.
static constexpr size_t WatchersPerHall = 2;

/// A watcher does not count once the store has not answered it for this long,
/// whatever it says of itself: a store that leaves a watch waiting looks like
/// one that has no news. A watch that is well answers every 0.6 s at most, 0.85
/// s if the store takes a quarter of a second. Together with the steps below
/// and a look each tenth of a second, the last daemon of a hall asks the store
/// itself 1.6 s after its watchers were last answered; changes must be in force
/// within two seconds. Before, a hall whose watchers hung went without for 25 s
/// (tests StoreSilence).
static constexpr Duration WatcherLife = fromMillis(1000);

/// Later daemons wait a little longer before they step in, so that one does
/// and not all.
static constexpr Duration StepPerRank = fromMillis(60);
static constexpr size_t MostSteps = 8;

WatchDuty::WatchDuty(std::string Self) : Self(std::move(Self)) {}

void WatchDuty::setNear(const std::vector<std::string> &Names) {
  std::vector<std::string> All = Names;
  if (std::find(All.begin(), All.end(), this->Self) == All.end())
    All.push_back(this->Self);
  this->Order.clear();
  for (const size_t Index : rankByRendezvous("store", All))
    this->Order.push_back(All[Index]);
  std::erase_if(this->HeardAt, [&](const auto &Entry) {
    return std::find(All.begin(), All.end(), Entry.first) == All.end();
  });
}

void WatchDuty::noteWatcher(const std::string &Name, TimePoint At) {
  // Messages overtake each other.
  TimePoint &Last = this->HeardAt[Name];
  Last = std::max(Last, At);
}

size_t WatchDuty::getRank(const std::string &Name) const {
  return static_cast<size_t>(
      std::find(this->Order.begin(), this->Order.end(), Name) -
      this->Order.begin());
}

bool WatchDuty::shouldWatch(TimePoint Now) const {
  const size_t Rank = this->getRank(this->Self);
  const size_t Steps = std::min(Rank, MostSteps);
  const Duration Life = WatcherLife + StepPerRank * static_cast<int>(Steps);
  size_t Watchers = 0;
  for (const auto &[Name, At] : this->HeardAt)
    if (Now - At <= Life && this->getRank(Name) < Rank)
      ++Watchers;
  return Watchers < WatchersPerHall;
}

} // namespace canvaswick
