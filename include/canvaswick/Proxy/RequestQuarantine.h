//===- RequestQuarantine.h - Quarantine of poison requests ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Keeps poison requests, which crash the servers that run them, away from
/// servers. Combines what this daemon's requests, its peers and the stored
/// records report, under one mutex.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_REQUESTQUARANTINE_H
#define CANVASWICK_PROXY_REQUESTQUARANTINE_H

#include "canvaswick/Admission/PoisonRequestTable.h"
#include "canvaswick/Metrics/Counters.h"

#include <functional>
#include <mutex>
#include <random>
#include <set>

namespace canvaswick {

/// Whether a request may be sent.
struct QuarantineDecision {
  bool MaySend = true;
  /// Whether the request is quarantined and this is a probe, which is sent only
  /// once.
  bool IsProbe = false;
  /// The time to wait before the request may be retried, if it may not be sent.
  Duration Wait{};
};

/// Thread-safe. Its mutex is innermost: no other lock is taken and no callback
/// runs while it is held.
class RequestQuarantine {
public:
  /// Claims the next probe of a quarantined request where the records are
  /// stored. Returns whether the claim was granted; it is granted to at most
  /// one daemon of the fleet.
  using ProbeClaim = std::function<bool(const PoisonRequestRecord &)>;

  /// Receives the events that this daemon observed itself, on the request's
  /// thread.
  using UpdateListener =
      std::function<void(const PoisonRequestUpdate &, TimePoint)>;

  explicit RequestQuarantine(CounterTable &Counters) : Counters(Counters) {}

  /// Sets how probes are claimed. Without it, no probe is sent. Must be called
  /// before the first request.
  void setProbeClaim(ProbeClaim Claim) { this->Claim = std::move(Claim); }

  /// Sets the listener for local events. Must be called before the first
  /// request.
  void setUpdateListener(UpdateListener Listener) {
    this->Listener = std::move(Listener);
  }

  /// Decides whether a request may be sent. If a probe is due, this may block
  /// for a call to the store of the records.
  QuarantineDecision admit(RequestFingerprint Request, TimePoint Now);

  /// Returns whether a request is quarantined, without claiming a probe.
  bool isQuarantined(RequestFingerprint Request, TimePoint Now) const;

  /// Returns the time until a quarantined request may be retried.
  Duration getWait(RequestFingerprint Request, TimePoint Now) const;

  /// Returns whether a server other than Server has ended while it ran this
  /// request.
  bool isSuspect(RequestFingerprint Request, EndedServerId Server) const;

  /// Returns an unused probe after no server could be reached.
  void returnProbe(RequestFingerprint Request);

  /// Records that a server ended while it ran a request of this daemon, and
  /// assigns a random id to the event.
  void recordEnd(RequestEnd End, TimePoint Now);

  /// Records that a server answered a request of this daemon.
  void recordAnswer(RequestFingerprint Request, TimePoint Now);

  /// Merges an update from a peer. Returns the part that was new.
  PoisonRequestUpdate mergeUpdate(const PoisonRequestUpdate &Update,
                                  TimePoint Now);

  /// Builds an update for a peer that may have missed earlier ones. MaxRows
  /// limits its size.
  PoisonRequestUpdate buildUpdate(size_t MaxRows, TimePoint Now) const;

  /// Replaces the stored records by those that were read.
  void applyRecords(const std::vector<PoisonRequestRecord> &Records,
                    TimePoint Now);

  /// Marks the stored records as unavailable.
  void invalidateRecords();

  /// Return the records that are missing in the store, and the requests whose
  /// records are to be removed from it.
  std::vector<PoisonRequestRecord> listUnrecorded() const;
  std::vector<RequestFingerprint> listCleared() const;

  /// Returns the status of all recorded requests.
  std::vector<PoisonRequestStatus> describe() const;

  /// Removes expired events and records.
  void forgetOld(TimePoint Now);

private:
  QuarantineVerdict beginProbe(RequestFingerprint Request, TimePoint Now,
                               PoisonRequestRecord &Record);
  bool requestProbe(const PoisonRequestRecord &Record, TimePoint Now);
  void logChange(RequestFingerprint Request, bool WasQuarantined,
                 TimePoint Now) const;

  CounterTable &Counters;
  ProbeClaim Claim;
  UpdateListener Listener;
  mutable std::mutex Mutex;
  PoisonRequestTable Table;
  /// Requests for which a thread of this daemon is claiming a probe.
  std::set<RequestFingerprint> ProbesBeingClaimed;
  std::mt19937 Random{std::random_device()()};
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_REQUESTQUARANTINE_H
