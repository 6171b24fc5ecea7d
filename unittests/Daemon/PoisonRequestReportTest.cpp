//===- PoisonRequestReportTest.cpp - Tests of poison request records ------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that records keep their content when encoded and merged, that
/// malformed ones are rejected, and that only one daemon claims a probe.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/PoisonRequestReport.h"
#include "canvaswick/Daemon/PoisonRequestStore.h"
#include "canvaswick/Json/JsonText.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace canvaswick;

namespace {

constexpr RequestFingerprint Fatal = 0xfedcba9876543210;

/// Returns an instant some seconds after an arbitrary start of both clocks.
Instant at(double Seconds) {
  return {TimePoint(fromSeconds(5000 + Seconds)),
          1000000000000 + toMillis(fromSeconds(Seconds))};
}

PoisonRequestRecord makeRecord(RequestFingerprint Request, int Ends) {
  PoisonRequestRecord Record;
  Record.Request = Request;
  for (int I = 0; I < Ends; ++I)
    Record.Ends.push_back({Request, static_cast<EndedServerId>(0xfffffff0 + I),
                           at(I - 0.02).Steady, at(I).Steady,
                           static_cast<uint32_t>(I)});
  Record.ChangedMillis = at(Ends).CalendarMillis;
  return Record;
}

/// The storage of the records, shared by several daemons.
struct FakeStore {
  PoisonRequestStore open(RequestQuarantine &Quarantine) {
    return PoisonRequestStore(
        Quarantine, [this] { return this->read(); },
        [this](const std::string &Text, const StorePosition &Expected) {
          return this->write(Text, Expected);
        });
  }

  Result<StoredRecords> read() { return this->Stored; }

  Result<StorePosition> write(const std::string &Text,
                              const StorePosition &Expected) {
    if (this->IsDown)
      return makeError(ErrorKind::Unavailable, "down");
    if (Expected != this->Stored.At)
      return makeError(ErrorKind::Conflict, "another revision");
    ++this->Writes;
    this->Stored = {Text, {Expected.Epoch, Expected.Revision + 1}};
    return this->Stored.At;
  }

  StoredRecords Stored;
  bool IsDown = false;
  int Writes = 0;
};

/// A daemon's quarantine and its access to the records.
struct TestDaemon {
  explicit TestDaemon(FakeStore &Storage) : Store(Storage.open(Quarantine)) {}

  void recordEnd(int Server, double Ended) {
    this->Quarantine.recordEnd({Fatal, static_cast<EndedServerId>(Server),
                                at(Ended - 0.02).Steady, at(Ended).Steady},
                               at(Ended).Steady);
  }

  CounterTable Counters;
  RequestQuarantine Quarantine{Counters};
  PoisonRequestStore Store;
};

} // namespace

TEST_CASE("records survive encoding with a precision of one millisecond") {
  std::vector<PoisonRequestRecord> Records{makeRecord(Fatal, 3),
                                           makeRecord(5, 2)};
  Records[0].Probes = 4;
  const Result<std::vector<PoisonRequestRecord>> Back =
      decodeRecords(encodeRecords(Records, at(10)), at(20));
  REQUIRE(Back);
  CHECK(Back.value() == Records);
}

TEST_CASE("a clock that is wrong by hours places no crash in the future") {
  const std::string Text = encodeRecords({makeRecord(Fatal, 3)}, at(36000));
  const Result<std::vector<PoisonRequestRecord>> Back =
      decodeRecords(Text, at(0));
  REQUIRE(Back);
  CHECK(Back.value()[0].Ends.back().Ended <= at(36000).Steady);
}

TEST_CASE("malformed records are rejected for each field") {
  Json::Value Value;
  REQUIRE(parseJson(encodeRecords({makeRecord(Fatal, 2)}, at(10)), Value));
  const auto Refused = [](const Json::Value &Changed) {
    return !decodeRecords(writeJson(Changed), at(10));
  };
  CHECK_FALSE(Refused(Value));
  CHECK(Refused(Json::Value()));
  CHECK(Refused(Json::Value(Json::arrayValue)));
  for (const char *Field : {"asks", "ended-ms", "changed-ms", "tries", "ends"})
    for (const Json::Value &Wrong :
         {Json::Value(Json::nullValue), Json::Value(1.5), Json::Value("zz"),
          Json::Value(Json::arrayValue), Json::Value(Json::objectValue)}) {
      Json::Value Changed = Value;
      Changed["requests"][0][Field] = Wrong;
      CHECK(Refused(Changed));
    }
  Json::Value Changed = Value;
  Changed["requests"][0]["ends"][1][0] = "5";
  CHECK(Refused(Changed));
}

TEST_CASE("damaged records never throw") {
  CHECK(rc::check([] {
    std::string Text =
        encodeRecords({makeRecord(Fatal, 3), makeRecord(5, 2)}, at(10));
    const auto Places = *rc::gen::container<std::vector<size_t>>(
        rc::gen::inRange<size_t>(0, Text.size()));
    for (const size_t Place : Places)
      Text[Place] = *rc::gen::elementOf(std::string("{}[]\":,0-9nta "));
    (void)decodeRecords(Text, at(20));
  }));
}

TEST_CASE("records are merged and old ones are dropped") {
  std::vector<PoisonRequestRecord> Records{makeRecord(Fatal, 2)};
  PoisonRequestRecord More = makeRecord(Fatal, 3);
  More.Ends.erase(More.Ends.begin());
  More.Probes = 1;
  mergeRecord(Records, More, at(4).CalendarMillis);
  REQUIRE(Records.size() == 1);
  CHECK(Records[0].Ends.size() == 3);
  CHECK(Records[0].Probes == 1);
  for (RequestFingerprint Each = 100; Each < 200; ++Each)
    mergeRecord(Records, makeRecord(Each, 2), at(5).CalendarMillis);
  CHECK(Records.size() == 64);
  mergeRecord(Records, makeRecord(7, 2), at(24 * 3600).CalendarMillis);
  CHECK(Records.size() == 1);
  CHECK(removeRecord(Records, 7));
  CHECK_FALSE(removeRecord(Records, 7));
}

TEST_CASE("only one daemon can claim a probe") {
  FakeStore Storage;
  TestDaemon One(Storage);
  TestDaemon Two(Storage);
  for (int I = 0; I < 3; ++I)
    One.recordEnd(I, I);
  One.Store.runRound(at(3));
  REQUIRE(Two.Store.refresh(at(3)));
  const PoisonRequestRecord Known = Two.Quarantine.describe().at(0).Record;
  CHECK(Known.Ends.size() == 3);
  CHECK(One.Store.claimProbe(Known, at(5)));
  // The second daemon does not know yet that the first one claimed the probe.
  CHECK_FALSE(Two.Store.claimProbe(Known, at(5)));
  Storage.IsDown = true;
  CHECK_FALSE(One.Store.claimProbe(makeRecord(5, 3), at(6)));
}

TEST_CASE("a single crash is not stored; more are stored once") {
  FakeStore Storage;
  TestDaemon One(Storage);
  One.recordEnd(1, 0);
  One.Store.runRound(at(1));
  CHECK(Storage.Writes == 0);
  One.recordEnd(2, 1);
  Storage.IsDown = true;
  One.Store.runRound(at(2));
  Storage.IsDown = false;
  One.Store.runRound(at(2.5));
  CHECK(Storage.Writes == 0);
  One.Store.runRound(at(5));
  REQUIRE(One.Store.refresh(at(5)));
  One.Store.runRound(at(8));
  CHECK(Storage.Writes == 1);
}

TEST_CASE("a malformed value quarantines no request and is replaced") {
  FakeStore Storage;
  Storage.Stored = {"{\"requests\": 3}", {0, 9}};
  TestDaemon One(Storage);
  REQUIRE(One.Store.refresh(at(0)));
  One.recordEnd(1, 0);
  One.recordEnd(2, 1);
  One.Store.runRound(at(2));
  CHECK(decodeRecords(Storage.Stored.Text, at(2)).value().size() == 1);
}

TEST_CASE("overwritten records release no request from quarantine") {
  FakeStore Storage;
  TestDaemon One(Storage);
  for (int I = 0; I < 3; ++I)
    One.recordEnd(I, I);
  One.Store.runRound(at(3));
  REQUIRE(One.Store.refresh(at(3)));
  Storage.Stored = {"nonsense", {0, 20}};
  REQUIRE(One.Store.refresh(at(4)));
  CHECK(One.Quarantine.isQuarantined(Fatal, at(4).Steady));
  One.Store.runRound(at(6));
  CHECK(decodeRecords(Storage.Stored.Text, at(6)).value().size() == 1);
}

TEST_CASE(
    "records lost by the store release no request and are written again") {
  FakeStore Storage;
  TestDaemon One(Storage);
  for (int I = 0; I < 3; ++I)
    One.recordEnd(I, I);
  One.Store.runRound(at(3));
  REQUIRE(One.Store.refresh(at(3)));
  SUBCASE("the store holds none") { Storage.Stored = {"", {1, 0}}; }
  SUBCASE("the store holds others at their position") {
    Storage.Stored = {encodeRecords({makeRecord(5, 2)}, at(2)), {1, 1}};
  }
  REQUIRE(One.Store.refresh(at(4)));
  CHECK(One.Quarantine.isQuarantined(Fatal, at(4).Steady));
  One.Store.runRound(at(6));
  const auto Records = decodeRecords(Storage.Stored.Text, at(6));
  REQUIRE(Records);
  CHECK(std::any_of(Records.value().begin(), Records.value().end(),
                    [](const PoisonRequestRecord &Record) {
                      return Record.Request == Fatal && Record.Ends.size() == 3;
                    }));
}
