//===- SuspectAgent.cpp - Fatal requests among signed peers ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// News by calls that may be lost; what is lost comes with a ping.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/SuspectAgent.h"
#include "canvaswick/Support/Log.h"

namespace canvaswick {

/// Where the records are kept at the platform.
static constexpr const char *RecordsKey = "suspects";

/// Peers that are told at once. Each passes on what is news to it: with four,
/// all but a few of 1,000 daemons have it after six steps, and those hear of it
/// in their next ping.
static constexpr size_t NewsFanOut = 4;
static constexpr Duration NewsTimeout = fromSeconds(1);

/// Ends and answers in one ping.
static constexpr size_t MostPingRows = 20;

/// How often the records are read while there are suspects. Without any they
/// are read once, at the start.
static constexpr Duration ReadInterval = fromSeconds(5);

SuspectAgent::SuspectAgent(const ControlContext &Context,
                           MembershipAgent &Members, RequestQuarantine &Guard)
    : Context(Context), Members(Members), Guard(Guard),
      Book(
          Guard, [this] { return this->readPage(); },
          [this](const std::string &Text, const StorePosition &Expected) {
            return this->writePage(Text, Expected);
          }) {
  Guard.setUpdateListener([this](const SuspectNews &News, TimePoint Now) {
    this->spread(News, Now);
  });
  Guard.setProbeClaim([this](const SuspectRecord &Record) {
    return this->Book.claimTry(Record, readInstant());
  });
}

void SuspectAgent::addMethods(JsonRpcDispatcher &Dispatcher) {
  Dispatcher.add("suspects.news", [this](const Json::Value &Params) {
    return this->answerNews(Params);
  });
}

Result<BookPage> SuspectAgent::readPage() const {
  Result<PlatformValue> Value = this->Context.Platform.get(RecordsKey);
  if (Value)
    return BookPage{std::move(Value.value().Value),
                    {0, Value.value().Revision}};
  if (Value.error().Kind == ErrorKind::NotFound)
    return BookPage{};
  return outcome::failure(Value.error());
}

Result<StorePosition>
SuspectAgent::writePage(const std::string &Text,
                        const StorePosition &Expected) const {
  BOOST_OUTCOME_TRY(
      uint64_t Revision,
      this->Context.Platform.put(RecordsKey, Text, Expected.Revision));
  return StorePosition{0, Revision};
}

void SuspectAgent::runRound(const Instant &Now) {
  this->Guard.forgetOld(Now.Steady);
  const bool IsDue = !this->HasRead || !this->Guard.describe().empty();
  if (IsDue && Now.Steady - this->ReadAt >= ReadInterval) {
    this->ReadAt = Now.Steady;
    const Result<void> Taken = this->Book.refresh(Now);
    if (Taken)
      this->HasRead = true;
    else
      logWarning("suspects-not-read", "what={:?}", Taken.error().Message);
  }
  this->Book.runRound(Now);
}

void SuspectAgent::spread(const SuspectNews &News, TimePoint Now) {
  Json::Value Message(Json::objectValue);
  encodeSuspects(makeReport(News, Now), Message);
  for (const MemberRecord &Peer : this->Members.choose(NewsFanOut, ""))
    this->Context.Calls.trySubmit([this, Peer, Message] {
      (void)this->Context.Caller.call(Peer.Control, "suspects.news", Message,
                                      NewsTimeout);
    });
}

Json::Value SuspectAgent::answerNews(const Json::Value &Params) {
  const TimePoint Now = readSteadyClock();
  const Result<SuspectReport> Report = decodeSuspects(Params);
  if (!Report)
    return makeCallError(Report.error());
  const SuspectNews Taken =
      this->Guard.mergeUpdate(readReport(Report.value(), Now), Now);
  if (!Taken.isEmpty())
    this->spread(Taken, Now);
  return Json::Value(Json::objectValue);
}

void SuspectAgent::writeNews(Json::Value &Message, TimePoint Now) const {
  encodeSuspects(makeReport(this->Guard.makeNews(MostPingRows, Now), Now),
                 Message);
}

void SuspectAgent::readNews(const Json::Value &Message, TimePoint Now) {
  const Result<SuspectReport> Report = decodeSuspects(Message);
  if (Report)
    (void)this->Guard.mergeUpdate(readReport(Report.value(), Now), Now);
  else
    logWarning("peer-message-refused", "what={:?}", Report.error().Message);
}

} // namespace canvaswick
