//===- ServerNotices.h - What servers say of themselves ---------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// In the head of an answer a backend server may say how many requests it takes
/// from all daemons together, that it leaves, or that it wants nothing for a
/// while. Here is what a daemon remembers of that, by a server's life: nothing
/// of one life counts for the next.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_SERVERNOTICES_H
#define CANVASWICK_ROUTING_SERVERNOTICES_H

#include "canvaswick/Health/Evidence.h"
#include "canvaswick/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace canvaswick {

/// What one answer says of its server.
struct ServerNotice {
  /// Requests a second that it takes from all daemons together.
  std::optional<double> RequestsPerSecond;
  bool IsLeaving = false;
  /// How long it wants nothing from this daemon.
  std::optional<Duration> Rest;
  /// Whether a limit that it no longer names is taken back. A failure need not
  /// name it.
  bool MayEndLimit = false;

  bool isEmpty() const {
    return !this->RequestsPerSecond && !this->IsLeaving && !this->Rest;
  }
};

/// The server of a notice.
struct NoticedServer {
  /// Names one life of it.
  ServerId Id = 0;
  /// "service/server".
  std::string Key;
  std::string Hall;
};

/// What a server can say of itself.
enum class NoticeKind : uint8_t { Limit, Leaving, Rest };

/// Returns the name of a kind as logs print it.
const char *getName(NoticeKind Kind);

/// What became of a word of a server.
enum class NoticeStep : uint8_t { Begun, Changed, Ended };

/// Returns the name of a step as logs print it.
const char *getName(NoticeStep Step);

/// A change of what a server says.
struct NoticeChange {
  std::string Key;
  NoticeKind Kind = NoticeKind::Limit;
  NoticeStep Step = NoticeStep::Begun;
  /// Requests a second, or seconds of rest.
  double Value = 0;
};

/// How many servers say what.
struct NoticeCounts {
  size_t Limited = 0;
  size_t Leaving = 0;
  size_t Resting = 0;
};

/// What servers have said to one daemon. Not thread-safe.
class ServerNotices {
public:
  /// Takes the notice of an answer to a request that was sent at AskedAt.
  /// Returns what of it is new.
  std::vector<NoticeChange> note(const NoticedServer &From,
                                 const ServerNotice &Notice, TimePoint AskedAt,
                                 TimePoint Now);

  /// Returns what a server says now that matters most, or nothing.
  std::optional<NoticeKind> getState(ServerId Server, TimePoint Now) const;

  /// Forgets what no longer holds, and returns it.
  std::vector<NoticeChange> forgetOld(TimePoint Now);

  /// Returns how many servers say what.
  NoticeCounts count(TimePoint Now) const;

  /// Returns whether nothing is remembered of any server.
  bool isEmpty() const { return this->Entries.empty(); }

private:
  struct Limit {
    double PerSecond = 0;
    TimePoint HeardAt{};
  };
  struct Entry {
    std::string Key;
    std::string Hall;
    std::optional<Limit> Named;
    std::optional<TimePoint> LeavingUntil;
    std::optional<TimePoint> RestUntil;
  };

  static void noteLimit(Entry &Of, const ServerNotice &Notice,
                        TimePoint AskedAt, TimePoint Now,
                        std::vector<NoticeChange> &Changes);
  static void noteLeaving(Entry &Of, TimePoint Now,
                          std::vector<NoticeChange> &Changes);
  static void noteRest(Entry &Of, Duration Rest, TimePoint Now,
                       std::vector<NoticeChange> &Changes);
  static void endOld(Entry &Of, TimePoint Now,
                     std::vector<NoticeChange> &Changes);

  std::unordered_map<ServerId, Entry> Entries;
};

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_SERVERNOTICES_H
