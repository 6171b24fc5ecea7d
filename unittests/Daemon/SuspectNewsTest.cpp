//===- SuspectNewsTest.cpp - How news of fatal requests travel ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A fleet in virtual time: tables of suspects that hear of each other by
/// messages of which some are lost, as PeerExchange sends them. A request comes
/// again at any daemon and ends the server each time.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/SuspectReport.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <random>

using namespace canvaswick;

namespace {

constexpr RequestFingerprint Fatal = 7;

/// How often each hall says again what it knows, and rows in a message.
constexpr Duration Retelling = fromMillis(500);
constexpr size_t Rows = 20;

/// By the users' rule: three more sends later than this after the third end.
constexpr Duration NewsTime = fromSeconds(3);
constexpr size_t TriesLeft = 3;

struct FleetSetup {
  size_t Halls = 3;
  size_t DaemonsOfHall = 12;
  /// Part of the messages that are lost.
  double Loss = 0;
  /// Whether no hall hears anything of another.
  bool AreCutOff = false;
  /// Whether records kept outside are read and written.
  bool HasStore = true;
};

/// Daemons as far as suspects go.
class Fleet {
public:
  Fleet(const FleetSetup &Setup, uint32_t Seed)
      : Setup(Setup), Random(Seed), Tables(Setup.Halls * Setup.DaemonsOfHall) {}

  /// Lets the request come each Pause for Length. Returns how often it was sent
  /// later than NewsTime after its third end.
  size_t run(Duration Pause, Duration Length) {
    TimePoint RetoldAt = this->Now;
    TimePoint AskedAt = this->Now;
    const TimePoint Until = this->Now + Length;
    while (this->Now < Until) {
      if (this->Now - AskedAt >= Pause) {
        AskedAt = this->Now;
        this->ask();
      }
      if (this->Now - RetoldAt >= Retelling) {
        RetoldAt = this->Now;
        this->retell();
        this->exchangeRecords();
      }
      this->Now += fromMillis(10);
    }
    return this->Late;
  }

  size_t countEnds() const { return this->Ends; }

private:
  size_t draw(size_t Count) { return this->Random() % Count; }
  size_t hallOf(size_t Daemon) const {
    return Daemon / this->Setup.DaemonsOfHall;
  }
  bool isLost() {
    return std::bernoulli_distribution(this->Setup.Loss)(this->Random);
  }

  void ask() {
    const size_t Daemon = this->draw(this->Tables.size());
    PoisonRequestTable &Table = this->Tables[Daemon];
    const QuarantineVerdict Verdict = Table.classify(Fatal, this->Now);
    if (Verdict == QuarantineVerdict::Quarantined)
      return;
    if (Verdict == QuarantineVerdict::ProbeDue && !this->claimTry(Table))
      return;
    ++this->Ends;
    if (this->Ends == 3)
      this->ThirdAt = this->Now;
    if (this->Ends > 3 && this->Now - this->ThirdAt > NewsTime)
      ++this->Late;
    const RequestEnd End{Fatal, static_cast<EndedServerId>(this->Ends),
                         this->Now - fromMillis(80), this->Now,
                         static_cast<uint32_t>(this->Random())};
    Table.recordEnd(End, true, this->Now);
    this->tell(Daemon, {{End}, {}});
  }

  bool claimTry(PoisonRequestTable &Table) {
    const PoisonRequestRecord Record = Table.getRecord(Fatal);
    if (!this->Setup.HasStore || this->StoreTries > Record.Probes) {
      Table.postponeProbe(Fatal, this->Now);
      return false;
    }
    this->StoreTries = Record.Probes + 1;
    Table.recordProbe(Fatal, this->Now);
    return true;
  }

  /// Tells the hall of a daemon, and one daemon of each other, which passes on.
  void tell(size_t Daemon, const PoisonRequestUpdate &News) {
    const SuspectReport Report = makeReport(News, this->Now);
    for (size_t Hall = 0; Hall < this->Setup.Halls; ++Hall) {
      const bool IsOwn = Hall == this->hallOf(Daemon);
      if (!IsOwn && (this->Setup.AreCutOff || this->isLost()))
        continue;
      for (size_t I = 0; I < this->Setup.DaemonsOfHall; ++I)
        if (!this->isLost())
          this->hear(Hall * this->Setup.DaemonsOfHall + I, Report);
    }
  }

  void hear(size_t Daemon, const SuspectReport &Report) {
    const PoisonRequestUpdate News = readReport(Report, this->Now);
    for (const RequestEnd &End : News.Ends)
      this->Tables[Daemon].recordEnd(End, false, this->Now);
    for (const RequestAnswer &Answer : News.Answers)
      this->Tables[Daemon].applyPeerAnswer(Answer);
  }

  void retell() {
    for (size_t Hall = 0; Hall < this->Setup.Halls; ++Hall) {
      const size_t Daemon = Hall * this->Setup.DaemonsOfHall +
                            this->draw(this->Setup.DaemonsOfHall);
      this->tell(Daemon, this->Tables[Daemon].buildUpdate(Rows, this->Now));
    }
  }

  /// Writes what somebody knows and the store lacks; all read it a round later.
  void exchangeRecords() {
    if (!this->Setup.HasStore)
      return;
    for (PoisonRequestTable &Each : this->Tables)
      Each.applyRecords(this->Records, this->Now);
    for (const PoisonRequestTable &Each : this->Tables)
      for (PoisonRequestRecord &Record : Each.listUnrecorded()) {
        Record.Probes = this->StoreTries;
        mergeRecord(this->Records, std::move(Record),
                    toMillis(this->Now - TimePoint()));
      }
  }

  const FleetSetup Setup;
  std::mt19937 Random;
  std::vector<PoisonRequestTable> Tables;
  TimePoint Now{fromSeconds(100000)};
  size_t Ends = 0;
  size_t Late = 0;
  TimePoint ThirdAt{};
  std::vector<PoisonRequestRecord> Records;
  int StoreTries = 0;
};

/// Runs many seeds of one setup and checks the rule in each.
void checkAll(const FleetSetup &Setup, uint32_t Seeds) {
  // One that comes seldom leaves more daemons with a part of the news.
  for (const double Pause : {0.15, 1.0, 2.0})
    for (uint32_t Seed = 1; Seed <= Seeds; ++Seed) {
      CAPTURE(Pause);
      CAPTURE(Seed);
      Fleet Under(Setup, Seed);
      CHECK(Under.run(fromSeconds(Pause), fromSeconds(60)) <= TriesLeft);
      CHECK(Under.countEnds() >= 3);
    }
}

} // namespace

TEST_CASE("36 daemons keep the rule, with a third of the messages lost") {
  for (const double Loss : {0.0, 0.05, 0.33})
    checkAll({3, 12, Loss, false, true}, 20);
}

TEST_CASE("443 daemons keep the rule, with a tenth of the messages lost") {
  checkAll({5, 89, 0.1, false, true}, 2);
}

TEST_CASE("without the store nothing is tried, and the rule holds") {
  checkAll({3, 12, 0.33, false, false}, 20);
}

TEST_CASE("halls that hear nothing of each other learn it from the records") {
  checkAll({5, 12, 0.05, true, true}, 20);
}
