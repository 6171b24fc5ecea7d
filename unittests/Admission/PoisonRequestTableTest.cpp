//===- PoisonRequestTableTest.cpp - Tests of who is held back -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What counts against a request, what speaks for it, and how it comes free.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/PoisonRequestTable.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace canvaswick;

namespace {

constexpr RequestFingerprint Fatal = 7;
constexpr RequestFingerprint Other = 8;

/// Returns an instant some seconds after an arbitrary start.
TimePoint at(double Seconds) {
  return TimePoint(fromSeconds(100000 + Seconds));
}

/// Returns an end after an attempt of 50 ms.
RequestEnd makeEnd(RequestFingerprint Request, EndedServerId Server,
                   double Ended) {
  const auto Id = static_cast<uint32_t>(Ended * 1000) ^ (Server << 20);
  return {Request, Server, at(Ended - 0.05), at(Ended), Id};
}

/// A table in which three servers have ended under a request, the third at 2 s.
struct HeldTable : PoisonRequestTable {
  HeldTable() {
    for (int I = 0; I < 3; ++I)
      this->recordEnd(makeEnd(Fatal, 1 + I, I), true, at(I));
  }
};

} // namespace

TEST_CASE("a request is held back from its third end on") {
  PoisonRequestTable Table;
  CHECK(Table.recordEnd(makeEnd(Fatal, 1, 0), false, at(0)));
  CHECK(Table.recordEnd(makeEnd(Fatal, 2, 1), false, at(1)));
  CHECK(Table.classify(Fatal, at(1)) == QuarantineVerdict::Allowed);
  CHECK(Table.recordEnd(makeEnd(Fatal, 3, 2), false, at(2)));
  CHECK(Table.classify(Fatal, at(2)) == QuarantineVerdict::Quarantined);
  CHECK(Table.classify(Other, at(2)) == QuarantineVerdict::Allowed);
}

TEST_CASE("an answer speaks for a request, and for what ended before it") {
  PoisonRequestTable Table;
  Table.recordEnd(makeEnd(Fatal, 1, 0), true, at(0));
  Table.recordEnd(makeEnd(Fatal, 2, 1), true, at(1));
  CHECK(Table.recordLocalAnswer({Fatal, at(1.5)}));
  CHECK_FALSE(Table.recordLocalAnswer({Fatal, at(1.6)}));
  // The news of an end that came before the answer may come after it.
  CHECK_FALSE(Table.recordEnd(makeEnd(Fatal, 3, 1.2), false, at(2)));
  Table.recordEnd(makeEnd(Fatal, 4, 2), true, at(2));
  Table.recordEnd(makeEnd(Fatal, 5, 3), true, at(3));
  CHECK(Table.classify(Fatal, at(3)) == QuarantineVerdict::Allowed);
}

TEST_CASE(
    "servers that end at one moment, with it at all of them, are one end") {
  PoisonRequestTable Table;
  for (EndedServerId Server = 1; Server <= 5; ++Server)
    Table.recordEnd(makeEnd(Fatal, Server, 0.01 * Server), true, at(0.1));
  CHECK(Table.classify(Fatal, at(0.1)) == QuarantineVerdict::Allowed);
}

TEST_CASE("one attempt after the other counts, however fast servers end") {
  PoisonRequestTable Table;
  for (int I = 0; I < 3; ++I)
    Table.recordEnd({Fatal, static_cast<EndedServerId>(I), at(0.01 * I),
                     at(0.01 * (I + 1)), static_cast<uint32_t>(I)},
                    true, at(1));
  CHECK(Table.classify(Fatal, at(1)) == QuarantineVerdict::Quarantined);
}

TEST_CASE("one end counts once, whoever tells of it and when") {
  PoisonRequestTable Table;
  CHECK(Table.recordEnd(makeEnd(Fatal, 1, 0), true, at(0)));
  // Told again, by a clock that is off.
  RequestEnd Late = makeEnd(Fatal, 1, 3);
  Late.Id = makeEnd(Fatal, 1, 0).Id;
  CHECK_FALSE(Table.recordEnd(Late, false, at(3)));
  // Seen by another daemon, whose attempt was there at the same time.
  RequestEnd Beside = makeEnd(Fatal, 1, 0.04);
  CHECK_FALSE(Table.recordEnd(Beside, false, at(1)));
  CHECK_FALSE(Table.isSuspect(Fatal, 1));
}

TEST_CASE("a server that is back at once under its name ends anew") {
  PoisonRequestTable Table;
  for (const double Ended : {0.0, 0.06, 0.12})
    CHECK(Table.recordEnd(makeEnd(Fatal, 1, Ended), true, at(1)));
  CHECK(Table.classify(Fatal, at(1)) == QuarantineVerdict::Quarantined);
}

TEST_CASE("who was queued where another request ended the server goes free") {
  PoisonRequestTable Table;
  for (int I = 0; I < 3; ++I)
    for (const RequestFingerprint Each : {Other, Fatal})
      if (Each == Fatal || I < 2)
        Table.recordEnd(makeEnd(Each, 1 + I, I), true, at(I));
  // Its third end is with the fatal one too, and told later.
  CHECK_FALSE(Table.recordEnd(makeEnd(Other, 3, 2), true, at(2)));
  CHECK(Table.classify(Fatal, at(2)) == QuarantineVerdict::Quarantined);
  CHECK(Table.classify(Other, at(2)) == QuarantineVerdict::Allowed);
  CHECK_FALSE(Table.isSuspect(Other, 0));
}

TEST_CASE("a request that goes on ending servers gets few tries") {
  HeldTable Table;
  std::vector<double> Probes;
  for (double Now = 2; Now < 599; Now += 0.1) {
    if (Table.classify(Fatal, at(Now)) != QuarantineVerdict::ProbeDue)
      continue;
    Table.recordProbe(Fatal, at(Now));
    Probes.push_back(Now);
    Table.recordEnd(makeEnd(Fatal, 10 + Probes.size(), Now + 0.1), true,
                    at(Now + 0.1));
  }
  // By the users' rule three at most come later than three seconds after.
  CHECK(std::count_if(Probes.begin(), Probes.end(),
                      [](double Each) { return Each > 5; }) <= 3);
  // Two more come soon, for one that was held back wrongly.
  REQUIRE(Probes.size() == 3);
  CHECK(Probes[0] == doctest::Approx(4).epsilon(0.05));
  CHECK(Probes[1] == doctest::Approx(9).epsilon(0.05));
}

TEST_CASE("a try that went well frees the request at once") {
  HeldTable Table;
  CHECK(Table.getWait(Fatal, at(2)) == fromSeconds(2));
  CHECK(Table.classify(Fatal, at(4)) == QuarantineVerdict::ProbeDue);
  Table.recordProbe(Fatal, at(4));
  CHECK(Table.classify(Fatal, at(4)) == QuarantineVerdict::Quarantined);
  CHECK(Table.recordLocalAnswer({Fatal, at(4.1)}));
  CHECK(Table.classify(Fatal, at(4.1)) == QuarantineVerdict::Allowed);
  CHECK(Table.getWait(Fatal, at(4.1)) == Duration::zero());
}

TEST_CASE("a try that reached no server is there for the next request") {
  HeldTable Table;
  Table.recordProbe(Fatal, at(4));
  CHECK_FALSE(Table.takeReturnedProbe(Fatal));
  Table.returnProbe(Fatal);
  CHECK(Table.takeReturnedProbe(Fatal));
  CHECK_FALSE(Table.takeReturnedProbe(Fatal));
}

TEST_CASE(
    "who reads the records knows what is held back, and that it is free") {
  HeldTable Before;
  const std::vector<PoisonRequestRecord> Records = Before.listUnrecorded();
  REQUIRE(Records.size() == 1);
  Before.applyRecords(Records, at(3));
  CHECK(Before.listUnrecorded().empty());

  PoisonRequestTable Later;
  Later.applyRecords(Records, at(20));
  CHECK(Later.classify(Fatal, at(3)) == QuarantineVerdict::Quarantined);
  CHECK(Later.listUnrecorded().empty());
  Later.applyRecords({}, at(21));
  CHECK(Later.classify(Fatal, at(21)) == QuarantineVerdict::Allowed);
}

TEST_CASE("a record that was read before an answer brings nothing back") {
  HeldTable Table;
  std::vector<PoisonRequestRecord> Records = Table.listUnrecorded();
  Records[0].ChangedMillis = 5;
  Table.applyRecords(Records, at(3));
  CHECK(Table.recordLocalAnswer({Fatal, at(4)}));
  CHECK(Table.listCleared() == std::vector<RequestFingerprint>{Fatal});
  Table.applyRecords(Records, at(5));
  CHECK(Table.classify(Fatal, at(5)) == QuarantineVerdict::Allowed);
  Table.applyRecords({}, at(6));
  CHECK(Table.listCleared().empty());
}

TEST_CASE("two halls that see one end each and the record know of three") {
  PoisonRequestTable One;
  One.recordEnd(makeEnd(Fatal, 1, 0), true, at(0));
  PoisonRequestTable Two;
  Two.recordEnd(makeEnd(Fatal, 2, 1), true, at(1));
  Two.recordEnd(makeEnd(Fatal, 3, 2), true, at(2));
  One.applyRecords(Two.listUnrecorded(), at(3));
  CHECK(One.classify(Fatal, at(3)) != QuarantineVerdict::Allowed);
}

TEST_CASE("who invents new requests pushes out none that counts") {
  HeldTable Table;
  Table.recordEnd(makeEnd(Other, 1, 20), true, at(20));
  Table.recordEnd(makeEnd(Other, 2, 21), true, at(21));
  for (RequestFingerprint Each = 1000; Each < 3000; ++Each)
    Table.recordEnd(makeEnd(Each, 50, 30), true, at(30));
  CHECK(Table.describe().size() <= 256);
  CHECK(Table.classify(Fatal, at(30)) != QuarantineVerdict::Allowed);
  CHECK(Table.isSuspect(Other, 0));
}

TEST_CASE("ends are forgotten after a while, and what is held back is not") {
  HeldTable Table;
  Table.recordEnd(makeEnd(Other, 9, 2), true, at(2));
  Table.forgetOld(at(700));
  CHECK_FALSE(Table.isSuspect(Other, 0));
  CHECK(Table.countQuarantined() == 1);
}

TEST_CASE("all who hear of the same come to the same, in whatever order") {
  const bool Holds = rc::check([] {
    const int Ends = *rc::gen::inRange(0, 8);
    std::vector<std::pair<bool, double>> Told;
    Told.reserve(9);
    for (int I = 0; I < Ends; ++I)
      Told.emplace_back(false, *rc::gen::inRange(0, 3000) / 100.0);
    if (*rc::gen::arbitrary<bool>())
      Told.emplace_back(true, *rc::gen::inRange(0, 3000) / 100.0);
    std::vector<size_t> Order;
    for (size_t I = 0; I < Told.size(); ++I)
      Order.insert(Order.end(), 2, I);
    const std::vector<size_t> Second =
        *rc::gen::arbitrary<bool>()
            ? std::vector<size_t>(Order.rbegin(), Order.rend())
            : Order;
    const auto Hear = [&](const std::vector<size_t> &By) {
      PoisonRequestTable Table;
      for (const size_t I : By)
        if (Told[I].first)
          Table.applyPeerAnswer({Fatal, at(Told[I].second)});
        else
          Table.recordEnd(makeEnd(Fatal, I, Told[I].second), false, at(30));
      return Table.classify(Fatal, at(31));
    };
    std::vector<size_t> Shuffled = Order;
    for (size_t I = Shuffled.size(); I > 1; --I)
      std::swap(Shuffled[I - 1],
                Shuffled[static_cast<size_t>(
                    *rc::gen::inRange<int>(0, static_cast<int>(I)))]);
    RC_ASSERT(Hear(Order) == Hear(Shuffled));
    RC_ASSERT(Hear(Second) == Hear(Shuffled));
  });
  CHECK(Holds);
}
