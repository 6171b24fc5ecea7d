//===- FleetLiveness.h - Which daemons of a fleet are heard -----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The other daemons of a hall, each, and the other halls as wholes: when they
/// were last heard, and which of them count as silent.
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

/// A daemon speaks to its hall, and a hall's teller to other halls, at least
/// this often where organisations have limits.
inline constexpr Duration QuotaReportInterval = fromMillis(250);

/// Who is heard. Not thread-safe.
class FleetLiveness {
public:
  /// A daemon of this hall, or another hall as a whole.
  struct Source {
    std::string Name;
    bool IsHall = false;
    bool IsListed = false;
    /// Whether it was heard since this daemon started. Of halls only.
    bool HasReported = false;
    size_t Daemons = 1;
    TimePoint HeardAt{};
  };

  /// Takes the other daemons of this hall, and how many each other hall has.
  void setFleet(const std::vector<std::string> &Near,
                const std::map<std::string, size_t> &Far, TimePoint Now);

  /// Notes that a daemon of this hall, or another hall's teller, was heard.
  void recordPeerMessage(const std::string &Daemon, TimePoint Now);
  void recordHallMessage(const std::string &Hall, TimePoint Now);

  /// Returns the index of a source, which it keeps.
  size_t findOrAddSource(const std::string &Name, bool IsHall, TimePoint Now);

  const Source &get(size_t Index) const { return this->Sources[Index]; }
  const std::vector<Source> &getAll() const { return this->Sources; }

  /// Returns whether nobody of this hall is heard, so that this daemon is cut
  /// off rather than all others.
  bool isIsolated(TimePoint Now) const;

  /// Returns whether a source has not been heard for long.
  bool hasTimedOut(const Source &Each, TimePoint Now) const;

  /// Returns whether a source has left the fleet: it is not listed any more,
  /// and quiet. One that is heard before it is listed has just come.
  bool hasLeft(const Source &Each, TimePoint Now) const;

  /// Returns whether a listed source is not heard: it is quiet, or this daemon
  /// is cut off.
  bool isSilent(const Source &Each, TimePoint Now) const;

  /// Gives the indexes of sources that are gone to others that come. Nobody may
  /// keep one.
  void forgetDeparted(TimePoint Now);

  /// Returns how many sources are kept.
  size_t countTracked() const { return this->IndexOfSource.size(); }

  /// Returns how many daemons are not heard.
  size_t countSilent(TimePoint Now) const;

  /// Returns how many daemons there are, this one included, and how many others
  /// this hall has.
  size_t countDaemons() const { return this->All; }
  size_t countHallPeers() const { return this->Near; }

  /// Returns whether a daemon of this hall is the first by name of those that
  /// are heard.
  bool isHallReporter(const std::string &Self, TimePoint Now) const;

private:
  std::vector<Source> Sources;
  std::map<std::pair<bool, std::string>, size_t> IndexOfSource;
  /// Indexes that no source has.
  std::vector<size_t> Free;
  size_t All = 1;
  size_t Near = 0;
  TimePoint NearHeardAt{};
};

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_FLEETLIVENESS_H
