//===- MembershipAgent.cpp - Talks with other daemons about who there is --===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Messages carry records as short arrays, since they are sent every second.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/MembershipAgent.h"
#include "canvaswick/Support/Hash.h"
#include "canvaswick/Support/Log.h"

#include <algorithm>

namespace canvaswick {

static constexpr Duration PingTimeout = fromMillis(400);
static constexpr Duration AskTimeout = fromMillis(900);
static constexpr size_t Helpers = 3;

/// Every so many rounds an address that is no member is asked.
static constexpr uint64_t StrangerRounds = 10;

Json::Value encodeMember(const MemberRecord &Record) {
  Json::Value Value(Json::arrayValue);
  Value.append(Record.Name);
  Value.append(Record.Hall);
  Value.append(Record.Control.format());
  Value.append(static_cast<Json::UInt64>(Record.Incarnation));
  Value.append(getName(Record.State));
  return Value;
}

bool decodeMember(const Json::Value &Value, MemberRecord &Record) {
  if (!Value.isArray() || Value.size() != 5 || !Value[0].isString() ||
      !Value[1].isString() || !Value[2].isString() || !Value[3].isUInt64() ||
      !Value[4].isString())
    return false;
  Result<Endpoint> Control = parseEndpoint(Value[2].asString());
  const std::optional<MemberState> State = findMemberState(Value[4].asString());
  if (!Control || !State)
    return false;
  Record = {Value[0].asString(), Value[1].asString(), Control.value(),
            Value[3].asUInt64(), *State};
  return true;
}

static MemberRecord makeSelf(const ControlContext &Context) {
  return {Context.Config.Name, Context.Config.Hall, Context.Config.Control,
          Context.StartMillis, MemberState::Alive};
}

MembershipAgent::MembershipAgent(const ControlContext &Context)
    : Context(Context),
      Table(makeSelf(Context), MembershipTuning(), readSteadyClock()),
      Random(hashText(Context.Config.Name, Context.StartMillis)),
      Seeds(Context.Config.Seeds) {}

void MembershipAgent::setVersionHooks(VersionWriter Writer,
                                      VersionReader Reader) {
  this->Writer = std::move(Writer);
  this->Reader = std::move(Reader);
}

void MembershipAgent::addMethods(JsonRpcDispatcher &Dispatcher) {
  Dispatcher.add("member.ping", [this](const Json::Value &Params) {
    return this->answerPing(Params);
  });
  Dispatcher.add("member.ping-for", [this](const Json::Value &Params) {
    return this->answerPingFor(Params);
  });
}

Json::Value MembershipAgent::makeMessage(const std::string &Receiver,
                                         bool WantsAll) {
  Json::Value Message;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Message["from"] = encodeMember(this->Table.getSelf());
    Message["changes"] = Json::arrayValue;
    const std::vector<MemberRecord> Records =
        WantsAll ? this->Table.getAll() : this->Table.collectChanges(Receiver);
    for (const MemberRecord &Record : Records)
      Message["changes"].append(encodeMember(Record));
  }
  if (this->Writer)
    this->Writer(Message);
  return Message;
}

void MembershipAgent::takeMessage(const Json::Value &Message) {
  MemberRecord From;
  if (!decodeMember(Message["from"], From))
    return;
  const TimePoint Now = readSteadyClock();
  bool IsChanged = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const uint64_t Before = this->Table.getWorkingVersion();
    this->Table.applyRecord(From, Now);
    this->Table.recordContact(From.Name, Now);
    for (const Json::Value &Value : Message["changes"]) {
      MemberRecord Record;
      if (decodeMember(Value, Record))
        this->Table.applyRecord(Record, Now);
    }
    IsChanged = Before != this->Table.getWorkingVersion();
  }
  if (IsChanged)
    logInfo("members-changed", "working={}", this->getWorking().size());
  if (this->Reader)
    this->Reader(From, Message);
}

Json::Value MembershipAgent::answerPing(const Json::Value &Params) {
  this->takeMessage(Params);
  const std::string From = Params["from"][0].asString();
  return this->makeMessage(From, Params.get("all", false).asBool());
}

Json::Value MembershipAgent::answerPingFor(const Json::Value &Params) {
  MemberRecord Target;
  Json::Value Answer;
  Answer["ok"] =
      decodeMember(Params["target"], Target) && this->ping(Target, PingTimeout);
  return Answer;
}

bool MembershipAgent::ping(const MemberRecord &Target, Duration Timeout) {
  this->Context.Counters.add(Counter::HeartbeatsSent);
  const Json::Value Message = this->makeMessage(Target.Name, false);
  Result<Json::Value> Answer = this->Context.Caller.call(
      Target.Control, "member.ping", Message, Timeout);
  if (!Answer)
    return false;
  this->takeMessage(Answer.value());
  return true;
}

/// Asks some others to ping a member that did not answer us: the way to it may
/// be cut for us alone.
bool MembershipAgent::askOthers(const MemberRecord &Target) {
  Json::Value Params;
  Params["target"] = encodeMember(Target);
  for (const MemberRecord &Helper : this->choose(Helpers, Target.Name)) {
    Result<Json::Value> Answer = this->Context.Caller.call(
        Helper.Control, "member.ping-for", Params, AskTimeout);
    if (Answer && Answer.value().get("ok", false).asBool())
      return true;
  }
  return false;
}

/// Asks one address for all members. Returns whether it answered.
bool MembershipAgent::tryJoin(const Endpoint &Seed) {
  Json::Value Message = this->makeMessage("", false);
  Message["all"] = true;
  Result<Json::Value> Answer =
      this->Context.Caller.call(Seed, "member.ping", Message, PingTimeout);
  if (Answer)
    this->takeMessage(Answer.value());
  return Answer.has_value();
}

void MembershipAgent::join() {
  std::vector<Endpoint> Known;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Known = this->Seeds;
    std::shuffle(Known.begin(), Known.end(), this->Random);
  }
  for (const Endpoint &Seed : Known)
    if (!(Seed == this->Context.Config.Control) && this->tryJoin(Seed))
      return;
}

/// Asks one address that should be a daemon but is no member here. Two parts of
/// the fleet that were cut off for so long that they forgot each other find
/// each other again this way.
void MembershipAgent::greetStranger() {
  std::vector<Endpoint> Strangers;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const std::vector<MemberRecord> Known = this->Table.getAll();
    for (const Endpoint &Seed : this->Seeds) {
      const bool IsKnown = std::any_of(Known.begin(), Known.end(),
                                       [&Seed](const MemberRecord &Record) {
                                         return Record.Control == Seed;
                                       });
      if (!IsKnown)
        Strangers.push_back(Seed);
    }
    std::shuffle(Strangers.begin(), Strangers.end(), this->Random);
  }
  if (!Strangers.empty())
    this->tryJoin(Strangers.front());
}

void MembershipAgent::runRound() {
  if (++this->Rounds % StrangerRounds == 0)
    this->greetStranger();
  std::optional<MemberRecord> Target;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Target = this->Table.choosePingTarget(this->Random);
  }
  if (!Target) {
    this->join();
  } else if (!this->ping(*Target, PingTimeout) && !this->askOthers(*Target)) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Table.recordUnreachable(Target->Name, readSteadyClock());
  }
  size_t Lost = 0;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Lost = this->Table.advance(readSteadyClock());
  }
  if (Lost == 0)
    return;
  this->Context.Counters.add(Counter::MembersLost, Lost);
  logWarning("members-lost", "count={} working={}", Lost,
             this->getWorking().size());
}

void MembershipAgent::addSeeds(const std::vector<Endpoint> &More) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Seeds = this->Context.Config.Seeds;
  this->Seeds.insert(this->Seeds.end(), More.begin(), More.end());
}

void MembershipAgent::leave() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Table.leave();
  }
  // Tell a few at once; they pass it on.
  for (const MemberRecord &Peer : this->choose(Helpers, ""))
    this->ping(Peer, PingTimeout);
}

std::vector<std::string> MembershipAgent::getWorking() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.getWorking();
}

uint64_t MembershipAgent::getWorkingVersion() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.getWorkingVersion();
}

std::vector<MemberRecord> MembershipAgent::getAll() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.getAll();
}

std::optional<MemberRecord>
MembershipAgent::find(const std::string &Name) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.find(Name);
}

std::vector<MemberRecord> MembershipAgent::choose(size_t Count,
                                                  const std::string &Except) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Table.choose(Count, Except, this->Random);
}

} // namespace canvaswick
