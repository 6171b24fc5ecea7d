//===- PoisonRequestTableTest.cpp - Tests of poison requests --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Which ends count against a request, which evidence clears it, and how it is
/// released from quarantine.
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

/// Returns the time some seconds after an arbitrary start.
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
struct QuarantinedTable : PoisonRequestTable {
  QuarantinedTable() {
    for (int I = 0; I < 3; ++I)
      this->recordEnd(makeEnd(Fatal, 1 + I, I), true, at(I));
  }
};

} // namespace

TEST_CASE("a request is quarantined from its third end on") {
  PoisonRequestTable Table;
  CHECK(Table.recordEnd(makeEnd(Fatal, 1, 0), false, at(0)));
  CHECK(Table.recordEnd(makeEnd(Fatal, 2, 1), false, at(1)));
  CHECK(Table.classify(Fatal, at(1)) == QuarantineVerdict::Allowed);
  CHECK(Table.recordEnd(makeEnd(Fatal, 3, 2), false, at(2)));
  CHECK(Table.classify(Fatal, at(2)) == QuarantineVerdict::Quarantined);
  CHECK(Table.classify(Other, at(2)) == QuarantineVerdict::Allowed);
}

TEST_CASE("an answer clears a request of earlier ends") {
  PoisonRequestTable Table;
  Table.recordEnd(makeEnd(Fatal, 1, 0), true, at(0));
  Table.recordEnd(makeEnd(Fatal, 2, 1), true, at(1));
  CHECK(Table.recordLocalAnswer({Fatal, at(1.5)}));
  CHECK_FALSE(Table.recordLocalAnswer({Fatal, at(1.6)}));
  // A report of an end before the answer may arrive after it.
  CHECK_FALSE(Table.recordEnd(makeEnd(Fatal, 3, 1.2), false, at(2)));
  Table.recordEnd(makeEnd(Fatal, 4, 2), true, at(2));
  Table.recordEnd(makeEnd(Fatal, 5, 3), true, at(3));
  CHECK(Table.classify(Fatal, at(3)) == QuarantineVerdict::Allowed);
}

TEST_CASE("servers that end at one moment under the same request are one end") {
  PoisonRequestTable Table;
  for (EndedServerId Server = 1; Server <= 5; ++Server)
    Table.recordEnd(makeEnd(Fatal, Server, 0.01 * Server), true, at(0.1));
  CHECK(Table.classify(Fatal, at(0.1)) == QuarantineVerdict::Allowed);
}

TEST_CASE("ends of consecutive attempts count, however close they are") {
  PoisonRequestTable Table;
  for (int I = 0; I < 3; ++I)
    Table.recordEnd({Fatal, static_cast<EndedServerId>(I), at(0.01 * I),
                     at(0.01 * (I + 1)), static_cast<uint32_t>(I)},
                    true, at(1));
  CHECK(Table.classify(Fatal, at(1)) == QuarantineVerdict::Quarantined);
}

TEST_CASE("one end counts once, whoever reports it and when") {
  PoisonRequestTable Table;
  CHECK(Table.recordEnd(makeEnd(Fatal, 1, 0), true, at(0)));
  // The same end is reported again, with a time from a skewed clock.
  RequestEnd Late = makeEnd(Fatal, 1, 3);
  Late.Id = makeEnd(Fatal, 1, 0).Id;
  CHECK_FALSE(Table.recordEnd(Late, false, at(3)));
  // Another daemon saw the same end, with an attempt in flight at the same
  // time.
  RequestEnd Overlapping = makeEnd(Fatal, 1, 0.04);
  CHECK_FALSE(Table.recordEnd(Overlapping, false, at(1)));
  CHECK_FALSE(Table.isSuspect(Fatal, 1));
}

TEST_CASE("a restarted server of the same name can end again") {
  PoisonRequestTable Table;
  for (const double Ended : {0.0, 0.06, 0.12})
    CHECK(Table.recordEnd(makeEnd(Fatal, 1, Ended), true, at(1)));
  CHECK(Table.classify(Fatal, at(1)) == QuarantineVerdict::Quarantined);
}

TEST_CASE(
    "a request queued at a server that another request ended is cleared") {
  PoisonRequestTable Table;
  for (int I = 0; I < 3; ++I)
    for (const RequestFingerprint Each : {Other, Fatal})
      if (Each == Fatal || I < 2)
        Table.recordEnd(makeEnd(Each, 1 + I, I), true, at(I));
  // The third end of Other is also one of Fatal, and is reported later.
  CHECK_FALSE(Table.recordEnd(makeEnd(Other, 3, 2), true, at(2)));
  CHECK(Table.classify(Fatal, at(2)) == QuarantineVerdict::Quarantined);
  CHECK(Table.classify(Other, at(2)) == QuarantineVerdict::Allowed);
  CHECK_FALSE(Table.isSuspect(Other, 0));
}

TEST_CASE("a request that keeps ending servers gets few probes") {
  QuarantinedTable Table;
  std::vector<double> Probes;
  for (double Now = 2; Now < 599; Now += 0.1) {
    if (Table.classify(Fatal, at(Now)) != QuarantineVerdict::ProbeDue)
      continue;
    Table.recordProbe(Fatal, at(Now));
    Probes.push_back(Now);
    Table.recordEnd(makeEnd(Fatal, 10 + Probes.size(), Now + 0.1), true,
                    at(Now + 0.1));
  }
  // By the users' rule, at most three come later than three seconds after the
  // third end.
  CHECK(std::count_if(Probes.begin(), Probes.end(),
                      [](double Each) { return Each > 5; }) <= 3);
  // Two more come earlier, for a request that was quarantined wrongly.
  REQUIRE(Probes.size() == 3);
  CHECK(Probes[0] == doctest::Approx(4).epsilon(0.05));
  CHECK(Probes[1] == doctest::Approx(9).epsilon(0.05));
}

TEST_CASE("a successful probe releases the request at once") {
  QuarantinedTable Table;
  CHECK(Table.getWait(Fatal, at(2)) == fromSeconds(2));
  CHECK(Table.classify(Fatal, at(4)) == QuarantineVerdict::ProbeDue);
  Table.recordProbe(Fatal, at(4));
  CHECK(Table.classify(Fatal, at(4)) == QuarantineVerdict::Quarantined);
  CHECK(Table.recordLocalAnswer({Fatal, at(4.1)}));
  CHECK(Table.classify(Fatal, at(4.1)) == QuarantineVerdict::Allowed);
  CHECK(Table.getWait(Fatal, at(4.1)) == Duration::zero());
}

TEST_CASE("a probe that reached no server is left for the next request") {
  QuarantinedTable Table;
  Table.recordProbe(Fatal, at(4));
  CHECK_FALSE(Table.takeReturnedProbe(Fatal));
  Table.returnProbe(Fatal);
  CHECK(Table.takeReturnedProbe(Fatal));
  CHECK_FALSE(Table.takeReturnedProbe(Fatal));
}

TEST_CASE("a reader of the records learns of quarantine and release") {
  QuarantinedTable Before;
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

TEST_CASE("a record read before an answer does not restore the quarantine") {
  QuarantinedTable Table;
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

TEST_CASE("ends from the record add to the ends seen here") {
  PoisonRequestTable One;
  One.recordEnd(makeEnd(Fatal, 1, 0), true, at(0));
  PoisonRequestTable Two;
  Two.recordEnd(makeEnd(Fatal, 2, 1), true, at(1));
  Two.recordEnd(makeEnd(Fatal, 3, 2), true, at(2));
  One.applyRecords(Two.listUnrecorded(), at(3));
  CHECK(One.classify(Fatal, at(3)) != QuarantineVerdict::Allowed);
}

TEST_CASE("new requests do not evict requests with several ends") {
  QuarantinedTable Table;
  Table.recordEnd(makeEnd(Other, 1, 20), true, at(20));
  Table.recordEnd(makeEnd(Other, 2, 21), true, at(21));
  for (RequestFingerprint Each = 1000; Each < 3000; ++Each)
    Table.recordEnd(makeEnd(Each, 50, 30), true, at(30));
  CHECK(Table.describe().size() <= 256);
  CHECK(Table.classify(Fatal, at(30)) != QuarantineVerdict::Allowed);
  CHECK(Table.isSuspect(Other, 0));
}

TEST_CASE("ends expire, but a quarantined request does not") {
  QuarantinedTable Table;
  Table.recordEnd(makeEnd(Other, 9, 2), true, at(2));
  Table.forgetOld(at(700));
  CHECK_FALSE(Table.isSuspect(Other, 0));
  CHECK(Table.countQuarantined() == 1);
}

TEST_CASE("the verdict does not depend on the order of reports") {
  const bool Holds = rc::check([] {
    const int Ends = *rc::gen::inRange(0, 8);
    std::vector<std::pair<bool, double>> Reports;
    Reports.reserve(9);
    for (int I = 0; I < Ends; ++I)
      Reports.emplace_back(false, *rc::gen::inRange(0, 3000) / 100.0);
    if (*rc::gen::arbitrary<bool>())
      Reports.emplace_back(true, *rc::gen::inRange(0, 3000) / 100.0);
    std::vector<size_t> Order;
    for (size_t I = 0; I < Reports.size(); ++I)
      Order.insert(Order.end(), 2, I);
    const std::vector<size_t> Second =
        *rc::gen::arbitrary<bool>()
            ? std::vector<size_t>(Order.rbegin(), Order.rend())
            : Order;
    const auto ClassifyAfter = [&](const std::vector<size_t> &By) {
      PoisonRequestTable Table;
      for (const size_t I : By)
        if (Reports[I].first)
          Table.applyPeerAnswer({Fatal, at(Reports[I].second)});
        else
          Table.recordEnd(makeEnd(Fatal, I, Reports[I].second), false, at(30));
      return Table.classify(Fatal, at(31));
    };
    std::vector<size_t> Shuffled = Order;
    for (size_t I = Shuffled.size(); I > 1; --I)
      std::swap(Shuffled[I - 1],
                Shuffled[static_cast<size_t>(
                    *rc::gen::inRange<int>(0, static_cast<int>(I)))]);
    RC_ASSERT(ClassifyAfter(Order) == ClassifyAfter(Shuffled));
    RC_ASSERT(ClassifyAfter(Second) == ClassifyAfter(Shuffled));
  });
  CHECK(Holds);
}
