//===- RequestQuarantine.h - Keeps fatal requests away from -----*- C++ -*-===//
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

#ifndef CANVASWICK_PROXY_REQUESTQUARANTINE_H
#define CANVASWICK_PROXY_REQUESTQUARANTINE_H

#include "canvaswick/Admission/SuspectTable.h"
#include "canvaswick/Metrics/Counters.h"

#include <functional>
#include <mutex>
#include <random>
#include <set>

namespace canvaswick {

/// Whether a request may be sent, and by what right.
struct QuarantineDecision {
  bool MaySend = true;
  /// Whether it is held back, and this is one of its tries: sent once.
  bool IsProbe = false;
  /// When to come back, if it may not be sent.
  Duration Wait{};
};

/// Thread-safe. Its mutex is innermost: no other lock is taken, and no call
/// made, while it is held.
class RequestQuarantine {
public:
  /// Takes the right to the next try of a request where records are kept.
  /// Returns whether it was given: to one daemon of the fleet at most.
  using ProbeClaim = std::function<bool(const SuspectRecord &)>;

  /// Told of what this daemon has seen itself, on the request's thread.
  using UpdateListener = std::function<void(const SuspectNews &, TimePoint)>;

  explicit RequestQuarantine(CounterTable &Counters) : Counters(Counters) {}

  /// Sets where rights to tries come from. Without, no try is made. Called
  /// before the first request.
  void setProbeClaim(ProbeClaim Claim) { this->Claim = std::move(Claim); }

  /// Sets who hears of news. Called before the first request.
  void setUpdateListener(UpdateListener Listener) {
    this->Listener = std::move(Listener);
  }

  /// Decides whether a request may be sent. May take as long as a call to where
  /// records are kept, when a try is due.
  QuarantineDecision admit(RequestDigest Request, TimePoint Now);

  /// Returns whether a request is held back, without asking for a try.
  bool isQuarantined(RequestDigest Request, TimePoint Now) const;

  /// Returns when a request that is held back may come back.
  Duration getWait(RequestDigest Request, TimePoint Now) const;

  /// Returns whether a server other than Server has ended under a request.
  bool isSuspect(RequestDigest Request, EndedServer Server) const;

  /// Gives the right to a try back: no server was reached.
  void returnTry(RequestDigest Request);

  /// Notes that a server has ended under a request of this daemon's. Draws the
  /// end's id.
  void noteEnd(RequestEnd End, TimePoint Now);

  /// Notes that a server has answered a request of this daemon's.
  void recordAnswer(RequestDigest Request, TimePoint Now);

  /// Takes what a peer tells. Returns what of it was news.
  SuspectNews mergeUpdate(const SuspectNews &News, TimePoint Now);

  /// Returns what a peer that has missed something should know.
  SuspectNews makeNews(size_t MaxRows, TimePoint Now) const;

  /// Takes all records that are kept.
  void takeRecords(const std::vector<SuspectRecord> &Records, TimePoint Now);

  /// Notes that the records can no longer be read.
  void loseRecords();

  /// Returns what should be among the records, and what no longer.
  std::vector<SuspectRecord> listUnrecorded() const;
  std::vector<RequestDigest> listCleared() const;

  /// Lists the suspects.
  std::vector<SuspectStatus> describe() const;

  /// Forgets what no longer counts.
  void forgetOld(TimePoint Now);

private:
  SuspectVerdict beginAsking(RequestDigest Request, TimePoint Now,
                             SuspectRecord &Record);
  bool claimTry(const SuspectRecord &Record, TimePoint Now);
  void logChange(RequestDigest Request, bool WasHeld, TimePoint Now) const;

  CounterTable &Counters;
  ProbeClaim Claim;
  UpdateListener Listener;
  mutable std::mutex Mutex;
  SuspectTable Table;
  /// Requests for whose try one of this daemon's threads is asking.
  std::set<RequestDigest> Asking;
  std::mt19937 Random{std::random_device()()};
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_REQUESTQUARANTINE_H
