//===- PoisonRequestReport.h - Poison requests in messages ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Encodes ends of requests and answers for messages, in which ages stand for
/// times, and records for storage outside the daemons.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_POISONREQUESTREPORT_H
#define CANVASWICK_DAEMON_POISONREQUESTREPORT_H

#include "canvaswick/Admission/PoisonRequestTable.h"
#include "canvaswick/Support/Error.h"

#include <json/json.h>

#include <string>
#include <vector>

namespace canvaswick {

/// A server that closed its connection during a request without an answer.
/// Times are ages in whole milliseconds.
struct EndReport {
  RequestFingerprint Request = 0;
  EndedServerId Server = 0;
  /// How long the attempt had taken.
  int64_t TookMs = 0;
  int64_t AgoMs = 0;
  uint32_t Id = 0;

  bool operator==(const EndReport &) const = default;
};

/// An answer to a request, by its age in whole milliseconds.
struct AnswerReport {
  RequestFingerprint Request = 0;
  int64_t AgoMs = 0;

  bool operator==(const AnswerReport &) const = default;
};

/// An update as a message carries it.
struct PoisonRequestReport {
  std::vector<EndReport> Ends;
  std::vector<AnswerReport> Answers;

  bool isEmpty() const { return this->Ends.empty() && this->Answers.empty(); }
  bool operator==(const PoisonRequestReport &) const = default;
};

/// Convert an update to the form of a message that is sent now, and back.
PoisonRequestReport makePoisonReport(const PoisonRequestUpdate &Update,
                                     TimePoint Now);
PoisonRequestUpdate readPoisonReport(const PoisonRequestReport &Report,
                                     TimePoint Now);

/// Writes a report into the fields "ends" and "answers" of a message, each only
/// if it has rows.
void encodePoisonReport(const PoisonRequestReport &Report,
                        Json::Value &Message);

/// Reads a report from a message. Fails with InvalidArgument if it is
/// malformed.
Result<PoisonRequestReport> decodePoisonReport(const Json::Value &Message);

/// Encode and decode records as one text. The text holds calendar times, so it
/// is only as accurate as the clocks of its writer and reader agree. Decoding
/// fails with InvalidArgument if the text is malformed.
std::string encodeRecords(const std::vector<PoisonRequestRecord> &Records,
                          const Instant &Now);
Result<std::vector<PoisonRequestRecord>> decodeRecords(const std::string &Text,
                                                       const Instant &Now);

/// Merges a request's record into a list. Drops records that have not changed
/// for longer than anything in them counts.
void mergeRecord(std::vector<PoisonRequestRecord> &Records,
                 PoisonRequestRecord Record, int64_t NowMillis);

/// Removes a request's record from a list. Returns whether it was there.
bool removeRecord(std::vector<PoisonRequestRecord> &Records,
                  RequestFingerprint Request);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_POISONREQUESTREPORT_H
