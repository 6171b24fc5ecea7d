//===- HallDrains.h - Halls that are out of use -----------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Operators drain a hall before they take it away: from then on its servers
/// get no requests, until the operators return the hall. This is the only place
/// that decides whether the servers of a hall may be used. It is shared by all
/// services and all versions of the settings, so that a request that began
/// before the drain obeys it too.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_HALLDRAINS_H
#define CANVASWICK_ROUTING_HALLDRAINS_H

#include "canvaswick/Support/Time.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace canvaswick {

/// A drained hall, and when this daemon learned of the drain.
struct HallDrain {
  std::string Hall;
  TimePoint Since{};
};

/// The transitions of a hall.
enum class HallStep : uint8_t { Drained, Returned };

/// Returns the name of a transition in the log.
const char *getName(HallStep Step);

/// A transition of one hall.
struct HallChange {
  std::string Hall;
  HallStep Step = HallStep::Drained;
  /// How long the hall was drained, if it was returned.
  Duration Lasted{};
};

/// The halls that operators have drained. Thread-safe; no other lock is taken
/// while its mutex is held. A service's mutex may be held when it is taken.
class HallDrains : public boost::intrusive_ref_counter<HallDrains> {
public:
  /// Replaces the drained halls. Returns what has changed.
  std::vector<HallChange> update(const std::set<std::string> &Halls,
                                 TimePoint Now);

  /// Returns whether the servers of a hall must get no requests.
  bool isDrained(const std::string &Hall) const;

  /// Returns the drained halls by name.
  std::vector<HallDrain> list() const;

  /// Increases with each change; 0 if no hall was ever drained. Does not block.
  uint64_t getVersion() const { return this->Version; }

private:
  mutable std::mutex Mutex;
  std::map<std::string, TimePoint> DrainedSince;
  std::atomic<uint64_t> Version{0};
};

/// A counted reference to a HallDrains.
using HallDrainsRef = boost::intrusive_ptr<HallDrains>;

/// Writes transitions to the log.
void logHallChanges(const std::vector<HallChange> &Changes);

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_HALLDRAINS_H
