//===- ClaimAgent.cpp - Grants the right to run a keyed request -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Decides which daemon writes a claim. ClaimWriter writes the logs.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/ClaimAgent.h"
#include "canvaswick/Support/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>

namespace canvaswick {

/// The minimum time between two writes to one log: sixteen logs make at most
/// 320 writes a second. A claim that finds its log idle does not wait.
static constexpr Duration MinWriteInterval = fromMillis(50);

/// The maximum number of daemons asked to write a claim, not counting this one.
static constexpr size_t MaxRankedWriters = 3;

/// The timeout of a call to a shard's writer.
static constexpr Duration WriterTimeout = fromSeconds(2);

/// A restarted process has an incarnation that is higher by at least this much.
/// A process that refutes suspicions of its death increases its incarnation by
/// less.
static constexpr uint64_t IncarnationsPerProcess = 1000;

ClaimAgent::ClaimAgent(const ControlContext &Context, MembershipAgent &Members)
    : Context(Context), Members(Members),
      Holder(fmt::format("{}#{}", Context.Config.Name, Context.StartMillis)),
      Random(hashText(this->Holder, std::random_device()())) {
  for (size_t I = 0; I < ClaimShards; ++I)
    this->Shards.push_back(std::make_unique<ClaimWriter>(
        Context.Platform, I,
        fromSeconds(static_cast<double>(Context.Config.ClaimMemorySeconds)),
        MinWriteInterval));
}

void ClaimAgent::addMethods(JsonRpcDispatcher &Dispatcher) {
  Dispatcher.add("claim.begin", [this](const Json::Value &Params) {
    return this->handleBegin(Params);
  });
  Dispatcher.add("claim.finish", [this](const Json::Value &Params) {
    return this->handleFinish(Params);
  });
}

ClaimWriter &ClaimAgent::getShard(const std::string &Key) {
  return *this->Shards[hashText(Key) % ClaimShards];
}

uint64_t ClaimAgent::makeClaim() {
  std::lock_guard<std::mutex> Lock(this->RandomMutex);
  return std::max<uint64_t>(1, this->Random());
}

ClaimEntry ClaimAgent::makeBegin(const std::string &Key,
                                 const std::string &Fingerprint) {
  ClaimEntry Entry;
  Entry.Kind = ClaimEntryKind::Begin;
  Entry.Key = Key;
  Entry.Claim = this->makeClaim();
  Entry.Fingerprint = Fingerprint;
  Entry.Holder = this->Holder;
  Entry.TimeMillis = readCalendarMillis();
  return Entry;
}

static Json::Value encodeVerdict(const ClaimVerdict &Verdict) {
  Json::Value Value;
  Value["kind"] = static_cast<int>(Verdict.Kind);
  Value["claim"] = static_cast<Json::UInt64>(Verdict.Claim);
  Value["status"] = Verdict.Answer.Status;
  Value["type"] = Verdict.Answer.ContentType;
  Value["body"] = Verdict.Answer.Body;
  Value["has-body"] = Verdict.Answer.HasBody;
  return Value;
}

static ClaimVerdict decodeVerdict(const Json::Value &Value) {
  ClaimVerdict Verdict;
  const int Kind = Value.get("kind", -1).asInt();
  if (Kind < 0 || Kind > static_cast<int>(ClaimKind::Unavailable))
    return Verdict;
  Verdict.Kind = static_cast<ClaimKind>(Kind);
  Verdict.Claim = Value["claim"].asUInt64();
  Verdict.Answer = {Value["status"].asInt(), Value["type"].asString(),
                    Value["body"].asString(), Value["has-body"].asBool()};
  return Verdict;
}

/// Lists the daemons that may write a key's claim in the order in which they
/// are asked: the writer of the shard's log, this daemon, then others that may
/// still reach the platform when those two do not.
std::vector<std::string> ClaimAgent::listWriters(const std::string &Key) const {
  const std::vector<std::string> Working = this->Members.getWorking();
  const std::string Shard =
      fmt::format("claims/{}", hashText(Key) % ClaimShards);
  const std::vector<size_t> Order = rankByRendezvous(Shard, Working);
  const std::string &Self = this->Context.Config.Name;
  std::vector<std::string> Writers;
  for (size_t I = 0; I < std::min(Order.size(), MaxRankedWriters); ++I) {
    if (I == 1 && Writers.front() != Self)
      Writers.push_back(Self);
    if (I == 0 || Working[Order[I]] != Self)
      Writers.push_back(Working[Order[I]]);
  }
  if (std::find(Writers.begin(), Writers.end(), Self) == Writers.end())
    Writers.push_back(Self);
  return Writers;
}

ClaimVerdict ClaimAgent::begin(const std::string &Key,
                               const std::string &Fingerprint,
                               TimePoint Deadline) {
  for (const std::string &Writer : this->listWriters(Key)) {
    if (readSteadyClock() >= Deadline)
      break;
    ClaimEntry Entry = this->makeBegin(Key, Fingerprint);
    const uint64_t Claim = Entry.Claim;
    const bool IsSelf = Writer == this->Context.Config.Name;
    const ClaimVerdict Verdict = IsSelf
                                     ? this->beginLocally(std::move(Entry))
                                     : this->askWriter(Writer, Entry, Deadline);
    if (Verdict.Kind == ClaimKind::Granted)
      this->recordWriter(Claim, Writer);
    if (Verdict.Kind != ClaimKind::Unavailable)
      return Verdict;
    // Whatever happened to that claim, it will not be used. It is released, and
    // the next attempt uses a new claim id.
    if (!IsSelf)
      this->getShard(Key).giveUp(Key, Claim);
  }
  return ClaimVerdict();
}

void ClaimAgent::recordWriter(uint64_t Claim, const std::string &Writer) {
  std::lock_guard<std::mutex> Lock(this->WritersMutex);
  this->Writers[Claim] = Writer;
}

std::string ClaimAgent::extractWriter(uint64_t Claim) {
  std::lock_guard<std::mutex> Lock(this->WritersMutex);
  const auto Found = this->Writers.find(Claim);
  if (Found == this->Writers.end())
    return this->Context.Config.Name;
  const std::string Writer = Found->second;
  this->Writers.erase(Found);
  return Writer;
}

/// Asks another daemon to write a claim.
ClaimVerdict ClaimAgent::askWriter(const std::string &Writer,
                                   const ClaimEntry &Entry,
                                   TimePoint Deadline) {
  const std::optional<MemberRecord> Peer = this->Members.find(Writer);
  if (!Peer)
    return ClaimVerdict();
  Json::Value Params;
  Params["key"] = Entry.Key;
  Params["fingerprint"] = Entry.Fingerprint;
  Params["claim"] = static_cast<Json::UInt64>(Entry.Claim);
  Params["holder"] = Entry.Holder;
  Params["time"] = static_cast<Json::Int64>(Entry.TimeMillis);
  const Duration Left = Deadline - readSteadyClock();
  Result<Json::Value> Answer = this->Context.Caller.call(
      Peer->Control, "claim.begin", Params, std::min(WriterTimeout, Left / 2));
  return Answer ? decodeVerdict(Answer.value()) : ClaimVerdict();
}

ClaimVerdict ClaimAgent::beginLocally(ClaimEntry Entry) {
  const std::string Key = Entry.Key;
  return this->resolveRunning(this->getShard(Key).begin(std::move(Entry)), Key);
}

bool ClaimAgent::isHolderRunning(const std::string &RunningHolder) const {
  const size_t Separator = RunningHolder.rfind('#');
  if (Separator == std::string::npos)
    return false;
  const std::string Name = RunningHolder.substr(0, Separator);
  const uint64_t Start =
      std::strtoull(RunningHolder.c_str() + Separator + 1, nullptr, 10);
  const std::optional<MemberRecord> Member = this->Members.find(Name);
  return Member && Member->State != MemberState::Dead &&
         Member->Incarnation < Start + IncarnationsPerProcess;
}

/// A claim whose holder has stopped never ends, so its result is unknown.
ClaimVerdict ClaimAgent::resolveRunning(ClaimVerdict Verdict,
                                        const std::string &Key) {
  if (Verdict.Kind == ClaimKind::StillRunning &&
      !this->isHolderRunning(this->getShard(Key).getRunningHolder(Key)))
    Verdict.Kind = ClaimKind::NotKnown;
  return Verdict;
}

static ClaimEntryKind getEntryKind(ClaimEnd End) {
  switch (End) {
  case ClaimEnd::Ran:
    return ClaimEntryKind::Ran;
  case ClaimEnd::NotRun:
    return ClaimEntryKind::NotRun;
  case ClaimEnd::NotKnown:
    return ClaimEntryKind::NotKnown;
  }
  return ClaimEntryKind::NotKnown;
}

void ClaimAgent::finish(const std::string &Key, uint64_t Claim, ClaimEnd End,
                        const FirstAnswer &Answer) {
  ClaimEntry Entry;
  Entry.Kind = getEntryKind(End);
  Entry.Key = Key;
  Entry.Claim = Claim;
  Entry.TimeMillis = readCalendarMillis();
  Entry.Answer = Answer;
  if (!Answer.HasBody)
    Entry.Answer.Body.clear();
  // The result goes to the daemon that wrote the claim, which reached the
  // platform recently.
  const std::string Name = this->extractWriter(Claim);
  std::optional<MemberRecord> Writer;
  if (Name != this->Context.Config.Name)
    Writer = this->Members.find(Name);
  const bool IsSent =
      Writer && this->Context.Calls.trySubmit([this, Writer = *Writer, Entry] {
        Json::Value Params;
        Params["key"] = Entry.Key;
        Params["claim"] = static_cast<Json::UInt64>(Entry.Claim);
        Params["end"] = static_cast<int>(Entry.Kind);
        Params["time"] = static_cast<Json::Int64>(Entry.TimeMillis);
        Params["status"] = Entry.Answer.Status;
        Params["type"] = Entry.Answer.ContentType;
        Params["body"] = Entry.Answer.Body;
        Params["has-body"] = Entry.Answer.HasBody;
        if (!this->Context.Caller.call(Writer.Control, "claim.finish", Params,
                                       WriterTimeout))
          this->getShard(Entry.Key).addEnd(Entry);
      });
  if (!IsSent)
    this->getShard(Key).addEnd(std::move(Entry));
}

void ClaimAgent::runRound() {
  uint64_t Writes = 0;
  for (const std::unique_ptr<ClaimWriter> &Each : this->Shards) {
    Each->runRound();
    Writes += Each->countWrites();
  }
  this->Context.Counters.add(Counter::ClaimWrites,
                             Writes - this->WritesCounted);
  this->WritesCounted = Writes;
}

Json::Value ClaimAgent::handleBegin(const Json::Value &Params) {
  ClaimEntry Entry;
  Entry.Kind = ClaimEntryKind::Begin;
  Entry.Key = Params["key"].asString();
  Entry.Claim = Params["claim"].asUInt64();
  Entry.Fingerprint = Params["fingerprint"].asString();
  Entry.Holder = Params["holder"].asString();
  Entry.TimeMillis = Params["time"].asInt64();
  return encodeVerdict(this->beginLocally(std::move(Entry)));
}

Json::Value ClaimAgent::handleFinish(const Json::Value &Params) {
  ClaimEntry Entry;
  const int Kind = Params["end"].asInt();
  if (Kind <= static_cast<int>(ClaimEntryKind::Begin) ||
      Kind > static_cast<int>(ClaimEntryKind::NotKnown))
    return makeCallError({ErrorKind::InvalidArgument, "no such end"});
  Entry.Kind = static_cast<ClaimEntryKind>(Kind);
  Entry.Key = Params["key"].asString();
  Entry.Claim = Params["claim"].asUInt64();
  Entry.TimeMillis = Params["time"].asInt64();
  Entry.Answer = {Params["status"].asInt(), Params["type"].asString(),
                  Params["body"].asString(), Params["has-body"].asBool()};
  this->getShard(Params["key"].asString()).addEnd(std::move(Entry));
  return Json::Value(Json::objectValue);
}

} // namespace canvaswick
