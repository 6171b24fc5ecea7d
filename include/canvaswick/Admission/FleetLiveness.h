//===- FleetLiveness.h - Liveness of the other daemons ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tracks when each other daemon of this hall, and each other hall as a whole,
/// was last heard from, and which of them count as silent.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ADMISSION_FLEETLIVENESS_H
#define CANVASWICK_ADMISSION_FLEETLIVENESS_H

#include "canvaswick/Support/Time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace canvaswick {

/// Where organisations have limits, a daemon reports to its hall, and a hall's
/// reporter to the other halls, at least this often.
inline constexpr Duration QuotaReportInterval = fromMillis(250);

/// Liveness of the fleet as one daemon sees it. Not thread-safe.
class FleetLiveness {
public:
  /// A daemon of this hall, or another hall as a whole.
  struct Source {
    std::string Name;
    bool IsHall = false;
    bool IsListed = false;
    /// For halls only: whether a report arrived since this daemon started.
    bool HasReported = false;
    size_t Daemons = 1;
    TimePoint HeardAt{};
  };

  /// Sets the other daemons of this hall by name, and for each other hall the
  /// number of its daemons.
  void setFleet(const std::vector<std::string> &HallPeers,
                const std::map<std::string, size_t> &OtherHalls, TimePoint Now);

  /// Records that a message arrived from a daemon of this hall, or from the
  /// reporter of another hall.
  void recordPeerMessage(const std::string &Daemon, TimePoint Now);
  void recordHallMessage(const std::string &Hall, TimePoint Now);

  /// Returns the index of a source, adding the source if it is new. The index
  /// stays valid until forgetDeparted removes the source.
  size_t findOrAddSource(const std::string &Name, bool IsHall, TimePoint Now);

  const Source &get(size_t Index) const { return this->Sources[Index]; }
  const std::vector<Source> &getAll() const { return this->Sources; }

  /// Returns whether nothing arrives from any daemon of this hall, which means
  /// that this daemon is cut off and not that all others are silent.
  bool isIsolated(TimePoint Now) const;

  /// Returns whether no message has arrived from a source for longer than its
  /// timeout.
  bool hasTimedOut(const Source &Each, TimePoint Now) const;

  /// Returns whether a source has left the fleet: it is no longer listed and
  /// has timed out. A source that is heard from before it is listed has just
  /// joined and does not count.
  bool hasLeft(const Source &Each, TimePoint Now) const;

  /// Returns whether a listed source is not heard from, because it has timed
  /// out or because this daemon is isolated.
  bool isSilent(const Source &Each, TimePoint Now) const;

  /// Removes sources that have left the fleet and reuses their indexes. Callers
  /// must not keep an index of such a source.
  void forgetDeparted(TimePoint Now);

  /// Returns how many sources are tracked.
  size_t countTracked() const { return this->IndexOfSource.size(); }

  /// Returns how many daemons are silent.
  size_t countSilent(TimePoint Now) const;

  /// Returns the number of daemons in the fleet, including this one, and the
  /// number of other daemons in this hall.
  size_t countDaemons() const { return this->DaemonCount; }
  size_t countHallPeers() const { return this->HallPeers; }

  /// Returns whether Self is the first by name of the daemons of this hall that
  /// are heard from, and so reports for the hall.
  bool isHallReporter(const std::string &Self, TimePoint Now) const;

private:
  std::vector<Source> Sources;
  std::map<std::pair<bool, std::string>, size_t> IndexOfSource;
  /// Indexes into Sources that are not in use.
  std::vector<size_t> FreeIndexes;
  size_t DaemonCount = 1;
  size_t HallPeers = 0;
  TimePoint HallHeardAt{};
};

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_FLEETLIVENESS_H
