//===- ClaimIndex.cpp - State of all claimed requests of a log ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the replay of log entries and the JSON encoding of chunks.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Claims/ClaimIndex.h"
#include "canvaswick/Json/JsonText.h"
#include "canvaswick/Support/EnumNames.h"

#include <json/json.h>

#include <sstream>

namespace canvaswick {

static constexpr EnumNames<ClaimEntryKind, 4> ClaimEntryKindNames = {{
    {ClaimEntryKind::Begin, "begin"},
    {ClaimEntryKind::Ran, "ran"},
    {ClaimEntryKind::NotRun, "not-run"},
    {ClaimEntryKind::NotKnown, "not-known"},
}};

void ClaimIndex::apply(const ClaimEntry &Entry) {
  const auto Found = this->Keys.find(Entry.Key);
  if (Entry.Kind == ClaimEntryKind::Begin) {
    if (Found != this->Keys.end())
      return;
    this->Keys[Entry.Key] = {Entry.Claim,           Entry.Fingerprint,
                             Entry.Holder,          Entry.TimeMillis,
                             ClaimEntryKind::Begin, {}};
    this->ByAge.emplace_back(Entry.TimeMillis, Entry.Key);
    return;
  }
  const bool IsCurrent = Found != this->Keys.end() &&
                         Found->second.Claim == Entry.Claim &&
                         Found->second.State == ClaimEntryKind::Begin;
  if (!IsCurrent)
    return;
  // A request that was not run leaves its key free for the next attempt.
  if (Entry.Kind == ClaimEntryKind::NotRun) {
    this->Keys.erase(Found);
    return;
  }
  Found->second.State = Entry.Kind;
  Found->second.Answer = Entry.Answer;
}

bool ClaimIndex::isFree(const std::string &Key) const {
  return this->Keys.count(Key) == 0;
}

ClaimVerdict ClaimIndex::evaluate(const std::string &Key,
                                  const std::string &Fingerprint,
                                  uint64_t Claim) const {
  ClaimVerdict Verdict;
  const auto Found = this->Keys.find(Key);
  if (Found == this->Keys.end())
    return Verdict;
  const KeyState &State = Found->second;
  Verdict.Claim = State.Claim;
  if (State.Fingerprint != Fingerprint)
    Verdict.Kind = ClaimKind::DifferentRequest;
  else if (State.State == ClaimEntryKind::Begin && State.Claim == Claim)
    Verdict.Kind = ClaimKind::Granted;
  else if (State.State == ClaimEntryKind::Begin)
    Verdict.Kind = ClaimKind::StillRunning;
  else if (State.State == ClaimEntryKind::Ran)
    Verdict.Kind = ClaimKind::FirstAnswer;
  else
    Verdict.Kind = ClaimKind::NotKnown;
  Verdict.Answer = State.Answer;
  return Verdict;
}

std::string ClaimIndex::getRunningHolder(const std::string &Key) const {
  const auto Found = this->Keys.find(Key);
  if (Found == this->Keys.end() || Found->second.State != ClaimEntryKind::Begin)
    return "";
  return Found->second.Holder;
}

uint64_t ClaimIndex::getClaim(const std::string &Key) const {
  const auto Found = this->Keys.find(Key);
  return Found == this->Keys.end() ? 0 : Found->second.Claim;
}

void ClaimIndex::forgetBefore(int64_t TimeMillis) {
  while (!this->ByAge.empty() && this->ByAge.front().first < TimeMillis) {
    const auto Found = this->Keys.find(this->ByAge.front().second);
    if (Found != this->Keys.end() && Found->second.BeganMillis < TimeMillis)
      this->Keys.erase(Found);
    this->ByAge.pop_front();
  }
}

static Json::Value encodeEntry(const ClaimEntry &Entry) {
  Json::Value Value;
  Value["k"] = getEnumName(ClaimEntryKindNames, Entry.Kind);
  Value["key"] = Entry.Key;
  Value["c"] = static_cast<Json::UInt64>(Entry.Claim);
  Value["t"] = static_cast<Json::Int64>(Entry.TimeMillis);
  if (Entry.Kind == ClaimEntryKind::Begin) {
    Value["f"] = Entry.Fingerprint;
    Value["h"] = Entry.Holder;
  }
  if (Entry.Kind == ClaimEntryKind::Ran) {
    Value["s"] = Entry.Answer.Status;
    Value["ct"] = Entry.Answer.ContentType;
    Value["hb"] = Entry.Answer.HasBody;
    Value["b"] = Entry.Answer.Body;
  }
  return Value;
}

std::string encodeChunk(const ClaimChunk &Chunk) {
  Json::Value Root;
  Root["sealed"] = Chunk.IsSealed;
  Root["entries"] = Json::arrayValue;
  for (const ClaimEntry &Entry : Chunk.Entries)
    Root["entries"].append(encodeEntry(Entry));
  return writeJson(Root);
}

static bool decodeEntry(const Json::Value &Value, ClaimEntry &Entry) {
  if (!Value.isObject() || !Value["k"].isString() || !Value["key"].isString() ||
      !Value["c"].isUInt64() || !Value["t"].isInt64())
    return false;
  const auto Kind = findEnumValue(ClaimEntryKindNames, Value["k"].asString());
  if (!Kind)
    return false;
  Entry.Kind = *Kind;
  Entry.Key = Value["key"].asString();
  Entry.Claim = Value["c"].asUInt64();
  Entry.TimeMillis = Value["t"].asInt64();
  Entry.Fingerprint = Value.get("f", "").asString();
  Entry.Holder = Value.get("h", "").asString();
  Entry.Answer.Status = Value.get("s", 0).asInt();
  Entry.Answer.ContentType = Value.get("ct", "").asString();
  Entry.Answer.HasBody = Value.get("hb", true).asBool();
  Entry.Answer.Body = Value.get("b", "").asString();
  return true;
}

Result<ClaimChunk> decodeChunk(const std::string &Text) {
  Json::Value Root;
  ClaimChunk Chunk;
  if (!parseJson(Text, Root) || !Root.isObject() || !Root["entries"].isArray())
    return makeError(ErrorKind::InvalidArgument, "a claim chunk is malformed");
  Chunk.IsSealed = Root.get("sealed", false).asBool();
  for (const Json::Value &Value : Root["entries"]) {
    ClaimEntry Entry;
    if (!decodeEntry(Value, Entry))
      return makeError(ErrorKind::InvalidArgument,
                       "a claim entry is malformed");
    Chunk.Entries.push_back(std::move(Entry));
  }
  return Chunk;
}

} // namespace canvaswick
