//===- PoisonRequestTable.h - Requests under which servers end --*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Remembers under which requests backend servers ended. A request under which
/// three have ended is held back: it reaches no server but in a few tries, one
/// daemon at a time.
///
/// An end counts against a request if its connection ended before a byte of an
/// answer had come. Whether the server's process ended is not asked: one that
/// lost a worker looks the same, and a request that three in a row have cut off
/// gains little by a fourth. What speaks for a request: that it was answered
/// since; that several servers ended at one moment while it was in flight at
/// all of them, which counts as one end; that another request, which is held
/// back already, was in flight at the same end.
///
/// No sockets, no threads, no clock: the time is an argument.
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

/// Stands for one backend server of one service, as in all messages.
using EndedServerId = uint32_t;

/// One attempt of a request whose server ended it without an answer.
struct RequestEnd {
  RequestFingerprint Request = 0;
  EndedServerId Server = 0;
  TimePoint Began{};
  TimePoint Ended{};
  /// Drawn by who saw it, so that it is known again however it was told.
  uint32_t Id = 0;

  bool operator==(const RequestEnd &) const = default;
};

/// A request that a server has answered, and when.
struct RequestAnswer {
  RequestFingerprint Request = 0;
  TimePoint At{};

  bool operator==(const RequestAnswer &) const = default;
};

/// What daemons tell each other of requests.
struct PoisonRequestUpdate {
  std::vector<RequestEnd> Ends;
  std::vector<RequestAnswer> Answers;

  bool isEmpty() const { return this->Ends.empty() && this->Answers.empty(); }
  bool operator==(const PoisonRequestUpdate &) const = default;
};

/// All that is kept of one request where it outlasts the daemons.
struct PoisonRequestRecord {
  RequestFingerprint Request = 0;
  /// In the order in which they ended.
  std::vector<RequestEnd> Ends;
  /// Tries that it was given since it is held back.
  int Probes = 0;
  /// Calendar time of the last change, in milliseconds.
  int64_t ChangedMillis = 0;

  bool operator==(const PoisonRequestRecord &) const = default;
};

/// What may become of a request now.
enum class QuarantineVerdict : uint8_t {
  /// It may be sent.
  Allowed,
  /// A try is due: it may be sent by who gets the right to that try.
  ProbeDue,
  /// It is refused.
  Quarantined,
};

/// A request as operators see it.
struct PoisonRequestStatus {
  PoisonRequestRecord Record;
  bool IsQuarantined = false;
  /// When the next try is due, if it is held back.
  TimePoint NextProbe{};
};

/// The requests that a daemon suspects.
class PoisonRequestTable {
public:
  /// Takes an end. IsOwn: this daemon's own attempt. Returns whether it was
  /// news.
  bool recordEnd(const RequestEnd &End, bool IsOwn, TimePoint Now);

  /// Takes an answer to a request of this daemon's. Returns whether it cleared
  /// the request of an end: only then peers need to know.
  bool recordLocalAnswer(const RequestAnswer &Answer);

  /// Takes an answer that a peer tells of. Returns whether it was news.
  bool applyPeerAnswer(const RequestAnswer &Answer);

  /// Says what may become of a request.
  QuarantineVerdict classify(RequestFingerprint Request, TimePoint Now) const;

  /// Returns how long until the next try of a request that is held back.
  Duration getWait(RequestFingerprint Request, TimePoint Now) const;

  /// Returns whether a server has ended under the request, other than Server.
  bool isSuspect(RequestFingerprint Request, EndedServerId Server) const;

  /// Notes that this daemon has the right to the try that was due.
  void recordProbe(RequestFingerprint Request, TimePoint Now);

  /// Gives a right back that was not used: no server was reached.
  void returnProbe(RequestFingerprint Request);

  /// Takes a right that was given back. Returns false if there is none.
  bool takeReturnedProbe(RequestFingerprint Request);

  /// Notes that another daemon had the right to the try that was due.
  void postponeProbe(RequestFingerprint Request, TimePoint Now);

  /// Takes all records that are kept outside. A request that was among them
  /// before and is not any more has come free.
  void applyRecords(const std::vector<PoisonRequestRecord> &Records,
                    TimePoint Now);

  /// Notes that the records can no longer be read: they are to be written anew.
  void invalidateRecords();

  /// Returns the requests that should be among the records, and are not as they
  /// are known here. Only those of which this daemon has seen an end itself.
  std::vector<PoisonRequestRecord> listUnrecorded() const;

  /// Returns recorded requests that an answer of this daemon's has cleared.
  std::vector<RequestFingerprint> listCleared() const;

  /// Returns the record of a request as it is known here.
  PoisonRequestRecord getRecord(RequestFingerprint Request) const;

  /// Returns what peers should know, at most MaxRows ends and answers together,
  /// those of the gravest suspects first.
  PoisonRequestUpdate buildUpdate(size_t MaxRows, TimePoint Now) const;

  /// Lists all suspects.
  std::vector<PoisonRequestStatus> describe() const;

  /// Forgets what is too old to count.
  void forgetOld(TimePoint Now);

  /// Returns how many requests are held back.
  size_t countQuarantined() const;

  bool isEmpty() const { return this->Suspects.empty(); }

private:
  struct Suspect {
    /// In the order in which they ended; none before AnsweredAt.
    std::vector<RequestEnd> Ends;
    std::optional<TimePoint> AnsweredAt;
    bool IsOwn = false;
    /// Since when it is held back.
    std::optional<TimePoint> HeldSince;
    int Probes = 0;
    TimePoint TriedAt{};
    /// Whether this daemon has a right to a try that it has not used.
    bool HasReturnedTry = false;
    /// Whether it was this daemon that saw the answer at AnsweredAt.
    bool IsClearedHere = false;
    /// Ends of the record that is kept outside, 0 where there is none, and when
    /// that was last changed.
    size_t RecordedEnds = 0;
    int64_t RecordedMillis = 0;
  };

  Suspect *find(RequestFingerprint Request);
  const Suspect *find(RequestFingerprint Request) const;
  bool addEnd(Suspect &Entry, const RequestEnd &End) const;
  bool isExplained(const RequestEnd &End) const;
  void updateHold(RequestFingerprint Request, Suspect &Entry);
  void explainOthers(RequestFingerprint Held, const Suspect &By);
  void takeRecord(const PoisonRequestRecord &Record, TimePoint Now);
  void clear(Suspect &Entry, TimePoint At);
  void makeRoom();

  std::map<RequestFingerprint, Suspect> Suspects;
};

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_POISONREQUESTTABLE_H
