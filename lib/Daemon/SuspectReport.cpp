//===- SuspectReport.cpp - What daemons tell of fatal requests ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Rows in JSON, checked field by field.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/SuspectReport.h"
#include "HexNumber.h"
#include "canvaswick/Json/JsonText.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace canvaswick {

/// Ages and lengths above this are no ages.
static constexpr int64_t MostMillis = 24 * 3600 * 1000;

/// Rows of one list in one message or record; more were never written by a
/// daemon.
static constexpr Json::ArrayIndex MostRows = 256;

/// Tries are hours apart after the first few.
static constexpr int MostTries = 1000000;

/// A record without a change for this long is left out when another is written:
/// longer than the longest wait for a try.
static constexpr int64_t RecordLifeMillis = 12 * 3600 * 1000;

/// Records that are kept; the oldest go.
static constexpr size_t MostRecords = 64;

SuspectReport makeReport(const PoisonRequestUpdate &News, TimePoint Now) {
  const auto GetAge = [Now](TimePoint At) {
    return std::clamp<int64_t>(toMillis(Now - At), 0, MostMillis);
  };
  SuspectReport Report;
  for (const RequestEnd &Each : News.Ends)
    Report.Ends.push_back(
        {Each.Request, Each.Server,
         std::clamp<int64_t>(toMillis(Each.Ended - Each.Began), 0, MostMillis),
         GetAge(Each.Ended), Each.Id});
  for (const RequestAnswer &Each : News.Answers)
    Report.Answers.push_back({Each.Request, GetAge(Each.At)});
  return Report;
}

PoisonRequestUpdate readReport(const SuspectReport &Report, TimePoint Now) {
  PoisonRequestUpdate News;
  for (const EndReport &Each : Report.Ends) {
    const TimePoint Ended = Now - fromMillis(Each.AgoMs);
    News.Ends.push_back({Each.Request, Each.Server,
                         Ended - fromMillis(Each.TookMs), Ended, Each.Id});
  }
  for (const AnswerReport &Each : Report.Answers)
    News.Answers.push_back({Each.Request, Now - fromMillis(Each.AgoMs)});
  return News;
}

static Json::Value encodeEnd(const EndReport &Each) {
  Json::Value Row(Json::arrayValue);
  Row.append(fmt::format("{:x}", Each.Request));
  Row.append(fmt::format("{:x}", Each.Server));
  Row.append(static_cast<Json::Int64>(Each.TookMs));
  Row.append(static_cast<Json::Int64>(Each.AgoMs));
  Row.append(fmt::format("{:x}", Each.Id));
  return Row;
}

void encodeSuspects(const SuspectReport &Report, Json::Value &Message) {
  for (const EndReport &Each : Report.Ends)
    Message["ends"].append(encodeEnd(Each));
  for (const AnswerReport &Each : Report.Answers) {
    Json::Value Row(Json::arrayValue);
    Row.append(fmt::format("{:x}", Each.Request));
    Row.append(static_cast<Json::Int64>(Each.AgoMs));
    Message["answers"].append(Row);
  }
}

static bool decodeMillis(const Json::Value &Value, int64_t &Millis) {
  if (!Value.isInt64())
    return false;
  Millis = Value.asInt64();
  return Millis >= 0 && Millis <= MostMillis;
}

static bool decodeEnd(const Json::Value &Row, EndReport &Each) {
  return Row.isArray() && Row.size() == 5 && decodeHex(Row[0], Each.Request) &&
         decodeHex(Row[1], Each.Server) && decodeMillis(Row[2], Each.TookMs) &&
         decodeMillis(Row[3], Each.AgoMs) && decodeHex(Row[4], Each.Id);
}

static bool decodeAnswer(const Json::Value &Row, AnswerReport &Each) {
  return Row.isArray() && Row.size() == 2 && decodeHex(Row[0], Each.Request) &&
         decodeMillis(Row[1], Each.AgoMs);
}

/// Reads a list that may be missing.
template <typename T>
static Result<std::vector<T>>
decodeRows(const Json::Value &List, bool (*Decode)(const Json::Value &, T &),
           const char *What) {
  std::vector<T> Rows;
  if (List.isNull())
    return Rows;
  if (!List.isArray() || List.size() > MostRows)
    return makeError(ErrorKind::InvalidArgument, What);
  for (const Json::Value &Row : List) {
    T Each;
    if (!Decode(Row, Each))
      return makeError(ErrorKind::InvalidArgument, What);
    Rows.push_back(Each);
  }
  return Rows;
}

Result<SuspectReport> decodeSuspects(const Json::Value &Message) {
  SuspectReport Report;
  if (!Message.isObject())
    return makeError(ErrorKind::InvalidArgument, "not an object");
  BOOST_OUTCOME_TRY(Report.Ends,
                    decodeRows(Message["ends"], decodeEnd, "not an end"));
  BOOST_OUTCOME_TRY(Report.Answers, decodeRows(Message["answers"], decodeAnswer,
                                               "not an answer"));
  return Report;
}

std::string encodeRecords(const std::vector<PoisonRequestRecord> &Records,
                          const Instant &Now) {
  Json::Value Value;
  Value["requests"] = Json::arrayValue;
  for (const PoisonRequestRecord &Record : Records) {
    if (Record.Ends.empty())
      continue;
    Json::Value Entry;
    Entry["asks"] = fmt::format("{:x}", Record.Request);
    Entry["tries"] = Record.Probes;
    Entry["changed-ms"] = static_cast<Json::Int64>(Record.ChangedMillis);
    const TimePoint Last = Record.Ends.back().Ended;
    Entry["ended-ms"] = static_cast<Json::Int64>(Now.CalendarMillis -
                                                 toMillis(Now.Steady - Last));
    for (const EndReport &Each : makeReport({Record.Ends, {}}, Last).Ends)
      Entry["ends"].append(encodeEnd(Each));
    Value["requests"].append(Entry);
  }
  return writeJson(Value);
}

static bool decodeRecord(const Json::Value &Entry, const Instant &Now,
                         PoisonRequestRecord &Record) {
  if (!Entry.isObject() || !Entry["ends"].isArray() ||
      Entry["ends"].size() == 0 || Entry["ends"].size() > MostRows ||
      !decodeHex(Entry["asks"], Record.Request) || !Entry["tries"].isInt() ||
      !Entry["changed-ms"].isInt64() || !Entry["ended-ms"].isInt64())
    return false;
  Record.Probes = Entry["tries"].asInt();
  Record.ChangedMillis = Entry["changed-ms"].asInt64();
  SuspectReport Report;
  for (const Json::Value &Row : Entry["ends"]) {
    EndReport Each;
    if (!decodeEnd(Row, Each) || Each.Request != Record.Request)
      return false;
    Report.Ends.push_back(Each);
  }
  // A clock that is off by more than anything here counts changes nothing else.
  const int64_t EndedMillis =
      std::clamp(Entry["ended-ms"].asInt64(), Now.CalendarMillis - MostMillis,
                 Now.CalendarMillis);
  const TimePoint Last =
      Now.Steady - fromMillis(Now.CalendarMillis - EndedMillis);
  Record.Ends = readReport(Report, Last).Ends;
  return Record.Probes >= 0 && Record.Probes <= MostTries &&
         std::is_sorted(Record.Ends.begin(), Record.Ends.end(),
                        [](const RequestEnd &Left, const RequestEnd &Right) {
                          return Left.Ended < Right.Ended;
                        });
}

Result<std::vector<PoisonRequestRecord>> decodeRecords(const std::string &Text,
                                                       const Instant &Now) {
  Json::Value Value;
  if (!parseJson(Text, Value) || !Value.isObject() ||
      !Value["requests"].isArray() || Value["requests"].size() > MostRows)
    return makeError(ErrorKind::InvalidArgument, "not a list of requests");
  std::vector<PoisonRequestRecord> Records;
  for (const Json::Value &Entry : Value["requests"]) {
    PoisonRequestRecord Record;
    if (!decodeRecord(Entry, Now, Record))
      return makeError(ErrorKind::InvalidArgument, "not a request's record");
    Records.push_back(std::move(Record));
  }
  return Records;
}

/// Returns what a record and a later one of the same request say together, as a
/// table would take them.
static PoisonRequestRecord mergeTwo(const PoisonRequestRecord &Known,
                                    const PoisonRequestRecord &More) {
  PoisonRequestTable Both;
  Both.applyRecords({Known}, More.Ends.back().Ended);
  for (const RequestEnd &End : More.Ends)
    Both.recordEnd(End, true, More.Ends.back().Ended);
  PoisonRequestRecord Merged = Both.getRecord(More.Request);
  Merged.Probes = std::max(Known.Probes, More.Probes);
  return Merged;
}

void mergeRecord(std::vector<PoisonRequestRecord> &Records,
                 PoisonRequestRecord Record, int64_t NowMillis) {
  for (const PoisonRequestRecord &Known : Records)
    if (Known.Request == Record.Request && !Record.Ends.empty())
      Record = mergeTwo(Known, Record);
  Record.ChangedMillis = NowMillis;
  std::erase_if(Records, [&](const PoisonRequestRecord &Known) {
    return Known.Request == Record.Request ||
           NowMillis - Known.ChangedMillis > RecordLifeMillis;
  });
  Records.push_back(std::move(Record));
  if (Records.size() > MostRecords)
    Records.erase(std::min_element(
        Records.begin(), Records.end(),
        [](const PoisonRequestRecord &Left, const PoisonRequestRecord &Right) {
          return Left.ChangedMillis < Right.ChangedMillis;
        }));
}

bool removeRecord(std::vector<PoisonRequestRecord> &Records,
                  RequestFingerprint Request) {
  return std::erase_if(Records, [Request](const PoisonRequestRecord &Record) {
           return Record.Request == Request;
         }) > 0;
}

} // namespace canvaswick
