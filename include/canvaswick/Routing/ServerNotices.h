//===- ServerNotices.h - State of server notices ----------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// With response headers a backend server may limit the request rate of all
/// daemons together, announce that it leaves, or ask for a backoff; its entry
/// in the directory may say that it is cold. This is what a daemon remembers of
/// these notices. They are stored per server instance: a restarted server
/// begins without any.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_SERVERNOTICES_H
#define CANVASWICK_ROUTING_SERVERNOTICES_H

#include "canvaswick/Health/Evidence.h"
#include "canvaswick/Routing/GoneServers.h"
#include "canvaswick/Routing/RateLimitShare.h"
#include "canvaswick/Routing/WarmupShare.h"
#include "canvaswick/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace canvaswick {

/// The notice in one response.
struct ServerNotice {
  /// The request rate, per second, that the server accepts from all daemons
  /// together.
  std::optional<double> RequestsPerSecond;
  bool IsLeaving = false;
  /// The time for which the server wants no requests from this daemon.
  std::optional<Duration> Backoff;
  /// Whether a notice without a limit withdraws an earlier one. Failure
  /// responses need not repeat the limit.
  bool MayEndLimit = false;
  /// Whether the notice contains a malformed value.
  bool IsMalformed = false;

  bool isEmpty() const {
    return !this->RequestsPerSecond && !this->IsLeaving && !this->Backoff &&
           !this->IsMalformed;
  }
};

/// The server that sent a notice.
struct NoticeSource {
  /// Identifies one instance of the server: one start of its process.
  ServerId Id = 0;
  /// "service/server".
  std::string Key;
  std::string Hall;
};

/// The kinds of notices.
enum class NoticeKind : uint8_t {
  Limit,
  Leaving,
  Backoff,
  Malformed,
  Warmup,
  /// Another process says so: the server has ended.
  Gone,
};

/// Returns the name of a kind in the log.
const char *getName(NoticeKind Kind);

/// The transitions of a notice.
enum class NoticeStep : uint8_t { Begun, Changed, Ended };

/// Returns the name of a transition in the log.
const char *getName(NoticeStep Step);

/// A transition of one of a server's notices.
struct NoticeChange {
  std::string Key;
  NoticeKind Kind = NoticeKind::Limit;
  NoticeStep Step = NoticeStep::Begun;
  /// Requests per second, or seconds of backoff.
  double Value = 0;
};

/// The numbers of servers with an active notice.
struct NoticeCounts {
  size_t Limited = 0;
  size_t Leaving = 0;
  size_t InBackoff = 0;
  size_t Cold = 0;
  size_t Gone = 0;
};

/// A server's limit as daemons report it to each other.
struct LimitReport {
  ServerId Server = 0;
  /// Requests per second; 0 if the limit has ended.
  double PerSecond = 0;
  /// The time since the server stated the limit or withdrew it.
  Duration Age{};

  bool operator==(const LimitReport &) const = default;
};

/// The server notices known to one daemon. Not thread-safe.
class ServerNotices {
public:
  /// Applies a change of the fleet's daemons, which share the servers' limits.
  void setFleet(const FleetDaemons &Given, TimePoint Now);

  /// Records the notice in the response to a request that was sent at SentAt.
  /// Returns what has changed.
  std::vector<NoticeChange> recordNotice(const NoticeSource &From,
                                         const ServerNotice &Notice,
                                         TimePoint SentAt, TimePoint Now);

  /// Applies a peer's report of a server's limit. Returns what has changed.
  std::vector<NoticeChange> applyReport(const NoticeSource &From,
                                        const LimitReport &Given,
                                        TimePoint Now);

  /// Records that a server proved to be gone at ProvedAt, by an answer to this
  /// daemon. Returns what has changed.
  std::vector<NoticeChange> recordGone(const NoticeSource &Server,
                                       TimePoint ProvedAt, TimePoint Now);

  /// Applies a peer's report of a server that is gone. Returns what has
  /// changed.
  std::vector<NoticeChange> applyGoneReport(const NoticeSource &Server,
                                            const GoneReport &Given,
                                            TimePoint Now);

  /// Returns at most MaxReports reports of servers that have just proved to be
  /// gone, and marks them as reported.
  std::vector<GoneReport> drainGoneReports(size_t MaxReports, TimePoint Now) {
    return this->Gone.drainReports(MaxReports, Now);
  }

  /// Returns at most MaxReports reports of all servers that are gone.
  std::vector<GoneReport> listGoneReports(size_t MaxReports,
                                          TimePoint Now) const {
    return this->Gone.listReports(MaxReports, Now);
  }

  /// Records that a server is cold until Until and bears PerSecond requests per
  /// second of all daemons together. An earlier end than a known one changes
  /// nothing. Not reported as a change: servers of a whole hall become cold at
  /// once.
  void recordWarmup(const NoticeSource &From, double PerSecond, TimePoint Until,
                    TimePoint Now);

  /// Returns reports of at most MaxReports limits that servers stated to this
  /// daemon and that are due for peers, and marks them as reported.
  std::vector<LimitReport> drainLimitReports(size_t MaxReports, TimePoint Now);

  /// Returns at most MaxReports reports of all fresh limits and of those that
  /// ended recently.
  std::vector<LimitReport> listLimitReports(size_t MaxReports,
                                            TimePoint Now) const;

  /// Returns the factor by which to multiply a server's share; 0 if it must not
  /// get a request now.
  double getShareFactor(ServerId Server, TimePoint Now) const;

  /// Returns the time until a server may get a request.
  Duration getWait(ServerId Server, TimePoint Now) const;

  /// Records that a request is sent to a server.
  void recordRequestSent(ServerId Server, TimePoint Now);

  /// Returns the active notice with the highest precedence (leaving, gone,
  /// backoff, limit, warm-up), or nothing.
  std::optional<NoticeKind> getActiveKind(ServerId Server, TimePoint Now) const;

  /// Removes expired notices. Returns what has changed.
  std::vector<NoticeChange> forgetOld(TimePoint Now);

  /// Counts the servers with active notices.
  NoticeCounts count(TimePoint Now) const;

  /// Returns whether no notice of any server is stored.
  bool isEmpty() const { return this->Entries.empty() && this->Gone.isEmpty(); }

private:
  struct Entry {
    std::string Key;
    std::string Hall;
    std::optional<RateLimitShare> Limit;
    /// The time at which the last limit ended.
    std::optional<TimePoint> LimitEndedAt;
    /// Whether the limit is to be reported to peers, and when it was last
    /// reported.
    bool HasUnreportedLimit = false;
    TimePoint ReportedAt{};
    std::optional<TimePoint> LeavingUntil;
    std::optional<TimePoint> BackoffUntil;
    std::optional<TimePoint> MalformedUntil;
    std::optional<WarmupShare> Warmup;
  };
  using Changes = std::vector<NoticeChange>;

  Entry &findEntry(const NoticeSource &Source);
  void setLimit(Entry &State, double PerSecond, TimePoint ReceivedAt,
                TimePoint Now, Changes &All) const;
  static void endLimit(Entry &State, TimePoint At, Changes &All);
  void recordLimit(Entry &State, const ServerNotice &Notice, TimePoint SentAt,
                   TimePoint Now, Changes &All) const;
  static void recordLeaving(Entry &State, TimePoint Now, Changes &All);
  static void recordBackoff(Entry &State, Duration Backoff, TimePoint Now,
                            Changes &All);
  static void recordMalformed(Entry &State, TimePoint Now, Changes &All);
  static bool isCold(const Entry &State, TimePoint Now);
  static void endExpired(Entry &State, TimePoint Now, Changes &All);
  static LimitReport makeReport(ServerId Server, const Entry &State,
                                TimePoint Now);

  FleetDaemons Fleet;
  std::unordered_map<ServerId, Entry> Entries;
  GoneServers Gone;
};

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_SERVERNOTICES_H
