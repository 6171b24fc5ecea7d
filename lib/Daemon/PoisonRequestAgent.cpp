//===- PoisonRequestAgent.cpp - Poison requests among signed peers --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Updates travel by calls whose failure is ignored; a lost update arrives with
/// a later ping.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/PoisonRequestAgent.h"
#include "canvaswick/Support/Log.h"

namespace canvaswick {

/// The key of the records at the platform.
static constexpr const char *RecordsKey = "suspects";

/// The number of peers to which an update is sent at once. Each passes on what
/// is new to it: with four, all but a few of 1,000 daemons have it after six
/// steps, and the rest receive it with their next ping.
static constexpr size_t UpdateFanOut = 4;
static constexpr Duration UpdateTimeout = fromSeconds(1);

/// The maximum number of ends and answers in one ping.
static constexpr size_t MaxPingRows = 20;

/// How often the records are read while requests are suspected. Otherwise they
/// are read once, at the start.
static constexpr Duration ReadInterval = fromSeconds(5);

PoisonRequestAgent::PoisonRequestAgent(const ControlContext &Context,
                                       MembershipAgent &Members,
                                       RequestQuarantine &Quarantine)
    : Context(Context), Members(Members), Quarantine(Quarantine),
      Store(
          Quarantine, [this] { return this->readRecords(); },
          [this](const std::string &Text, const StorePosition &Expected) {
            return this->writeRecords(Text, Expected);
          }) {
  Quarantine.setUpdateListener(
      [this](const PoisonRequestUpdate &Update, TimePoint Now) {
        this->gossip(Update, Now);
      });
  Quarantine.setProbeClaim([this](const PoisonRequestRecord &Record) {
    return this->Store.claimProbe(Record, readInstant());
  });
}

void PoisonRequestAgent::addMethods(JsonRpcDispatcher &Dispatcher) {
  Dispatcher.add("suspects.news", [this](const Json::Value &Params) {
    return this->handleUpdate(Params);
  });
}

Result<StoredRecords> PoisonRequestAgent::readRecords() const {
  Result<PlatformValue> Value = this->Context.Platform.get(RecordsKey);
  if (Value)
    return StoredRecords{std::move(Value.value().Value),
                         {0, Value.value().Revision}};
  if (Value.error().Kind == ErrorKind::NotFound)
    return StoredRecords{};
  return outcome::failure(Value.error());
}

Result<StorePosition>
PoisonRequestAgent::writeRecords(const std::string &Text,
                                 const StorePosition &Expected) const {
  BOOST_OUTCOME_TRY(
      uint64_t Revision,
      this->Context.Platform.put(RecordsKey, Text, Expected.Revision));
  return StorePosition{0, Revision};
}

void PoisonRequestAgent::runRound(const Instant &Now) {
  this->Quarantine.forgetOld(Now.Steady);
  const bool IsDue = !this->HasRead || !this->Quarantine.describe().empty();
  if (IsDue && Now.Steady - this->LastRead >= ReadInterval) {
    this->LastRead = Now.Steady;
    const Result<void> Accepted = this->Store.refresh(Now);
    if (Accepted)
      this->HasRead = true;
    else
      logWarning("suspects-not-read", "what={:?}", Accepted.error().Message);
  }
  this->Store.runRound(Now);
}

void PoisonRequestAgent::gossip(const PoisonRequestUpdate &Update,
                                TimePoint Now) {
  Json::Value Message(Json::objectValue);
  encodePoisonReport(makePoisonReport(Update, Now), Message);
  for (const MemberRecord &Peer : this->Members.choose(UpdateFanOut, ""))
    this->Context.Calls.trySubmit([this, Peer, Message] {
      (void)this->Context.Caller.call(Peer.Control, "suspects.news", Message,
                                      UpdateTimeout);
    });
}

Json::Value PoisonRequestAgent::handleUpdate(const Json::Value &Params) {
  const TimePoint Now = readSteadyClock();
  const Result<PoisonRequestReport> Report = decodePoisonReport(Params);
  if (!Report)
    return makeCallError(Report.error());
  const PoisonRequestUpdate Accepted =
      this->Quarantine.mergeUpdate(readPoisonReport(Report.value(), Now), Now);
  if (!Accepted.isEmpty())
    this->gossip(Accepted, Now);
  return Json::Value(Json::objectValue);
}

void PoisonRequestAgent::writeUpdate(Json::Value &Message,
                                     TimePoint Now) const {
  encodePoisonReport(
      makePoisonReport(this->Quarantine.buildUpdate(MaxPingRows, Now), Now),
      Message);
}

void PoisonRequestAgent::readUpdate(const Json::Value &Message, TimePoint Now) {
  const Result<PoisonRequestReport> Report = decodePoisonReport(Message);
  if (Report)
    (void)this->Quarantine.mergeUpdate(readPoisonReport(Report.value(), Now),
                                       Now);
  else
    logWarning("peer-message-refused", "what={:?}", Report.error().Message);
}

} // namespace canvaswick
