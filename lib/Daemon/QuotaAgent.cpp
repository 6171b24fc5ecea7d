//===- QuotaAgent.cpp - Quota exchange between daemons --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Sends one report each quarter of a second and applies what peers report.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/QuotaAgent.h"
#include "canvaswick/Daemon/QuotaEncoding.h"

#include <utility>

namespace canvaswick {

/// A report that takes longer is superseded by the next one.
static constexpr Duration ReportTimeout = 2 * QuotaReportInterval;

/// The number of threads for calls and of calls that may wait for one. The
/// queue holds the calls of one round in the largest hall that CAPACITY.md
/// plans for.
static constexpr WorkerPoolLimits CallLimits = {.MaxThreads = 4, .Queue = 512};

/// The maximum number of organisations in a message; the others follow in the
/// next one.
static constexpr size_t MaxUsages = 200;

/// One in this many rounds reports all organisations of a hall to the other
/// halls; the others report only organisations that are close to their limit.
static constexpr uint64_t RoundsPerFullReport = 4;

Json::Value encodeQuotaMessage(const QuotaMessage &Message) {
  Json::Value Value(Json::objectValue);
  Value["f"] = Message.Source;
  Value["h"] = Message.Hall;
  Value["n"] = static_cast<Json::UInt64>(Message.Sequence);
  Value["o"] = encodeUsages(Message.Usages);
  Value["a"] = encodeUsages(Message.HallUsages);
  Value["p"] = Json::arrayValue;
  for (const HallUsage &Report : Message.RelayedHalls) {
    Json::Value Entry(Json::objectValue);
    Entry["h"] = Report.Hall;
    Entry["f"] = Report.Reporter;
    Entry["n"] = static_cast<Json::UInt64>(Report.Sequence);
    Entry["a"] = encodeUsages(Report.Usages);
    Value["p"].append(std::move(Entry));
  }
  return Value;
}

static bool decodeHallUsage(const Json::Value &Value, HallUsage &Report) {
  if (!Value.isObject() || !Value["h"].isString() || !Value["f"].isString() ||
      !Value["n"].isUInt64())
    return false;
  Report.Hall = Value["h"].asString();
  Report.Reporter = Value["f"].asString();
  Report.Sequence = Value["n"].asUInt64();
  return decodeUsages(Value["a"], Report.Usages);
}

bool decodeQuotaMessage(const Json::Value &Value, QuotaMessage &Message) {
  if (!Value.isObject() || !Value["f"].isString() || !Value["h"].isString() ||
      !Value["n"].isUInt64() || !Value["p"].isArray())
    return false;
  Message.Source = Value["f"].asString();
  Message.Hall = Value["h"].asString();
  Message.Sequence = Value["n"].asUInt64();
  for (const Json::Value &Entry : Value["p"]) {
    HallUsage Report;
    if (!decodeHallUsage(Entry, Report))
      return false;
    Message.RelayedHalls.push_back(std::move(Report));
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
    return this->handleReport(Params);
  });
}

void QuotaAgent::stop() { this->Calls.stop(); }

//===-- Sending -----------------------------------------------------------===//

/// Updates the lists of peers if the membership has changed.
void QuotaAgent::updatePeers(TimePoint Now) {
  const uint64_t Version = this->Members.getWorkingVersion();
  if (std::exchange(this->PeersVersion, Version) == Version)
    return;
  this->LocalPeers.clear();
  this->RemotePeers.clear();
  std::vector<std::string> LocalNames;
  std::map<std::string, size_t> RemoteCounts;
  for (const std::string &Name : this->Members.getWorking()) {
    const std::optional<MemberRecord> Member = this->Members.find(Name);
    if (!Member || Name == this->Context.Config.Name)
      continue;
    if (Member->Hall == this->Context.Config.Hall) {
      this->LocalPeers.push_back(*Member);
      LocalNames.push_back(Name);
    } else {
      this->RemotePeers[Member->Hall].push_back(*Member);
      ++RemoteCounts[Member->Hall];
    }
  }
  this->Organisations.with([&](FleetQuota &Quota) {
    Quota.getLiveness().setFleet(LocalNames, RemoteCounts, Now);
  });
}

QuotaMessage QuotaAgent::makeMessage(TimePoint Now) {
  QuotaMessage Message;
  Message.Source = this->Context.Config.Name;
  Message.Hall = this->Context.Config.Hall;
  Message.Sequence = ++this->Sequence;
  Message.Usages = this->Organisations.with([Now](FleetQuota &Quota) {
    return Quota.drainUsageChanges(MaxUsages, Now);
  });
  std::lock_guard<std::mutex> Lock(this->Mutex);
  for (auto &[Hall, Report] : this->PendingRelay)
    Message.RelayedHalls.push_back(std::move(Report));
  this->PendingRelay.clear();
  return Message;
}

/// Returns whether this daemon is the reporter of its hall.
bool QuotaAgent::isReporter(TimePoint Now) {
  return !this->RemotePeers.empty() &&
         this->Organisations.with([&](FleetQuota &Quota) {
           return Quota.getLiveness().isHallReporter(this->Context.Config.Name,
                                                     Now);
         });
}

/// Sends a report to one daemon of each other hall. It picks one at random each
/// time, so that an unreachable daemon delays a single report.
void QuotaAgent::reportToHalls(const QuotaMessage &Base, TimePoint Now) {
  QuotaMessage Message;
  Message.Source = Base.Source;
  Message.Hall = Base.Hall;
  Message.Sequence = Base.Sequence;
  const bool WantsAll = this->Rounds % RoundsPerFullReport == 0;
  Message.HallUsages =
      this->Organisations.with([WantsAll, Now](FleetQuota &Quota) {
        return Quota.getHallUsage(WantsAll, Now);
      });
  const Json::Value Encoded = encodeQuotaMessage(Message);
  for (const auto &[Hall, Daemons] : this->RemotePeers) {
    std::uniform_int_distribution<size_t> Any(0, Daemons.size() - 1);
    this->sendMessage(Daemons[Any(this->Random)], Encoded);
  }
}

void QuotaAgent::runRound(TimePoint Now) {
  const bool HasLimits = this->Organisations.with(
      [](FleetQuota &Quota) { return Quota.hasLimits(); });
  if (!HasLimits)
    return;
  this->updatePeers(Now);
  ++this->Rounds;
  const QuotaMessage Message = this->makeMessage(Now);
  const Json::Value Encoded = encodeQuotaMessage(Message);
  for (const MemberRecord &Peer : this->LocalPeers)
    this->sendMessage(Peer, Encoded);
  if (this->isReporter(Now))
    this->reportToHalls(Message, Now);
}

/// Calls a peer unless the last call to it is still in flight. Counts are
/// absolute, so the next message makes up for a skipped one.
void QuotaAgent::sendMessage(const MemberRecord &Peer,
                             const Json::Value &Message) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (!this->Unanswered.insert(Peer.Name).second)
      return;
  }
  const auto Call = [this, Peer, Message] {
    // The result is ignored: an unreachable peer is detected because its own
    // reports stop.
    (void)this->Context.Caller.call(Peer.Control, "allowances.tell", Message,
                                    ReportTimeout);
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Unanswered.erase(Peer.Name);
  };
  if (this->Calls.trySubmit(Call))
    return;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Unanswered.erase(Peer.Name);
}

//===-- Receiving ---------------------------------------------------------===//

/// Records the sequence number of a daemon's message. Returns whether it is
/// newer than all before. The caller holds no lock.
bool QuotaAgent::isNewer(const std::string &Source, uint64_t Sequence) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  uint64_t &Last = this->LastSequence[Source];
  if (Sequence <= Last)
    return false;
  Last = Sequence;
  return true;
}

void QuotaAgent::mergeHallUsage(const HallUsage &Report, TimePoint Now) {
  if (Report.Hall == this->Context.Config.Hall)
    return;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    uint64_t &Last = this->LastHallSequence[Report.Reporter];
    if (Report.Sequence <= Last)
      return;
    Last = Report.Sequence;
  }
  this->Organisations.with([&](FleetQuota &Quota) {
    Quota.applyHallUsage(Report.Hall, Report.Reporter, Report.Usages, Now);
  });
}

void QuotaAgent::applyMessage(const QuotaMessage &Message, TimePoint Now) {
  if (Message.Hall != this->Context.Config.Hall) {
    const HallUsage Report = {Message.Hall, Message.Source, Message.Sequence,
                              Message.HallUsages};
    this->mergeHallUsage(Report, Now);
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->PendingRelay[Report.Hall] = Report;
    return;
  }
  if (!this->isNewer(Message.Source, Message.Sequence))
    return;
  this->Organisations.with([&](FleetQuota &Quota) {
    Quota.applyPeerUsage(Message.Source, Message.Usages, Now);
  });
  for (const HallUsage &Report : Message.RelayedHalls)
    this->mergeHallUsage(Report, Now);
}

Json::Value QuotaAgent::handleReport(const Json::Value &Params) {
  QuotaMessage Message;
  if (!decodeQuotaMessage(Params, Message))
    return makeCallError(
        {ErrorKind::InvalidArgument, "no message on organisations"});
  this->applyMessage(Message, readSteadyClock());
  return Json::Value(Json::objectValue);
}

} // namespace canvaswick
