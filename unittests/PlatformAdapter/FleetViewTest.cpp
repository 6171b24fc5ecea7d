//===- FleetViewTest.cpp - Tests of the view of the store -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The configuration's version never decreases. Servers that leave are dropped
/// at once, and those whose entries may merely have expired are kept for a
/// grace period.
///
//===----------------------------------------------------------------------===//

#include "platform/FleetView.h"
#include "PlatformAdapter/ViewChanges.h"
#include "canvaswick/Support/Log.h"
#include "platform/RecordDecoder.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <utility>

using namespace canvaswick;
using namespace canvaswick::platform;

static constexpr TimePoint Start{fromSeconds(100)};

static std::string makeRules(uint64_t Version) {
  return fmt::format(
      R"({{"version": {}, "limits": {{}}, "clusters": [{{"name": "s"}}],
      "listeners": [{{"host": "a", "rules": [{{"name": "r{}",
      "kind": "idempotent", "match": {{"pathPrefix": "/x/"}},
      "action": {{"service": "s", "attempts": 2}}}}]}}]}})",
      Version, Version);
}

static std::string makeServer(const std::string &State, int Sequence = 1,
                              int WarmupLeft = 0) {
  return fmt::format(
      R"({{"address": "10.0.0.9:80", "info": {{"service": "s", "version": "v",
      "zone": "h", "slots": 3}},
      "status": {{"state": "{}", "seq": {}, "warmupLeftS": {}}}}})",
      State, Sequence, WarmupLeft);
}

static size_t countServers(const FleetView &View) {
  return View.compileConfig()->Services[0].Servers.size();
}

/// Fills a view with one configuration and one server.
static void fill(FleetView &View) {
  replaceAll(View,
             {{"op/config", makeRules(2), {0, 5}, false},
              {"servers/i-1", makeServer("ready"), {0, 6}, false}},
             {0, 10}, Start);
}

TEST_CASE("nothing is in force before the first configuration") {
  FleetView View({70}, fromSeconds(2));
  replaceAll(View, {{"servers/i-1", makeServer("ready"), {0, 6}, false}},
             {0, 10}, Start);
  CHECK(View.compileConfig() == nullptr);
}

TEST_CASE("the configuration's version never decreases") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  CHECK(View.compileConfig()->Version == 2);
  applyEvents(View, {{"op/config", makeRules(4), {0, 12}, false}}, {0, 12},
              Start);
  CHECK(View.compileConfig()->Version == 4);
  // An older version at a newer revision, a malformed configuration, and a
  // newer version at an older revision.
  applyEvents(View, {{"op/config", makeRules(3), {0, 13}, false}}, {0, 13},
              Start);
  CHECK(View.compileConfig()->Version == 4);
  applyEvents(View, {{"op/config", "{", {0, 14}, false}}, {0, 14}, Start);
  CHECK(View.compileConfig()->Version == 4);
  applyEvents(View, {{"op/config", makeRules(9), {0, 11}, false}}, {0, 14},
              Start);
  CHECK(View.compileConfig()->Version == 4);
}

TEST_CASE("a draining server is kept as such, and a removed one is dropped") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  applyEvents(View, {{"servers/i-1", makeServer("draining"), {0, 11}, false}},
              {0, 11}, Start);
  CHECK(View.compileConfig()->Services[0].Servers[0].State ==
        ServerState::Draining);
  applyEvents(View, {{"servers/i-1", "", {0, 12}, true}}, {0, 12}, Start);
  CHECK(countServers(View) == 0);
}

TEST_CASE("servers whose entries vanish together around a store failure are "
          "kept for a while") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  applyEvents(View,
              {{"servers/i-2", makeServer("ready"), {0, 11}, false},
               {"servers/i-3", makeServer("ready"), {0, 12}, false}},
              {0, 12}, Start);
  View.recordStoreFailure(Start);
  replaceAll(View, {{"op/config", makeRules(2), {0, 5}, false}}, {0, 20},
             Start + fromSeconds(1));
  CHECK(countServers(View) == 3);
  SUBCASE("one comes back") {
    applyEvents(View, {{"servers/i-1", makeServer("ready"), {0, 22}, false}},
                {0, 22}, Start + fromSeconds(2));
    CHECK(View.resolveMissing(Start + fromSeconds(9)));
    CHECK(countServers(View) == 1);
  }
  SUBCASE("none comes back") {
    CHECK_FALSE(View.resolveMissing(Start + fromSeconds(2.9)));
    CHECK(View.resolveMissing(Start + fromSeconds(3)));
    CHECK(countServers(View) == 0);
  }
}

TEST_CASE(
    "a single server whose entry vanishes around a store failure has left") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  applyEvents(View, {{"servers/i-2", makeServer("ready"), {0, 11}, false}},
              {0, 12}, Start);
  View.recordStoreFailure(Start);
  applyEvents(View, {{"servers/i-2", "", {0, 13}, true}}, {0, 13},
              Start + fromSeconds(1));
  CHECK(countServers(View) == 1);
}

TEST_CASE("without a store failure a server whose entry vanishes is dropped at "
          "once") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  View.recordStoreFailure(Start - fromSeconds(60));
  applyEvents(View, {{"servers/i-1", "", {0, 12}, true}}, {0, 12}, Start);
  CHECK(countServers(View) == 0);
}

TEST_CASE("a peer's replica is applied like an answer of the store") {
  FleetView Ahead({70}, fromSeconds(2));
  fill(Ahead);
  applyEvents(Ahead,
              {{"servers/i-1", "", {0, 12}, true},
               {"op/config", makeRules(5), {0, 13}, false}},
              {0, 13}, Start);
  FleetView Behind({70}, fromSeconds(2));
  fill(Behind);
  CHECK(Behind.apply(Ahead.getChangesAfter(Behind.getAsOf()), Start).IsChanged);
  CHECK(Behind.getAsOf() == StorePosition(0, 13));
  CHECK(countServers(Behind) == 0);
  CHECK(Behind.compileConfig()->Version == 5);
  FleetView Empty({70}, fromSeconds(2));
  CHECK(Empty.apply(Ahead.getChangesAfter({}), Start).IsChanged);
  CHECK(Empty.compileConfig()->Version == 5);
}

TEST_CASE(
    "a daemon's entry is counted separately, and only if its record changes") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  const auto ApplyEntry = [&](uint64_t Lease, const char *Host,
                              uint64_t Revision) {
    const DaemonRecord Record{"d1", "h", {Host, 80}, {Host, 81}};
    applyEvents(View,
                {{"canvaswick/daemons/d1",
                  encodeDaemon(Record, Lease),
                  {0, Revision},
                  false}},
                {0, Revision}, Start);
  };
  const FleetChangeCounts First = View.getChangeCounts();
  ApplyEntry(7, "10.0.0.1", 11);
  const FleetChangeCounts Second = View.getChangeCounts();
  CHECK(Second.Daemons == First.Daemons + 1);
  SUBCASE("another lease") {
    ApplyEntry(8, "10.0.0.1", 12);
    CHECK(View.getChangeCounts().Daemons == Second.Daemons);
  }
  SUBCASE("another address") {
    ApplyEntry(7, "10.0.0.2", 12);
    CHECK(View.getChangeCounts().Daemons == Second.Daemons + 1);
    REQUIRE(View.listDaemons().size() == 1);
    CHECK(View.listDaemons()[0].Control.Host == "10.0.0.2");
  }
  SUBCASE("an entry that cannot be decoded") {
    applyEvents(View, {{"canvaswick/daemons/d1", "[]", {0, 12}, false}},
                {0, 12}, Start);
    CHECK(View.getChangeCounts().Daemons == Second.Daemons + 1);
    CHECK(View.listDaemons().empty());
  }
  SUBCASE("the entry is removed") {
    applyEvents(View, {{"canvaswick/daemons/d1", "", {0, 12}, true}}, {0, 12},
                Start);
    CHECK(View.getChangeCounts().Daemons == Second.Daemons + 1);
    CHECK(View.listDaemons().empty());
  }
  CHECK(View.getChangeCounts().Config == First.Config);
}

TEST_CASE("every change of the compiled configuration is counted") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  uint64_t Before = View.getChangeCounts().Config;
  const auto HasChanged = [&] {
    const uint64_t Now = View.getChangeCounts().Config;
    return std::exchange(Before, Now) != Now;
  };
  applyEvents(View, {{"servers/i-2", makeServer("ready"), {0, 11}, false}},
              {0, 11}, Start);
  CHECK(HasChanged());
  applyEvents(View, {{"op/config", makeRules(3), {0, 12}, false}}, {0, 12},
              Start);
  CHECK(HasChanged());
  View.setBounds({60}, fromSeconds(2));
  CHECK(HasChanged());
  // Both entries expire, and their servers are dropped later.
  View.recordStoreFailure(Start);
  applyEvents(
      View,
      {{"servers/i-1", "", {0, 13}, true}, {"servers/i-2", "", {0, 14}, true}},
      {0, 14}, Start);
  CHECK(countServers(View) == 2);
  CHECK_FALSE(HasChanged());
  CHECK(View.resolveMissing(Start + fromSeconds(3)));
  CHECK(HasChanged());
  // A server that leaves is dropped at once.
  applyEvents(View, {{"servers/i-3", makeServer("ready"), {0, 15}, false}},
              {0, 15}, Start + fromSeconds(20));
  CHECK(HasChanged());
  applyEvents(View, {{"servers/i-3", "", {0, 16}, true}}, {0, 16},
              Start + fromSeconds(20));
  CHECK(HasChanged());
  CHECK(countServers(View) == 0);
}

/// Returns the entry of one instance of a server.
static std::string makeInstanceEntry(uint64_t Born, uint64_t Sequence,
                                     const std::string &State = "ready",
                                     int Port = 80) {
  return fmt::format(
      R"({{"address": "10.0.0.9:{}", "born": {},
      "info": {{"service": "s", "version": "v", "zone": "h", "slots": 3}},
      "status": {{"state": "{}", "seq": {}, "warmupLeftS": 0}}}})",
      Port, Born, State, Sequence);
}

static const ServerConfig &getOnlyServer(const FleetConfigRef &Config) {
  REQUIRE(Config->Services[0].Servers.size() == 1);
  return Config->Services[0].Servers[0];
}

// Guards against departures that wait while the entries of a large store's
// servers, written again, are put in force one after the other (DRAIN).
TEST_CASE("an entry that only its sequence number sets apart is no change") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  const uint64_t Counted = View.getChangeCounts().Config;
  const auto Write = [&](const std::string &Entry, uint64_t Revision) {
    applyEvents(View, {{"servers/i-1", Entry, {0, Revision}, false}},
                {0, Revision}, Start);
    return View.getChangeCounts().Config - Counted;
  };
  CHECK(Write(makeServer("ready", 2), 11) == 0);
  CHECK(Write(makeServer("ready", 3), 12) == 0);
  CHECK(View.getAsOf() == StorePosition{0, 12});
  CHECK(Write(makeServer("ready", 4, 5), 13) == 1);
  CHECK(Write(makeServer("ready", 5, 5), 14) == 2);
  CHECK(Write(makeServer("draining", 6), 15) == 3);
  CHECK(Write(makeServer("draining", 7), 16) == 3);
}

TEST_CASE("a server that restarts under its ID is another server") {
  FleetView View({70}, fromSeconds(2));
  replaceAll(
      View,
      {{"op/config", makeRules(2), {0, 5}, false},
       {"servers/i-1", makeInstanceEntry(1000, 7, "draining"), {0, 6}, false}},
      {0, 10}, Start);
  const FleetConfigRef Before = View.compileConfig();
  CHECK(getOnlyServer(Before).State == ServerState::Draining);
  applyEvents(View,
              {{"servers/i-1",
                makeInstanceEntry(2000, 1, "ready", 81),
                {0, 11},
                false}},
              {0, 11}, Start);
  const FleetConfigRef After = View.compileConfig();
  CHECK(getOnlyServer(After).State == ServerState::Active);
  CHECK(getOnlyServer(After).Address.Port == 81);
  // State is kept by name; requests address servers by their ID.
  CHECK(getOnlyServer(After).Name != getOnlyServer(Before).Name);
  CHECK(getOnlyServer(After).Instance == "i-1");
}

TEST_CASE(
    "the same instance is the same server, whatever else its entry says") {
  FleetView View({70}, fromSeconds(2));
  replaceAll(View,
             {{"op/config", makeRules(2), {0, 5}, false},
              {"servers/i-1", makeInstanceEntry(1000, 7), {0, 6}, false}},
             {0, 10}, Start);
  const FleetConfigRef Before = View.compileConfig();
  applyEvents(
      View,
      {{"servers/i-1", makeInstanceEntry(1000, 8, "draining"), {0, 11}, false}},
      {0, 11}, Start);
  CHECK(getOnlyServer(View.compileConfig()).Name == getOnlyServer(Before).Name);
  CHECK(getOnlyServer(View.compileConfig()).State == ServerState::Draining);
}

TEST_CASE("an entry of an earlier instance, or an older one of the same, is "
          "ignored") {
  FleetView View({70}, fromSeconds(2));
  replaceAll(View,
             {{"op/config", makeRules(2), {0, 5}, false},
              {"servers/i-1", makeInstanceEntry(2000, 5), {0, 6}, false}},
             {0, 10}, Start);
  applyEvents(View,
              {{"servers/i-1",
                makeInstanceEntry(1000, 99, "draining"),
                {0, 11},
                false}},
              {0, 11}, Start);
  CHECK(getOnlyServer(View.compileConfig()).State == ServerState::Active);
  applyEvents(
      View,
      {{"servers/i-1", makeInstanceEntry(2000, 4, "draining"), {0, 12}, false}},
      {0, 12}, Start);
  CHECK(getOnlyServer(View.compileConfig()).State == ServerState::Active);
  // The same holds after the entry was removed.
  applyEvents(View, {{"servers/i-1", "", {0, 13}, true}}, {0, 13}, Start);
  applyEvents(View,
              {{"servers/i-1", makeInstanceEntry(1000, 100), {0, 14}, false}},
              {0, 14}, Start);
  CHECK(countServers(View) == 0);
  applyEvents(View,
              {{"servers/i-1", makeInstanceEntry(2000, 6), {0, 15}, false}},
              {0, 15}, Start);
  CHECK(countServers(View) == 1);
}

TEST_CASE("a server whose entry becomes malformed is dropped until it is valid "
          "again") {
  FleetView View({70}, fromSeconds(2));
  replaceAll(View,
             {{"op/config", makeRules(2), {0, 5}, false},
              {"servers/i-1", makeInstanceEntry(1000, 7), {0, 6}, false},
              {"servers/i-2", makeInstanceEntry(1000, 7), {0, 7}, false}},
             {0, 10}, Start);
  applyEvents(View, {{"servers/i-1", "\xff", {0, 11}, false}}, {0, 11}, Start);
  CHECK(countServers(View) == 1);
  CHECK(View.drainRefusedCount() == 1);
  CHECK(View.drainRefusedCount() == 0);
  applyEvents(View,
              {{"servers/i-1", makeInstanceEntry(1000, 8), {0, 12}, false}},
              {0, 12}, Start);
  CHECK(countServers(View) == 2);
}

TEST_CASE("if most servers report their start time, an entry without one is "
          "ignored") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  CHECK(countServers(View) == 1);
  // One server that reports its start time among others that do not proves
  // nothing.
  applyEvents(View,
              {{"servers/i-2", makeInstanceEntry(1000, 1), {0, 11}, false}},
              {0, 11}, Start);
  CHECK(countServers(View) == 2);
  applyEvents(View,
              {{"servers/i-3", makeInstanceEntry(1000, 1), {0, 12}, false}},
              {0, 12}, Start);
  CHECK(countServers(View) == 2);
}

/// Returns a valid value with some bytes changed, or an arbitrary text.
static std::string makeDamagedEntry(const std::string &Real) {
  if (*rc::gen::inRange(0, 4) == 0)
    return *rc::gen::arbitrary<std::string>();
  std::string Text = Real;
  const auto Places = *rc::gen::container<std::vector<size_t>>(
      rc::gen::inRange<size_t>(0, Real.size()));
  for (const size_t Place : Places)
    Text[Place] =
        *rc::gen::elementOf(std::string("{}[]\":,0-9.enta \xff\x01\xc3\x28\\"));
  return Text;
}

TEST_CASE("entries of unknown writers do not affect any others") {
  CHECK(rc::check([] {
    FleetView View({70}, fromSeconds(2));
    fill(View);
    const DaemonRecord Peer{"d1", "h", {"10.0.0.1", 80}, {"10.0.0.1", 81}};
    applyEvents(View,
                {{"canvaswick/daemons/d1", encodeDaemon(Peer), {0, 11}, false}},
                {0, 11}, Start);
    const std::string Keys[] = {"servers/i-2",
                                "canvaswick/daemons/d2",
                                "servers/" + *rc::gen::arbitrary<std::string>(),
                                "op/other",
                                "canvaswick/suspects",
                                *rc::gen::arbitrary<std::string>()};
    uint64_t Revision = 12;
    const int Steps = *rc::gen::inRange(1, 8);
    for (int Step = 0; Step < Steps; ++Step, ++Revision) {
      const std::string &Key = Keys[*rc::gen::inRange(0, 6)];
      if (Key == "servers/i-1" || Key == "op/config")
        continue;
      const std::string Real = *rc::gen::arbitrary<bool>()
                                   ? makeInstanceEntry(1000, 5)
                                   : encodeDaemon(Peer);
      applyEvents(View, {{Key, makeDamagedEntry(Real), {0, Revision}, false}},
                  {0, Revision}, Start);
    }
    const FleetConfigRef Config = View.compileConfig();
    RC_ASSERT(Config->Version == 2u);
    RC_ASSERT(Config->Routes.size() == 1u);
    const auto &Servers = Config->Services[0].Servers;
    const auto IsUnchanged = [](const ServerConfig &Server) {
      return Server.Name == "i-1" && Server.Address.Port == 80;
    };
    RC_ASSERT(std::count_if(Servers.begin(), Servers.end(), IsUnchanged) == 1);
    const std::vector<DaemonRecord> Daemons = View.listDaemons();
    RC_ASSERT(std::count(Daemons.begin(), Daemons.end(), Peer) == 1);
  }));
}

/// Returns how many lines a change of the view logs.
static uint64_t countLines(FleetView &View,
                           const std::vector<StoreItem> &Events) {
  // A log writer that may write nothing counts the lines that it drops.
  LogBounds Bounds;
  Bounds.LinesPerSecond = 0;
  Bounds.Burst = 0;
  const uint64_t Before = countDroppedLogLines();
  startLogWriter(Bounds);
  applyEvents(View, Events, Events.back().At, Start);
  stopLogWriter();
  return countDroppedLogLines() - Before;
}

TEST_CASE("servers that appear together are logged as a count, a few by name") {
  FleetView View({70}, fromSeconds(2));
  fill(View);
  std::vector<StoreItem> Many;
  for (uint64_t I = 0; I < 50; ++I)
    Many.push_back({fmt::format("servers/i-{}", 100 + I),
                    makeServer("ready"),
                    {0, 20 + I},
                    false});
  CHECK(countLines(View, Many) == 1);
  CHECK(countLines(View,
                   {{"servers/i-200", makeServer("ready"), {0, 100}, false},
                    {"servers/i-201", makeServer("ready"), {0, 101}, false}}) ==
        2);
  CHECK(countServers(View) == 53);
}
