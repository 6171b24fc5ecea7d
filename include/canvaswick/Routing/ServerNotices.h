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
#include "canvaswick/Routing/RateLimitShare.h"
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
  std::optional<Duration> Backoff;
  /// Whether a limit that it no longer names is taken back. A failure need not
  /// name it.
  bool MayEndLimit = false;
  /// Whether it holds a word that cannot be understood.
  bool IsMalformed = false;

  bool isEmpty() const {
    return !this->RequestsPerSecond && !this->IsLeaving && !this->Backoff &&
           !this->IsMalformed;
  }
};

/// The server of a notice.
struct NoticeSource {
  /// Names one life of it.
  ServerId Id = 0;
  /// "service/server".
  std::string Key;
  std::string Hall;
};

/// What a server can say of itself.
enum class NoticeKind : uint8_t { Limit, Leaving, Backoff, Malformed };

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
  size_t InBackoff = 0;
};

/// What daemons tell each other of a server's limit.
struct LimitReport {
  ServerId Server = 0;
  /// Requests a second; 0: the limit has ended.
  double PerSecond = 0;
  /// How long ago the server said so.
  Duration Age{};

  bool operator==(const LimitReport &) const = default;
};

/// What servers have said to one daemon. Not thread-safe.
class ServerNotices {
public:
  /// Takes who there is: servers' limits are shared among them.
  void setFleet(const FleetDaemons &Given, TimePoint Now);

  /// Takes the notice of an answer to a request that was sent at AskedAt.
  /// Returns what of it is new.
  std::vector<NoticeChange> recordNotice(const NoticeSource &From,
                                         const ServerNotice &Notice,
                                         TimePoint AskedAt, TimePoint Now);

  /// Takes what a peer tells of a server's limit. Returns what of it is new.
  std::vector<NoticeChange> applyReport(const NoticeSource &From,
                                        const LimitReport &Given,
                                        TimePoint Now);

  /// Returns what servers have said of their limits to this daemon itself and
  /// peers have not heard of late, and takes it as told.
  std::vector<LimitReport> drainLimitReports(size_t Most, TimePoint Now);

  /// Returns all limits of which word is new, and those that have just ended.
  std::vector<LimitReport> listLimitReports(size_t Most, TimePoint Now) const;

  /// Returns how many times its usual share a server may get now; 0: nothing
  /// may be sent there.
  double getShareFactor(ServerId Server, TimePoint Now) const;

  /// Returns how long until something may be sent to a server.
  Duration getWait(ServerId Server, TimePoint Now) const;

  /// Notes that a request is sent to a server.
  void recordRequestSent(ServerId Server, TimePoint Now);

  /// Returns what a server says now that matters most, or nothing.
  std::optional<NoticeKind> getActiveKind(ServerId Server, TimePoint Now) const;

  /// Forgets what no longer holds, and returns it.
  std::vector<NoticeChange> forgetOld(TimePoint Now);

  /// Returns how many servers say what.
  NoticeCounts count(TimePoint Now) const;

  /// Returns whether nothing is remembered of any server.
  bool isEmpty() const { return this->Entries.empty(); }

private:
  struct Entry {
    std::string Key;
    std::string Hall;
    std::optional<RateLimitShare> Limit;
    /// When the last limit ended.
    std::optional<TimePoint> LimitEndedAt;
    /// Whether peers should hear of the limit, and when they last did.
    bool HasNews = false;
    TimePoint ToldAt{};
    std::optional<TimePoint> LeavingUntil;
    std::optional<TimePoint> RestUntil;
    std::optional<TimePoint> MisreadUntil;
  };
  using Changes = std::vector<NoticeChange>;

  Entry &findEntry(const NoticeSource &Of);
  void setLimit(Entry &Of, double PerSecond, TimePoint HeardAt, TimePoint Now,
                Changes &All) const;
  static void endLimit(Entry &Of, TimePoint At, Changes &All);
  void noteLimit(Entry &Of, const ServerNotice &Notice, TimePoint AskedAt,
                 TimePoint Now, Changes &All) const;
  static void noteLeaving(Entry &Of, TimePoint Now, Changes &All);
  static void noteRest(Entry &Of, Duration Rest, TimePoint Now, Changes &All);
  static void noteMisread(Entry &Of, TimePoint Now, Changes &All);
  static void endOld(Entry &Of, TimePoint Now, Changes &All);
  static LimitReport makeReport(ServerId Server, const Entry &Of,
                                TimePoint Now);

  FleetDaemons Fleet;
  std::unordered_map<ServerId, Entry> Entries;
};

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_SERVERNOTICES_H
