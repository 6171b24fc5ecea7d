//===- ConfigFollowerTest.cpp - Tests of how settings come into force -----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Never back, never half, never wrong; and the publisher's races.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Config/ConfigFollower.h"
#include "canvaswick/Config/ConfigPublisher.h"
#include "canvaswick/StandIn/PlatformStandIn.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <thread>

using namespace canvaswick;

static std::string makeTree(int Slots) {
  return fmt::format("# a comment\n[region r]\nslots = {}\n"
                     "[service s]\nregion = r\n"
                     "[server s/a]\naddress = 10.0.0.1:80\nhall = h\n"
                     "[route x]\nservice = s\n"
                     "[organisation o]\nburst = 5\n",
                     Slots);
}

static ConfigManifest makeManifest(uint64_t Version, const std::string &Text,
                                   ConfigTexts &Texts) {
  ConfigManifest Manifest;
  Manifest.Version = Version;
  Manifest.Parts = splitTree(Text, Texts);
  return Manifest;
}

TEST_CASE("a tree survives being split and joined") {
  ConfigTexts Texts;
  const std::vector<ConfigPart> Parts = splitTree(makeTree(3), Texts);
  CHECK(Parts.size() == 4);
  Result<std::string> Joined = joinTree(Parts, Texts);
  REQUIRE(Joined);
  Result<SettingsTree> Tree = SettingsTree::parse(Joined.value(), "joined");
  REQUIRE(Tree);
  CHECK(compileFleetConfig(Tree.value(), 1)->Services[0].Servers[0].Slots == 3);
}

TEST_CASE("a change of one service changes one part") {
  ConfigTexts Texts;
  const std::string Both = makeTree(3) + "[service t]\nregion = r\n";
  const std::vector<ConfigPart> Before = splitTree(Both, Texts);
  const std::vector<ConfigPart> After =
      splitTree(Both + "deadline-ms = 5\n", Texts);
  REQUIRE(Before.size() == After.size());
  int Changed = 0;
  for (size_t I = 0; I < Before.size(); ++I)
    Changed += !(Before[I] == After[I]);
  CHECK(Changed == 1);
}

TEST_CASE("a part that does not match its hash is refused") {
  ConfigTexts Texts;
  const ConfigManifest Manifest = makeManifest(1, makeTree(3), Texts);
  Texts.begin()->second += "[region evil]\n";
  ConfigFollower Follower;
  CHECK(!Follower.accept(Manifest, Texts));
  CHECK(Follower.getVersion() == 0);
}

TEST_CASE("a version that fails its check leaves the one in force") {
  ConfigFollower Follower;
  ConfigTexts Good;
  const ConfigManifest First = makeManifest(1, makeTree(3), Good);
  REQUIRE(Follower.accept(First, Good));
  ConfigTexts Bad;
  const ConfigManifest Second =
      makeManifest(2, "[region r]\nslots = none\n", Bad);
  Result<FleetConfigRef> Refused = Follower.accept(Second, Bad);
  REQUIRE(!Refused);
  CHECK(Refused.error().Kind == ErrorKind::InvalidArgument);
  CHECK(Follower.getVersion() == 1);
}

TEST_CASE("whatever arrives in whatever order, versions only grow") {
  CHECK(rc::check([] {
    ConfigFollower Follower;
    uint64_t Highest = 0;
    const int Steps = *rc::gen::inRange(1, 30);
    for (int I = 0; I < Steps; ++I) {
      const uint64_t Version = *rc::gen::inRange<uint64_t>(1, 10);
      const bool IsWhole = *rc::gen::inRange(0, 3) != 0;
      ConfigTexts Texts;
      const ConfigManifest Manifest =
          makeManifest(Version, makeTree(static_cast<int>(Version)), Texts);
      if (!IsWhole && !Texts.empty())
        Texts.erase(Texts.begin());
      Result<FleetConfigRef> Accepted = Follower.accept(Manifest, Texts);
      if (Accepted) {
        RC_ASSERT(Version > Highest);
        RC_ASSERT(Accepted.value()->Services[0].Servers[0].Slots ==
                  static_cast<int>(Version));
        Highest = Version;
      }
      RC_ASSERT(Follower.getVersion() == Highest);
    }
  }));
}

TEST_CASE("looks at the platform stay bounded however many daemons there are") {
  for (const size_t Daemons : {10u, 100u, 1000u}) {
    CAPTURE(Daemons);
    std::mt19937_64 Random(1);
    std::uniform_real_distribution<double> Draw(0, 1);
    ConfigWatchSchedule Duty;
    int Looks = 0;
    static constexpr int Seconds = 200;
    for (int S = 0; S < Seconds; ++S)
      for (size_t D = 0; D < Daemons; ++D)
        Looks += Duty.shouldReadPlatform(Daemons, Draw(Random), TimePoint{});
    CHECK(Looks <
          1.3 * Seconds * ConfigWatchSchedule::UnconfirmedReadsPerSecond);
  }
}

TEST_CASE("a young confirmation keeps others from looking") {
  ConfigWatchSchedule Duty;
  const TimePoint Now = TimePoint{} + fromSeconds(100);
  CHECK(Duty.shouldReadPlatform(1, 0, Now));
  Duty.recordConfirmation(fromSeconds(1), Now);
  CHECK(!Duty.shouldReadPlatform(1, 0, Now));
  CHECK(Duty.shouldReadPlatform(1, 0, Now + fromSeconds(10)));
  // An older word does not replace a younger one.
  Duty.recordConfirmation(fromSeconds(50), Now);
  CHECK(Duty.getConfirmationAge(Now) == fromSeconds(1));
}

namespace {

struct Bench {
  Bench() {
    REQUIRE(this->Stand.start({"127.0.0.1", 0}));
    this->Client = std::make_unique<PlatformClient>(
        Endpoint{"127.0.0.1", this->Stand.getPort()}, nullptr);
  }
  PlatformStandIn Stand;
  std::unique_ptr<PlatformClient> Client;
};

} // namespace

static ConfigRequest makeRequest(uint64_t Base, const std::string &Id,
                                 int Slots) {
  ConfigRequest Request;
  Request.Text = makeTree(Slots);
  Request.FileName = "t";
  Request.BaseVersion = Base;
  Request.ChangeId = Id;
  Request.Author = Id;
  return Request;
}

TEST_CASE("of operators at once exactly one lands on a version") {
  Bench Under;
  static constexpr int Operators = 6;
  std::atomic<int> Landed{0};
  std::vector<std::thread> Threads;
  Threads.reserve(Operators);
  for (int I = 0; I < Operators; ++I)
    Threads.emplace_back([&, I] {
      ConfigPublisher Publisher(*Under.Client);
      if (Publisher.publish(makeRequest(0, fmt::format("c{}", I), I + 1), 1))
        ++Landed;
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(Landed == 1);
  ConfigPublisher Publisher(*Under.Client);
  CHECK(Publisher.readManifest().value().Version == 1);
}

TEST_CASE("whatever answer is lost, the publisher knows what landed") {
  for (int Lost = 1; Lost <= 8; ++Lost)
    for (const bool IsWriteLost : {false, true}) {
      CAPTURE(Lost);
      CAPTURE(IsWriteLost);
      Bench Under;
      ConfigPublisher Publisher(*Under.Client);
      PlatformFaults Faults;
      (IsWriteLost ? Faults.LoseWrites : Faults.LoseAnswers) = Lost;
      Under.Stand.setFaults(Faults);
      Result<uint64_t> Version = Publisher.publish(makeRequest(0, "c", 3), 1);
      Under.Stand.setFaults(PlatformFaults());
      Result<uint64_t> Found = Publisher.findChange("c");
      CHECK(Version.has_value() == Found.has_value());
      // The same change again is the same version.
      if (Found)
        CHECK(Publisher.publish(makeRequest(0, "c", 3), 1).value() == 1);
    }
}

TEST_CASE("an old base is refused and says who changed it") {
  Bench Under;
  ConfigPublisher Publisher(*Under.Client);
  REQUIRE(Publisher.publish(makeRequest(0, "anna", 3), 1));
  Result<uint64_t> Second = Publisher.publish(makeRequest(0, "bo", 4), 1);
  REQUIRE(!Second);
  CHECK(Second.error().Kind == ErrorKind::Conflict);
  CHECK(Second.error().Message.find("anna") != std::string::npos);
}
