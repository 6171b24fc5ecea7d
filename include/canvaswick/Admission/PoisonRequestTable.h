//===- PoisonRequestTable.h - Requests that crash servers -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Remembers which requests were in flight when backend servers ended the
/// connection. A request with three such ends is quarantined: it reaches no
/// server except in a few probes, each sent by one daemon of the fleet.
///
/// An end counts against a request if the server's connection ended before the
/// first byte of an answer. Whether the server's process died is not checked: a
/// server that lost a worker looks the same, and a request that three servers
/// in a row have cut off gains little from a fourth. Evidence in favour of a
/// request: it was answered since; several servers ended at the same moment
/// while it was in flight at all of them, which counts as one end; another
/// request that is already quarantined was in flight at the same end.
///
/// The table uses no sockets, threads or clock: the time is an argument.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ADMISSION_POISONREQUESTTABLE_H
#define CANVASWICK_ADMISSION_POISONREQUESTTABLE_H

#include "canvaswick/Admission/RequestFingerprint.h"
#include "canvaswick/Support/Time.h"

#include <map>
#include <optional>
#include <vector>

namespace canvaswick {

/// Identifies one backend server of one service, as in all messages.
using EndedServerId = uint32_t;

/// One attempt of a request that its server ended without an answer.
struct RequestEnd {
  RequestFingerprint Request = 0;
  EndedServerId Server = 0;
  TimePoint Began{};
  TimePoint Ended{};
  /// Random number drawn by the daemon that saw the end, by which duplicates
  /// are recognised however they arrive.
  uint32_t Id = 0;

  bool operator==(const RequestEnd &) const = default;
};

/// When a server last answered a request.
struct RequestAnswer {
  RequestFingerprint Request = 0;
  TimePoint At{};

  bool operator==(const RequestAnswer &) const = default;
};

/// What daemons send to each other about requests.
struct PoisonRequestUpdate {
  std::vector<RequestEnd> Ends;
  std::vector<RequestAnswer> Answers;

  bool isEmpty() const { return this->Ends.empty() && this->Answers.empty(); }
  bool operator==(const PoisonRequestUpdate &) const = default;
};

/// What is stored about one request outside of the daemons.
struct PoisonRequestRecord {
  RequestFingerprint Request = 0;
  /// Ordered by Ended.
  std::vector<RequestEnd> Ends;
  /// Number of probes since the request was quarantined.
  int Probes = 0;
  /// Calendar time of the last change, in milliseconds.
  int64_t ChangedMillis = 0;

  bool operator==(const PoisonRequestRecord &) const = default;
};

/// How a request is to be handled now.
enum class QuarantineVerdict : uint8_t {
  /// It may be sent.
  Allowed,
  /// A probe is due: the daemon that obtains the right to the probe may send
  /// the request.
  ProbeDue,
  /// It is refused.
  Quarantined,
};

/// The status of one request, for operators.
struct PoisonRequestStatus {
  PoisonRequestRecord Record;
  bool IsQuarantined = false;
  /// When the next probe is due, if the request is quarantined.
  TimePoint NextProbe{};
};

/// The suspected requests of one daemon. Not thread-safe.
class PoisonRequestTable {
public:
  /// Records an end. IsLocal says whether the attempt was one of this daemon.
  /// Returns whether the end was new.
  bool recordEnd(const RequestEnd &End, bool IsLocal, TimePoint Now);

  /// Records an answer that this daemon received. Returns whether it cleared
  /// the request of an end: only then do peers need to know.
  bool recordLocalAnswer(const RequestAnswer &Answer);

  /// Applies an answer reported by a peer. Returns whether it was new.
  bool applyPeerAnswer(const RequestAnswer &Answer);

  /// Returns how a request is to be handled at Now.
  QuarantineVerdict classify(RequestFingerprint Request, TimePoint Now) const;

  /// Returns how long it takes until the next probe of a quarantined request,
  /// zero if none is awaited.
  Duration getWait(RequestFingerprint Request, TimePoint Now) const;

  /// Returns whether a server other than Server has ended under the request.
  bool isSuspect(RequestFingerprint Request, EndedServerId Server) const;

  /// Records that this daemon obtained the right to the probe that was due.
  void recordProbe(RequestFingerprint Request, TimePoint Now);

  /// Returns a right to a probe that was not used, since no server was reached.
  void returnProbe(RequestFingerprint Request);

  /// Takes the right that returnProbe has returned. Returns false if there is
  /// none.
  bool takeReturnedProbe(RequestFingerprint Request);

  /// Delays the probe that was due, because another daemon obtained the right
  /// to it or the store did not answer.
  void postponeProbe(RequestFingerprint Request, TimePoint Now);

  /// Applies all records of the store. A request that had a record before and
  /// has none now is released.
  void applyRecords(const std::vector<PoisonRequestRecord> &Records,
                    TimePoint Now);

  /// Forgets which requests have records, because the records can no longer be
  /// read and must be written again.
  void invalidateRecords();

  /// Returns the requests that have no record yet, or one with fewer ends than
  /// are known here. Only requests of which this daemon itself saw an end are
  /// listed.
  std::vector<PoisonRequestRecord> listUnrecorded() const;

  /// Returns the requests that have a record and that an answer seen by this
  /// daemon has cleared.
  std::vector<RequestFingerprint> listCleared() const;

  /// Returns the record of a request as known here.
  PoisonRequestRecord getRecord(RequestFingerprint Request) const;

  /// Returns the ends and answers to send to peers, at most MaxRows together.
  /// Answers come first, then the ends of the requests with the most ends.
  PoisonRequestUpdate buildUpdate(size_t MaxRows, TimePoint Now) const;

  /// Returns all requests with at least one end.
  std::vector<PoisonRequestStatus> describe() const;

  /// Removes entries that are too old to count.
  void forgetOld(TimePoint Now);

  /// Returns how many requests are quarantined.
  size_t countQuarantined() const;

  bool isEmpty() const { return this->Requests.empty(); }

private:
  struct Suspect {
    /// Ordered by Ended; none is before AnsweredAt.
    std::vector<RequestEnd> Ends;
    std::optional<TimePoint> AnsweredAt;
    bool IsLocal = false;
    /// Set while the request is quarantined: since when.
    std::optional<TimePoint> QuarantinedSince;
    int Probes = 0;
    TimePoint ProbedAt{};
    /// Whether this daemon has a right to a probe that it has not used.
    bool HasReturnedProbe = false;
    /// Whether this daemon itself saw the answer at AnsweredAt.
    bool IsClearedLocally = false;
    /// Number of ends in the stored record, 0 if there is none, and when the
    /// record was last changed.
    size_t RecordedEnds = 0;
    int64_t RecordedMillis = 0;
  };

  Suspect *find(RequestFingerprint Request);
  const Suspect *find(RequestFingerprint Request) const;
  bool addEnd(Suspect &Entry, const RequestEnd &End) const;
  bool isExplained(const RequestEnd &End) const;
  void updateQuarantine(RequestFingerprint Request, Suspect &Entry);
  void removeExplainedEnds(RequestFingerprint QuarantinedRequest,
                           const Suspect &By);
  void applyRecord(const PoisonRequestRecord &Record, TimePoint Now);
  void clear(Suspect &Entry, TimePoint At);
  void evictIfFull();

  std::map<RequestFingerprint, Suspect> Requests;
};

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_POISONREQUESTTABLE_H
