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

/// A watcher that was not heard for this long does not count; it speaks three
/// times in it. Changes must be in force within two seconds.
static constexpr Duration WatcherLife = fromMillis(950);

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
  std::erase_if(this->Heard, [&](const auto &Entry) {
    return std::find(All.begin(), All.end(), Entry.first) == All.end();
  });
}

void WatchDuty::noteWatcher(const std::string &Name, TimePoint Now) {
  this->Heard[Name] = Now;
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
  for (const auto &[Name, At] : this->Heard)
    if (Now - At <= Life && this->getRank(Name) < Rank)
      ++Watchers;
  return Watchers < WatchersPerHall;
}

} // namespace canvaswick
