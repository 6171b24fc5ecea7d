//===- SuspectReportTest.cpp - Tests of records and of who gets a try -----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Records survive their text, merge, and are refused if they are of a wrong
/// shape; a right to a try is given once.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/SuspectReport.h"
#include "canvaswick/Daemon/SuspectBook.h"
#include "canvaswick/Json/JsonText.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace canvaswick;

namespace {

constexpr RequestDigest Fatal = 0xfedcba9876543210;

/// Returns an instant some seconds after an arbitrary start of both clocks.
Instant at(double Seconds) {
  return {TimePoint(fromSeconds(5000 + Seconds)),
          1000000000000 + toMillis(fromSeconds(Seconds))};
}

SuspectRecord makeRecord(RequestDigest Request, int Ends) {
  SuspectRecord Record;
  Record.Request = Request;
  for (int I = 0; I < Ends; ++I)
    Record.Ends.push_back({Request, static_cast<EndedServer>(0xfffffff0 + I),
                           at(I - 0.02).Steady, at(I).Steady,
                           static_cast<uint32_t>(I)});
  Record.ChangedMillis = at(Ends).CalendarMillis;
  return Record;
}

/// The place where records are kept, as several daemons see it.
struct Shelf {
  SuspectBook open(RequestQuarantine &Guard) {
    return SuspectBook(
        Guard, [this] { return this->read(); },
        [this](const std::string &Text, const StorePosition &Expected) {
          return this->write(Text, Expected);
        });
  }

  Result<BookPage> read() { return this->Page; }

  Result<StorePosition> write(const std::string &Text,
                              const StorePosition &Expected) {
    if (this->IsDown)
      return makeError(ErrorKind::Unavailable, "down");
    if (Expected != this->Page.At)
      return makeError(ErrorKind::Conflict, "another revision");
    ++this->Writes;
    this->Page = {Text, {Expected.Epoch, Expected.Revision + 1}};
    return this->Page.At;
  }

  BookPage Page;
  bool IsDown = false;
  int Writes = 0;
};

/// A daemon as far as records go.
struct Reader {
  explicit Reader(Shelf &Where) : Book(Where.open(Guard)) {}

  void see(int Server, double Ended) {
    this->Guard.noteEnd({Fatal, static_cast<EndedServer>(Server),
                         at(Ended - 0.02).Steady, at(Ended).Steady},
                        at(Ended).Steady);
  }

  CounterTable Counters;
  RequestQuarantine Guard{Counters};
  SuspectBook Book;
};

} // namespace

TEST_CASE("records survive their text, to the millisecond") {
  std::vector<SuspectRecord> Records{makeRecord(Fatal, 3), makeRecord(5, 2)};
  Records[0].Tries = 4;
  const Result<std::vector<SuspectRecord>> Back =
      decodeRecords(encodeRecords(Records, at(10)), at(20));
  REQUIRE(Back);
  CHECK(Back.value() == Records);
}

TEST_CASE("a clock that is off by hours makes no record of the future") {
  const std::string Text = encodeRecords({makeRecord(Fatal, 3)}, at(36000));
  const Result<std::vector<SuspectRecord>> Back = decodeRecords(Text, at(0));
  REQUIRE(Back);
  CHECK(Back.value()[0].Ends.back().Ended <= at(36000).Steady);
}

TEST_CASE("records of a wrong shape are refused, field by field") {
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

TEST_CASE("records merge, and old ones make room") {
  std::vector<SuspectRecord> Records{makeRecord(Fatal, 2)};
  SuspectRecord More = makeRecord(Fatal, 3);
  More.Ends.erase(More.Ends.begin());
  More.Tries = 1;
  mergeRecord(Records, More, at(4).CalendarMillis);
  REQUIRE(Records.size() == 1);
  CHECK(Records[0].Ends.size() == 3);
  CHECK(Records[0].Tries == 1);
  for (RequestDigest Each = 100; Each < 200; ++Each)
    mergeRecord(Records, makeRecord(Each, 2), at(5).CalendarMillis);
  CHECK(Records.size() == 64);
  mergeRecord(Records, makeRecord(7, 2), at(24 * 3600).CalendarMillis);
  CHECK(Records.size() == 1);
  CHECK(removeRecord(Records, 7));
  CHECK_FALSE(removeRecord(Records, 7));
}

TEST_CASE("of all daemons that want a try one gets it") {
  Shelf Where;
  Reader One(Where);
  Reader Two(Where);
  for (int I = 0; I < 3; ++I)
    One.see(I, I);
  One.Book.runRound(at(3));
  REQUIRE(Two.Book.refresh(at(3)));
  const SuspectRecord Known = Two.Guard.describe().at(0).Record;
  CHECK(Known.Ends.size() == 3);
  CHECK(One.Book.claimTry(Known, at(5)));
  // It has not heard of the first one's try yet.
  CHECK_FALSE(Two.Book.claimTry(Known, at(5)));
  Where.IsDown = true;
  CHECK_FALSE(One.Book.claimTry(makeRecord(5, 3), at(6)));
}

TEST_CASE("one end is not worth a call; more are written once") {
  Shelf Where;
  Reader One(Where);
  One.see(1, 0);
  One.Book.runRound(at(1));
  CHECK(Where.Writes == 0);
  One.see(2, 1);
  Where.IsDown = true;
  One.Book.runRound(at(2));
  Where.IsDown = false;
  One.Book.runRound(at(2.5));
  CHECK(Where.Writes == 0);
  One.Book.runRound(at(5));
  REQUIRE(One.Book.refresh(at(5)));
  One.Book.runRound(at(8));
  CHECK(Where.Writes == 1);
}

TEST_CASE("a value that cannot be read holds nobody back, and is replaced") {
  Shelf Where;
  Where.Page = {"{\"requests\": 3}", {0, 9}};
  Reader One(Where);
  REQUIRE(One.Book.refresh(at(0)));
  One.see(1, 0);
  One.see(2, 1);
  One.Book.runRound(at(2));
  CHECK(decodeRecords(Where.Page.Text, at(2)).value().size() == 1);
}

TEST_CASE("what another wrote over the records frees nobody") {
  Shelf Where;
  Reader One(Where);
  for (int I = 0; I < 3; ++I)
    One.see(I, I);
  One.Book.runRound(at(3));
  REQUIRE(One.Book.refresh(at(3)));
  Where.Page = {"nonsense", {0, 20}};
  REQUIRE(One.Book.refresh(at(4)));
  CHECK(One.Guard.isQuarantined(Fatal, at(4).Steady));
  One.Book.runRound(at(6));
  CHECK(decodeRecords(Where.Page.Text, at(6)).value().size() == 1);
}

TEST_CASE("records that a store has lost free nobody and are written again") {
  Shelf Where;
  Reader One(Where);
  for (int I = 0; I < 3; ++I)
    One.see(I, I);
  One.Book.runRound(at(3));
  REQUIRE(One.Book.refresh(at(3)));
  SUBCASE("it holds none") { Where.Page = {"", {1, 0}}; }
  SUBCASE("it holds others where these stood") {
    Where.Page = {encodeRecords({makeRecord(5, 2)}, at(2)), {1, 1}};
  }
  REQUIRE(One.Book.refresh(at(4)));
  CHECK(One.Guard.isQuarantined(Fatal, at(4).Steady));
  One.Book.runRound(at(6));
  const auto Records = decodeRecords(Where.Page.Text, at(6));
  REQUIRE(Records);
  CHECK(std::any_of(Records.value().begin(), Records.value().end(),
                    [](const SuspectRecord &Record) {
                      return Record.Request == Fatal && Record.Ends.size() == 3;
                    }));
}
