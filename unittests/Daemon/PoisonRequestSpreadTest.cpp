//===- PoisonRequestSpreadTest.cpp - Spread of poison requests ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Simulates a fleet in virtual time: tables of poison requests that learn from
/// each other by messages, some of which are lost, as PeerExchange sends them.
/// A request arrives repeatedly at random daemons and crashes its server each
/// time.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/PoisonRequestReport.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <random>

using namespace canvaswick;

namespace {

constexpr RequestFingerprint Fatal = 7;

/// How often each hall repeats its report, and the maximum number of rows in a
/// message.
constexpr Duration ResendInterval = fromMillis(500);
constexpr size_t MaxRows = 20;

/// By the users' rule, at most three more sends are allowed later than this
/// after the third crash.
constexpr Duration SpreadTime = fromSeconds(3);
constexpr size_t MaxLateSends = 3;

struct FleetSetup {
  size_t Halls = 3;
  size_t DaemonsOfHall = 12;
  /// The fraction of messages that are lost.
  double Loss = 0;
  /// Whether halls cannot reach each other.
  bool AreCutOff = false;
  /// Whether the stored records can be read and written.
  bool HasStore = true;
};

/// The daemons' tables of poison requests and the messages between them.
class SimulatedFleet {
public:
  SimulatedFleet(const FleetSetup &Setup, uint32_t Seed)
      : Setup(Setup), Random(Seed), Tables(Setup.Halls * Setup.DaemonsOfHall) {}

  /// Lets the request arrive once per Pause for Length. Returns how often it
  /// was sent later than SpreadTime after its third crash.
  size_t run(Duration Pause, Duration Length) {
    TimePoint ResentAt = this->Now;
    TimePoint SentAt = this->Now;
    const TimePoint Until = this->Now + Length;
    while (this->Now < Until) {
      if (this->Now - SentAt >= Pause) {
        SentAt = this->Now;
        this->sendRequest();
      }
      if (this->Now - ResentAt >= ResendInterval) {
        ResentAt = this->Now;
        this->resend();
        this->exchangeRecords();
      }
      this->Now += fromMillis(10);
    }
    return this->LateSends;
  }

  size_t countEnds() const { return this->Ends; }

private:
  size_t draw(size_t Count) { return this->Random() % Count; }
  size_t getHall(size_t Daemon) const {
    return Daemon / this->Setup.DaemonsOfHall;
  }
  bool isLost() {
    return std::bernoulli_distribution(this->Setup.Loss)(this->Random);
  }

  void sendRequest() {
    const size_t Daemon = this->draw(this->Tables.size());
    PoisonRequestTable &Table = this->Tables[Daemon];
    const QuarantineVerdict Verdict = Table.classify(Fatal, this->Now);
    if (Verdict == QuarantineVerdict::Quarantined)
      return;
    if (Verdict == QuarantineVerdict::ProbeDue && !this->claimProbe(Table))
      return;
    ++this->Ends;
    if (this->Ends == 3)
      this->ThirdAt = this->Now;
    if (this->Ends > 3 && this->Now - this->ThirdAt > SpreadTime)
      ++this->LateSends;
    const RequestEnd End{Fatal, static_cast<EndedServerId>(this->Ends),
                         this->Now - fromMillis(80), this->Now,
                         static_cast<uint32_t>(this->Random())};
    Table.recordEnd(End, true, this->Now);
    this->broadcast(Daemon, {{End}, {}});
  }

  bool claimProbe(PoisonRequestTable &Table) {
    const PoisonRequestRecord Record = Table.getRecord(Fatal);
    if (!this->Setup.HasStore || this->StoreProbes > Record.Probes) {
      Table.postponeProbe(Fatal, this->Now);
      return false;
    }
    this->StoreProbes = Record.Probes + 1;
    Table.recordProbe(Fatal, this->Now);
    return true;
  }

  /// Sends an update to the daemon's hall, and to one daemon of each other
  /// hall, which relays it.
  void broadcast(size_t Daemon, const PoisonRequestUpdate &Update) {
    const PoisonRequestReport Report = makePoisonReport(Update, this->Now);
    for (size_t Hall = 0; Hall < this->Setup.Halls; ++Hall) {
      const bool IsSameHall = Hall == this->getHall(Daemon);
      if (!IsSameHall && (this->Setup.AreCutOff || this->isLost()))
        continue;
      for (size_t I = 0; I < this->Setup.DaemonsOfHall; ++I)
        if (!this->isLost())
          this->receive(Hall * this->Setup.DaemonsOfHall + I, Report);
    }
  }

  void receive(size_t Daemon, const PoisonRequestReport &Report) {
    const PoisonRequestUpdate Update = readPoisonReport(Report, this->Now);
    for (const RequestEnd &End : Update.Ends)
      this->Tables[Daemon].recordEnd(End, false, this->Now);
    for (const RequestAnswer &Answer : Update.Answers)
      this->Tables[Daemon].applyPeerAnswer(Answer);
  }

  void resend() {
    for (size_t Hall = 0; Hall < this->Setup.Halls; ++Hall) {
      const size_t Daemon = Hall * this->Setup.DaemonsOfHall +
                            this->draw(this->Setup.DaemonsOfHall);
      this->broadcast(Daemon,
                      this->Tables[Daemon].buildUpdate(MaxRows, this->Now));
    }
  }

  /// Stores what any daemon knows and the store lacks; all daemons read it in
  /// the next round.
  void exchangeRecords() {
    if (!this->Setup.HasStore)
      return;
    for (PoisonRequestTable &Each : this->Tables)
      Each.applyRecords(this->Records, this->Now);
    for (const PoisonRequestTable &Each : this->Tables)
      for (PoisonRequestRecord &Record : Each.listUnrecorded()) {
        Record.Probes = this->StoreProbes;
        mergeRecord(this->Records, std::move(Record),
                    toMillis(this->Now - TimePoint()));
      }
  }

  const FleetSetup Setup;
  std::mt19937 Random;
  std::vector<PoisonRequestTable> Tables;
  TimePoint Now{fromSeconds(100000)};
  size_t Ends = 0;
  size_t LateSends = 0;
  TimePoint ThirdAt{};
  std::vector<PoisonRequestRecord> Records;
  int StoreProbes = 0;
};

/// Checks the rule for many seeds of one setup.
void checkAll(const FleetSetup &Setup, uint32_t Seeds) {
  // If the request arrives rarely, more daemons know only some of the crashes.
  for (const double Pause : {0.15, 1.0, 2.0})
    for (uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
      CAPTURE(Pause);
      CAPTURE(Seed);
      SimulatedFleet Simulated(Setup, Seed);
      CHECK(Simulated.run(fromSeconds(Pause), fromSeconds(60)) <= MaxLateSends);
      CHECK(Simulated.countEnds() >= 3);
    }
}

} // namespace

TEST_CASE("36 daemons obey the limit with a third of the messages lost") {
  for (const double Loss : {0.0, 0.05, 0.33})
    checkAll({3, 12, Loss, false, true}, 20);
}

TEST_CASE("443 daemons obey the limit with a tenth of the messages lost") {
  checkAll({5, 89, 0.1, false, true}, 2);
}

TEST_CASE("without the store no probe is sent and the limit is obeyed") {
  checkAll({3, 12, 0.33, false, false}, 20);
}

TEST_CASE("halls without contact learn of poison requests from the records") {
  checkAll({5, 12, 0.05, true, true}, 20);
}
