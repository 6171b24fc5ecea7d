//===- RequestGuard.h - Keeps fatal requests away from servers --*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What a daemon's requests, its peers and the place where records are kept
/// tell of requests under which servers end, behind one mutex.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_REQUESTGUARD_H
#define CANVASWICK_PROXY_REQUESTGUARD_H

#include "canvaswick/Admission/PoisonRequestTable.h"
#include "canvaswick/Metrics/Counters.h"

#include <functional>
#include <mutex>
#include <random>
#include <set>

namespace canvaswick {

/// Whether a request may be sent, and by what right.
struct GuardAnswer {
  bool MaySend = true;
  /// Whether it is held back, and this is one of its tries: sent once.
  bool IsTry = false;
  /// When to come back, if it may not be sent.
  Duration Wait{};
};

/// Thread-safe. Its mutex is innermost: no other lock is taken, and no call
/// made, while it is held.
class RequestGuard {
public:
  /// Takes the right to the next try of a request where records are kept.
  /// Returns whether it was given: to one daemon of the fleet at most.
  using TryClaim = std::function<bool(const PoisonRequestRecord &)>;

  /// Told of what this daemon has seen itself, on the request's thread.
  using NewsListener =
      std::function<void(const PoisonRequestUpdate &, TimePoint)>;

  explicit RequestGuard(CounterTable &Counters) : Counters(Counters) {}

  /// Sets where rights to tries come from. Without, no try is made. Called
  /// before the first request.
  void setTryClaim(TryClaim Claim) { this->Claim = std::move(Claim); }

  /// Sets who hears of news. Called before the first request.
  void setNewsListener(NewsListener Listener) {
    this->Listener = std::move(Listener);
  }

  /// Decides whether a request may be sent. May take as long as a call to where
  /// records are kept, when a try is due.
  GuardAnswer admit(RequestFingerprint Request, TimePoint Now);

  /// Returns whether a request is held back, without asking for a try.
  bool isHeldBack(RequestFingerprint Request, TimePoint Now) const;

  /// Returns when a request that is held back may come back.
  Duration getWait(RequestFingerprint Request, TimePoint Now) const;

  /// Returns whether a server other than Server has ended under a request.
  bool isSuspect(RequestFingerprint Request, EndedServerId Server) const;

  /// Gives the right to a try back: no server was reached.
  void returnProbe(RequestFingerprint Request);

  /// Notes that a server has ended under a request of this daemon's. Draws the
  /// end's id.
  void recordEnd(RequestEnd End, TimePoint Now);

  /// Notes that a server has answered a request of this daemon's.
  void noteAnswer(RequestFingerprint Request, TimePoint Now);

  /// Takes what a peer tells. Returns what of it was news.
  PoisonRequestUpdate takeNews(const PoisonRequestUpdate &News, TimePoint Now);

  /// Returns what a peer that has missed something should know.
  PoisonRequestUpdate buildUpdate(size_t MaxRows, TimePoint Now) const;

  /// Takes all records that are kept.
  void applyRecords(const std::vector<PoisonRequestRecord> &Records,
                    TimePoint Now);

  /// Notes that the records can no longer be read.
  void invalidateRecords();

  /// Returns what should be among the records, and what no longer.
  std::vector<PoisonRequestRecord> listUnrecorded() const;
  std::vector<RequestFingerprint> listCleared() const;

  /// Lists the suspects.
  std::vector<PoisonRequestStatus> describe() const;

  /// Forgets what no longer counts.
  void forgetOld(TimePoint Now);

private:
  QuarantineVerdict beginAsking(RequestFingerprint Request, TimePoint Now,
                                PoisonRequestRecord &Record);
  bool claimTry(const PoisonRequestRecord &Record, TimePoint Now);
  void logChange(RequestFingerprint Request, bool WasHeld, TimePoint Now) const;

  CounterTable &Counters;
  TryClaim Claim;
  NewsListener Listener;
  mutable std::mutex Mutex;
  PoisonRequestTable Table;
  /// Requests for whose try one of this daemon's threads is asking.
  std::set<RequestFingerprint> Asking;
  std::mt19937 Random{std::random_device()()};
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_REQUESTGUARD_H
