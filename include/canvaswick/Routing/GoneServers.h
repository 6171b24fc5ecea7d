//===- GoneServers.h - Servers that have ended but are listed ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The directory may list a server for seconds after its process has ended.
/// When another process answers at its address that it is not that server, this
/// is known at once, and daemons tell it to each other.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_GONESERVERS_H
#define CANVASWICK_ROUTING_GONESERVERS_H

#include "canvaswick/Health/Evidence.h"
#include "canvaswick/Support/Time.h"

#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace canvaswick {

/// A server that has proved to be gone, as daemons report it to each other.
struct GoneReport {
  /// Identifies one instance of the server: one start of its process.
  ServerId Server = 0;
  /// The time since the answer that proved it.
  Duration Age{};

  bool operator==(const GoneReport &) const = default;
};

/// The servers that this daemon knows to be gone. Each is asked again after a
/// while, in case the answer was wrong. Not thread-safe.
class GoneServers {
public:
  /// Sets the name of this daemon. Daemons ask a server again at different
  /// times, so that the first one tells the others what it found.
  void setSelf(const std::string &Name) { this->Self = Name; }

  /// Records an answer of ProvedAt to this daemon, which peers are to be told
  /// of. Returns whether the server was not known to be gone.
  bool recordAnswer(ServerId Server, const std::string &Key, TimePoint ProvedAt,
                    TimePoint Now);

  /// Applies a peer's report. Returns whether the server was not known to be
  /// gone.
  bool applyReport(const GoneReport &Given, const std::string &Key,
                   TimePoint Now);

  /// Returns the time for which a server is still taken to be gone.
  Duration getTimeLeft(ServerId Server, TimePoint Now) const;

  bool isGone(ServerId Server, TimePoint Now) const {
    return this->getTimeLeft(Server, Now) > Duration::zero();
  }

  /// Returns at most MaxReports reports that peers have not been told, and
  /// marks them as told.
  std::vector<GoneReport> drainReports(size_t MaxReports, TimePoint Now);

  /// Returns at most MaxReports reports of all servers that are gone.
  std::vector<GoneReport> listReports(size_t MaxReports, TimePoint Now) const;

  /// Forgets the servers that may be asked again. Returns their keys.
  std::vector<std::string> forgetOld(TimePoint Now);

  size_t count(TimePoint Now) const;
  bool isEmpty() const { return this->Entries.empty(); }

private:
  struct Entry {
    /// "service/server".
    std::string Key;
    TimePoint ProvedAt{};
    TimePoint Until{};
    bool HasUnsentReport = false;
  };

  bool record(ServerId Server, const std::string &Key, TimePoint ProvedAt,
              TimePoint Now);

  std::string Self;
  std::unordered_map<ServerId, Entry> Entries;
};

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_GONESERVERS_H
