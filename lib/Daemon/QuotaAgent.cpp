//===- QuotaAgent.cpp - Daemons tell what organisations ask ---------------===//
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

#include "canvaswick/Daemon/QuotaAgent.h"
#include "canvaswick/Daemon/QuotaEncoding.h"

#include <utility>

namespace canvaswick {

/// A call that takes longer says nothing that the next one does not say better.
static constexpr Duration TellTimeout = 2 * QuotaReportInterval;

/// Threads for calls, and calls that wait for one: those of a round in the
/// largest hall that CAPACITY.md has.
static constexpr WorkerPoolLimits CallLimits = {.MaxThreads = 4, .Queue = 512};

/// A message tells of this many organisations at most; the others come next.
static constexpr size_t MostLevels = 200;

/// In one of so many rounds a hall tells of all organisations, in the others of
/// those that come near their limit.
static constexpr uint64_t RoundsOfAll = 4;

Json::Value encodeQuotaMessage(const QuotaMessage &Message) {
  Json::Value Value(Json::objectValue);
  Value["f"] = Message.Source;
  Value["h"] = Message.Hall;
  Value["n"] = static_cast<Json::UInt64>(Message.Sequence);
  Value["o"] = encodeUsages(Message.Usages);
  Value["a"] = encodeUsages(Message.HallUsages);
  Value["p"] = Json::arrayValue;
  for (const HallUsage &Word : Message.RelayedHalls) {
    Json::Value Entry(Json::objectValue);
    Entry["h"] = Word.Hall;
    Entry["f"] = Word.Reporter;
    Entry["n"] = static_cast<Json::UInt64>(Word.Sequence);
    Entry["a"] = encodeUsages(Word.Usages);
    Value["p"].append(std::move(Entry));
  }
  return Value;
}

static bool decodeHallWord(const Json::Value &Value, HallUsage &Word) {
  if (!Value.isObject() || !Value["h"].isString() || !Value["f"].isString() ||
      !Value["n"].isUInt64())
    return false;
  Word.Hall = Value["h"].asString();
  Word.Reporter = Value["f"].asString();
  Word.Sequence = Value["n"].asUInt64();
  return decodeUsages(Value["a"], Word.Usages);
}

bool decodeQuotaMessage(const Json::Value &Value, QuotaMessage &Message) {
  if (!Value.isObject() || !Value["f"].isString() || !Value["h"].isString() ||
      !Value["n"].isUInt64() || !Value["p"].isArray())
    return false;
  Message.Source = Value["f"].asString();
  Message.Hall = Value["h"].asString();
  Message.Sequence = Value["n"].asUInt64();
  for (const Json::Value &Entry : Value["p"]) {
    HallUsage Word;
    if (!decodeHallWord(Entry, Word))
      return false;
    Message.RelayedHalls.push_back(std::move(Word));
  }
  return decodeUsages(Value["o"], Message.Usages) &&
         decodeUsages(Value["a"], Message.HallUsages);
}

QuotaAgent::QuotaAgent(const ControlContext &Context, MembershipAgent &Members,
                       OrganisationQuotas &Organisations)
    : Context(Context), Members(Members), Organisations(Organisations),
      Calls(CallLimits), Sequence(Context.StartMillis),
      Random(Context.StartMillis) {}

void QuotaAgent::addMethods(JsonRpcDispatcher &Dispatcher) {
  Dispatcher.add("allowances.tell", [this](const Json::Value &Params) {
    return this->answerTell(Params);
  });
}

void QuotaAgent::stop() { this->Calls.stop(); }

//===-- Telling -----------------------------------------------------------===//

/// Looks up who there is, if that has changed.
void QuotaAgent::updateFleet(TimePoint Now) {
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
  this->Organisations.with([&](FleetQuota &All) {
    All.getLiveness().setFleet(NearNames, FarCounts, Now);
  });
}

QuotaMessage QuotaAgent::makeMessage(TimePoint Now) {
  QuotaMessage Message;
  Message.Source = this->Context.Config.Name;
  Message.Hall = this->Context.Config.Hall;
  Message.Sequence = ++this->Sequence;
  Message.Usages = this->Organisations.with([Now](FleetQuota &All) {
    return All.drainUsageChanges(MostLevels, Now);
  });
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (auto &[Hall, Word] : this->ToPass)
    Message.RelayedHalls.push_back(std::move(Word));
  this->ToPass.clear();
  return Message;
}

/// Returns whether it is this daemon that speaks for its hall.
bool QuotaAgent::isHallDue(TimePoint Now) {
  return !this->Far.empty() && this->Organisations.with([&](FleetQuota &All) {
    return All.getLiveness().isHallReporter(this->Context.Config.Name, Now);
  });
}

/// Tells one daemon of each other hall, another one each time: a daemon that
/// cannot be reached holds up one message.
void QuotaAgent::tellHalls(const QuotaMessage &Base, TimePoint Now) {
  QuotaMessage Message;
  Message.Source = Base.Source;
  Message.Hall = Base.Hall;
  Message.Sequence = Base.Sequence;
  const bool WantsAll = this->Rounds % RoundsOfAll == 0;
  Message.HallUsages =
      this->Organisations.with([WantsAll, Now](FleetQuota &All) {
        return All.getHallUsage(WantsAll, Now);
      });
  const Json::Value Encoded = encodeQuotaMessage(Message);
  for (const auto &[Hall, Daemons] : this->Far) {
    std::uniform_int_distribution<size_t> Any(0, Daemons.size() - 1);
    this->tell(Daemons[Any(this->Random)], Encoded);
  }
}

void QuotaAgent::runRound(TimePoint Now) {
  const bool HasLimits =
      this->Organisations.with([](FleetQuota &All) { return All.hasLimits(); });
  if (!HasLimits)
    return;
  this->updateFleet(Now);
  ++this->Rounds;
  const QuotaMessage Message = this->makeMessage(Now);
  const Json::Value Encoded = encodeQuotaMessage(Message);
  for (const MemberRecord &Peer : this->Near)
    this->tell(Peer, Encoded);
  if (this->isHallDue(Now))
    this->tellHalls(Message, Now);
}

/// Calls a peer, unless the last call to it is still under way: counts are
/// absolute, so that the next message makes up for one that is left out.
void QuotaAgent::tell(const MemberRecord &Peer, const Json::Value &Message) {
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
bool QuotaAgent::isLater(const std::string &Source, uint64_t Sequence) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  uint64_t &Last = this->Taken[Source];
  if (Sequence <= Last)
    return false;
  Last = Sequence;
  return true;
}

void QuotaAgent::takeHall(const HallUsage &Word, TimePoint Now) {
  if (Word.Hall == this->Context.Config.Hall)
    return;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    uint64_t &Last = this->TakenAsTeller[Word.Reporter];
    if (Word.Sequence <= Last)
      return;
    Last = Word.Sequence;
  }
  this->Organisations.with([&](FleetQuota &All) {
    All.applyHallUsage(Word.Hall, Word.Reporter, Word.Usages, Now);
  });
}

void QuotaAgent::applyMessage(const QuotaMessage &Message, TimePoint Now) {
  if (Message.Hall != this->Context.Config.Hall) {
    const HallUsage Word = {Message.Hall, Message.Source, Message.Sequence,
                            Message.HallUsages};
    this->takeHall(Word, Now);
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->ToPass[Word.Hall] = Word;
    return;
  }
  if (!this->isLater(Message.Source, Message.Sequence))
    return;
  this->Organisations.with([&](FleetQuota &All) {
    All.applyPeerUsage(Message.Source, Message.Usages, Now);
  });
  for (const HallUsage &Word : Message.RelayedHalls)
    this->takeHall(Word, Now);
}

Json::Value QuotaAgent::answerTell(const Json::Value &Params) {
  QuotaMessage Message;
  if (!decodeQuotaMessage(Params, Message))
    return makeCallError(
        {ErrorKind::InvalidArgument, "no message on organisations"});
  this->applyMessage(Message, readSteadyClock());
  return Json::Value(Json::objectValue);
}

} // namespace canvaswick
