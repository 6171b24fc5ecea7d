//===- AllowanceAgent.cpp - Daemons tell what organisations ask -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One round each quarter of a second, and what is done with what others say.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/AllowanceAgent.h"
#include "canvaswick/Daemon/AllowanceWire.h"

#include <utility>

namespace canvaswick {

/// A call that takes longer says nothing that the next one does not say better.
static constexpr Duration TellTimeout = 2 * SpeakInterval;

/// Threads for calls, and calls that wait for one: those of a round in the
/// largest hall that CAPACITY.md has.
static constexpr WorkerPoolLimits CallLimits = {.Most = 4, .Queue = 512};

/// A message tells of this many organisations at most; the others come next.
static constexpr size_t MostLevels = 200;

/// In one of so many rounds a hall tells of all organisations, in the others of
/// those that come near their limit.
static constexpr uint64_t RoundsOfAll = 4;

Json::Value encodeAllowanceMessage(const AllowanceMessage &Message) {
  Json::Value Value(Json::objectValue);
  Value["f"] = Message.Source;
  Value["h"] = Message.Hall;
  Value["n"] = static_cast<Json::UInt64>(Message.Sequence);
  Value["o"] = encodeLevels(Message.Levels);
  Value["a"] = encodeLevels(Message.HallLevels);
  Value["p"] = Json::arrayValue;
  for (const HallWord &Word : Message.Passed) {
    Json::Value Entry(Json::objectValue);
    Entry["h"] = Word.Hall;
    Entry["f"] = Word.Teller;
    Entry["n"] = static_cast<Json::UInt64>(Word.Sequence);
    Entry["a"] = encodeLevels(Word.Levels);
    Value["p"].append(std::move(Entry));
  }
  return Value;
}

static bool decodeHallWord(const Json::Value &Value, HallWord &Word) {
  if (!Value.isObject() || !Value["h"].isString() || !Value["f"].isString() ||
      !Value["n"].isUInt64())
    return false;
  Word.Hall = Value["h"].asString();
  Word.Teller = Value["f"].asString();
  Word.Sequence = Value["n"].asUInt64();
  return decodeLevels(Value["a"], Word.Levels);
}

bool decodeAllowanceMessage(const Json::Value &Value,
                            AllowanceMessage &Message) {
  if (!Value.isObject() || !Value["f"].isString() || !Value["h"].isString() ||
      !Value["n"].isUInt64() || !Value["p"].isArray())
    return false;
  Message.Source = Value["f"].asString();
  Message.Hall = Value["h"].asString();
  Message.Sequence = Value["n"].asUInt64();
  for (const Json::Value &Entry : Value["p"]) {
    HallWord Word;
    if (!decodeHallWord(Entry, Word))
      return false;
    Message.Passed.push_back(std::move(Word));
  }
  return decodeLevels(Value["o"], Message.Levels) &&
         decodeLevels(Value["a"], Message.HallLevels);
}

AllowanceAgent::AllowanceAgent(const ControlContext &Context,
                               MembershipAgent &Members,
                               OrganisationQuotas &Organisations)
    : Context(Context), Members(Members), Organisations(Organisations),
      Calls(CallLimits), Sequence(Context.StartMillis),
      Random(Context.StartMillis) {}

void AllowanceAgent::addMethods(JsonRpcDispatcher &Dispatcher) {
  Dispatcher.add("allowances.tell", [this](const Json::Value &Params) {
    return this->answerTell(Params);
  });
}

void AllowanceAgent::stop() { this->Calls.stop(); }

//===-- Telling -----------------------------------------------------------===//

/// Looks up who there is, if that has changed.
void AllowanceAgent::updateFleet(TimePoint Now) {
  const uint64_t Version = this->Members.getWorkingVersion();
  if (std::exchange(this->FleetVersion, Version) == Version)
    return;
  this->Near.clear();
  this->Far.clear();
  std::vector<std::string> NearNames;
  std::map<std::string, size_t> FarCounts;
  for (const std::string &Name : this->Members.getWorking()) {
    const std::optional<MemberRecord> Member = this->Members.find(Name);
    if (!Member || Name == this->Context.Config.Name)
      continue;
    if (Member->Hall == this->Context.Config.Hall) {
      this->Near.push_back(*Member);
      NearNames.push_back(Name);
    } else {
      this->Far[Member->Hall].push_back(*Member);
      ++FarCounts[Member->Hall];
    }
  }
  this->Organisations.with([&](FleetAllowance &All) {
    All.getHeard().setFleet(NearNames, FarCounts, Now);
  });
}

AllowanceMessage AllowanceAgent::makeMessage(TimePoint Now) {
  AllowanceMessage Message;
  Message.Source = this->Context.Config.Name;
  Message.Hall = this->Context.Config.Hall;
  Message.Sequence = ++this->Sequence;
  Message.Levels = this->Organisations.with(
      [Now](FleetAllowance &All) { return All.takeNews(MostLevels, Now); });
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (auto &[Hall, Word] : this->ToPass)
    Message.Passed.push_back(std::move(Word));
  this->ToPass.clear();
  return Message;
}

/// Returns whether it is this daemon that speaks for its hall.
bool AllowanceAgent::isHallDue(TimePoint Now) {
  return !this->Far.empty() &&
         this->Organisations.with([&](FleetAllowance &All) {
           return All.getHeard().isFirst(this->Context.Config.Name, Now);
         });
}

/// Tells one daemon of each other hall, another one each time: a daemon that
/// cannot be reached holds up one message.
void AllowanceAgent::tellHalls(const AllowanceMessage &Base, TimePoint Now) {
  AllowanceMessage Message;
  Message.Source = Base.Source;
  Message.Hall = Base.Hall;
  Message.Sequence = Base.Sequence;
  const bool WantsAll = this->Rounds % RoundsOfAll == 0;
  Message.HallLevels =
      this->Organisations.with([WantsAll, Now](FleetAllowance &All) {
        return All.getHallLevels(WantsAll, Now);
      });
  const Json::Value Encoded = encodeAllowanceMessage(Message);
  for (const auto &[Hall, Daemons] : this->Far) {
    std::uniform_int_distribution<size_t> Any(0, Daemons.size() - 1);
    this->tell(Daemons[Any(this->Random)], Encoded);
  }
}

void AllowanceAgent::runRound(TimePoint Now) {
  const bool HasLimits = this->Organisations.with(
      [](FleetAllowance &All) { return All.hasLimits(); });
  if (!HasLimits)
    return;
  this->updateFleet(Now);
  ++this->Rounds;
  const AllowanceMessage Message = this->makeMessage(Now);
  const Json::Value Encoded = encodeAllowanceMessage(Message);
  for (const MemberRecord &Peer : this->Near)
    this->tell(Peer, Encoded);
  if (this->isHallDue(Now))
    this->tellHalls(Message, Now);
}

/// Calls a peer, unless the last call to it is still under way: counts are
/// absolute, so that the next message makes up for one that is left out.
void AllowanceAgent::tell(const MemberRecord &Peer,
                          const Json::Value &Message) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->Busy.insert(Peer.Name).second)
      return;
  }
  const auto Call = [this, Peer, Message] {
    // A peer that does not answer shows by its silence in turn.
    (void)this->Context.Caller.call(Peer.Control, "allowances.tell", Message,
                                    TellTimeout);
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Busy.erase(Peer.Name);
  };
  if (this->Calls.trySubmit(Call))
    return;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Busy.erase(Peer.Name);
}

//===-- Hearing -----------------------------------------------------------===//

/// Notes a message of a daemon. Returns whether none later came before. The
/// caller holds no lock.
bool AllowanceAgent::isLater(const std::string &Source, uint64_t Sequence) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  uint64_t &Last = this->Taken[Source];
  if (Sequence <= Last)
    return false;
  Last = Sequence;
  return true;
}

void AllowanceAgent::takeHall(const HallWord &Word, TimePoint Now) {
  if (Word.Hall == this->Context.Config.Hall)
    return;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    uint64_t &Last = this->TakenAsTeller[Word.Teller];
    if (Word.Sequence <= Last)
      return;
    Last = Word.Sequence;
  }
  this->Organisations.with([&](FleetAllowance &All) {
    All.takeHallLevels(Word.Hall, Word.Teller, Word.Levels, Now);
  });
}

void AllowanceAgent::take(const AllowanceMessage &Message, TimePoint Now) {
  if (Message.Hall != this->Context.Config.Hall) {
    const HallWord Word = {Message.Hall, Message.Source, Message.Sequence,
                           Message.HallLevels};
    this->takeHall(Word, Now);
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ToPass[Word.Hall] = Word;
    return;
  }
  if (!this->isLater(Message.Source, Message.Sequence))
    return;
  this->Organisations.with([&](FleetAllowance &All) {
    All.takePeerLevels(Message.Source, Message.Levels, Now);
  });
  for (const HallWord &Word : Message.Passed)
    this->takeHall(Word, Now);
}

Json::Value AllowanceAgent::answerTell(const Json::Value &Params) {
  AllowanceMessage Message;
  if (!decodeAllowanceMessage(Params, Message))
    return makeCallError(
        {ErrorKind::InvalidArgument, "no message on organisations"});
  this->take(Message, readSteadyClock());
  return Json::Value(Json::objectValue);
}

} // namespace canvaswick
