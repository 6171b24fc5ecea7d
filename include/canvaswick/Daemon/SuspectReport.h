//===- SuspectReport.h - What daemons tell of fatal requests ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Ends and answers as they travel, by their ages, and records as they are kept
/// outside the daemons.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_SUSPECTREPORT_H
#define CANVASWICK_DAEMON_SUSPECTREPORT_H

#include "canvaswick/Admission/PoisonRequestTable.h"
#include "canvaswick/Support/Error.h"

#include <json/json.h>

#include <string>
#include <vector>

namespace canvaswick {

/// One end by its age, in whole milliseconds.
struct EndReport {
  RequestFingerprint Request = 0;
  EndedServerId Server = 0;
  /// How long the attempt had taken.
  int64_t TookMs = 0;
  int64_t AgoMs = 0;
  uint32_t Id = 0;

  bool operator==(const EndReport &) const = default;
};

/// One answer by its age, in whole milliseconds.
struct AnswerReport {
  RequestFingerprint Request = 0;
  int64_t AgoMs = 0;

  bool operator==(const AnswerReport &) const = default;
};

/// News as a message carries it.
struct SuspectReport {
  std::vector<EndReport> Ends;
  std::vector<AnswerReport> Answers;

  bool isEmpty() const { return this->Ends.empty() && this->Answers.empty(); }
  bool operator==(const SuspectReport &) const = default;
};

/// Returns news as a message that leaves now carries it, and back.
SuspectReport makeReport(const PoisonRequestUpdate &News, TimePoint Now);
PoisonRequestUpdate readReport(const SuspectReport &Report, TimePoint Now);

/// Writes a report into a message: "ends" and "answers", if there are any.
void encodeSuspects(const SuspectReport &Report, Json::Value &Message);

/// Reads a report from a message. Fails with InvalidArgument.
Result<SuspectReport> decodeSuspects(const Json::Value &Message);

/// Writes and reads the records as one text, which holds calendar times: it is
/// as right as the clocks of its writer and reader agree. Fails with
/// InvalidArgument.
std::string encodeRecords(const std::vector<PoisonRequestRecord> &Records,
                          const Instant &Now);
Result<std::vector<PoisonRequestRecord>> decodeRecords(const std::string &Text,
                                                       const Instant &Now);

/// Puts a request's record into a list, merged with what is there. Leaves out
/// what has not changed for longer than anything in it counts.
void mergeRecord(std::vector<PoisonRequestRecord> &Records,
                 PoisonRequestRecord Record, int64_t NowMillis);

/// Takes a request's record off a list. Returns whether it was there.
bool removeRecord(std::vector<PoisonRequestRecord> &Records,
                  RequestFingerprint Request);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_SUSPECTREPORT_H
