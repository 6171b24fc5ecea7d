//===- WatchElectionTest.cpp - Tests of electing watchers -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Two daemons of a hall watch; when they fall silent, others take over.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/WatchElection.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace canvaswick;

static constexpr TimePoint Start{fromSeconds(100)};

static std::vector<std::string> makeNames(int Count) {
  std::vector<std::string> Names;
  Names.reserve(static_cast<size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Names.push_back(fmt::format("d{}", I));
  return Names;
}

/// Returns the election as run by each daemon of a hall.
static std::vector<WatchElection>
makeHall(const std::vector<std::string> &Names) {
  std::vector<WatchElection> Elections;
  for (const std::string &Name : Names) {
    Elections.emplace_back(Name);
    Elections.back().setHallDaemons(Names, Start - fromSeconds(60));
  }
  return Elections;
}

/// Runs a hall for 3 s; all daemons but Silent receive each other's reports.
/// Returns the names of those that watch at the end.
static std::vector<std::string> runHall(std::vector<WatchElection> &Elections,
                                        const std::vector<std::string> &Names,
                                        const std::vector<std::string> &Silent,
                                        TimePoint &Now,
                                        bool AreFarBehind = false) {
  std::vector<std::string> Watching;
  for (int Round = 0; Round < 20; ++Round, Now += fromMillis(150)) {
    Watching.clear();
    for (size_t I = 0; I < Names.size(); ++I) {
      const bool IsSilent =
          std::find(Silent.begin(), Silent.end(), Names[I]) != Silent.end();
      if (IsSilent ||
          Elections[I].getRole(Now, AreFarBehind) == WatchRole::Follow)
        continue;
      Watching.push_back(Names[I]);
      for (WatchElection &Other : Elections)
        Other.recordWatcher(Names[I], Now);
    }
  }
  return Watching;
}

TEST_CASE("two daemons of a hall watch, and two others if they fall silent") {
  const std::vector<std::string> Names = makeNames(12);
  std::vector<WatchElection> Elections = makeHall(Names);
  TimePoint Now = Start;
  const std::vector<std::string> First = runHall(Elections, Names, {}, Now);
  CHECK(First.size() == 2);
  const std::vector<std::string> Second = runHall(Elections, Names, First, Now);
  CHECK(Second.size() == 2);
  CHECK(Second != First);
  CHECK(runHall(Elections, Names, {}, Now) == First);
}

TEST_CASE("a lone daemon watches") {
  WatchElection Election("d1");
  CHECK(Election.getRole(Start) == WatchRole::Lead);
  Election.setHallDaemons({}, Start);
  CHECK(Election.getRole(Start) == WatchRole::Lead);
}

TEST_CASE("a lone daemon waits for others of its hall to register") {
  WatchElection Election("d1", fromSeconds(2));
  CHECK(Election.getRole(Start) == WatchRole::Lead);
  Election.setHallDaemons({"d1"}, Start);
  CHECK(Election.getRole(Start + fromSeconds(1.9)) == WatchRole::Follow);
  CHECK(Election.getRole(Start + fromSeconds(2)) == WatchRole::Lead);
  // The wait does not start again.
  Election.setHallDaemons({}, Start + fromSeconds(2));
  CHECK(Election.getRole(Start + fromSeconds(2)) == WatchRole::Lead);
}

TEST_CASE("two daemons of a hall that starts at once watch the store") {
  std::vector<std::string> Names = makeNames(88);
  std::vector<WatchElection> Elections;
  for (const std::string &Name : Names) {
    Elections.emplace_back(Name, fromSeconds(2));
    Elections.back().setHallDaemons(Names, Start);
  }
  const auto CountFollowers = [&](Duration After) {
    return std::count_if(
        Elections.begin(), Elections.end(), [&](const auto &Each) {
          return Each.getRole(Start + After) == WatchRole::Follow;
        });
  };
  CHECK(CountFollowers(Duration::zero()) == 86);
  CHECK(CountFollowers(fromMillis(1000)) == 86);
  // The first two do not report: all others take over, as after any silence.
  CHECK(CountFollowers(fromMillis(1500)) == 0);
}

/// Reports to each daemon that the store last answered all of them at HeardAt.
static void reportToAll(std::vector<WatchElection> &Elections,
                        TimePoint HeardAt) {
  for (WatchElection &Each : Elections)
    for (size_t I = 0; I < Elections.size(); ++I)
      Each.recordWatcher(fmt::format("d{}", I), HeardAt);
}

static long countRole(const std::vector<WatchElection> &Elections,
                      WatchRole Role, TimePoint Now) {
  return std::count_if(Elections.begin(), Elections.end(),
                       [Role, Now](const WatchElection &Each) {
                         return Each.getRole(Now) == Role;
                       });
}

TEST_CASE(
    "all daemons of a hall lead 1.5 s after the last answer to a watcher") {
  std::vector<WatchElection> Elections = makeHall(makeNames(36));
  // They continue to report that they watch, but the store leaves them waiting.
  for (int I = 0; I < 15; ++I)
    reportToAll(Elections, Start);
  const TimePoint Early = Start + fromMillis(1050);
  CHECK(countRole(Elections, WatchRole::Lead, Early) == 1);
  CHECK(countRole(Elections, WatchRole::StandBy, Early) == 1);
  CHECK(countRole(Elections, WatchRole::Lead, Start + fromMillis(1500)) == 36);
}

TEST_CASE("the latest answer of a watcher counts, whichever report is last") {
  std::vector<WatchElection> Elections = makeHall(makeNames(3));
  reportToAll(Elections, Start + fromMillis(600));
  reportToAll(Elections, Start);
  const TimePoint Now = Start + fromMillis(1500);
  CHECK(countRole(Elections, WatchRole::Lead, Now) == 1);
  CHECK(countRole(Elections, WatchRole::StandBy, Now) == 1);
  CHECK(countRole(Elections, WatchRole::Follow, Now) == 1);
}

TEST_CASE("a daemon that knows no other and is far behind follows whoever "
          "watches in its hall") {
  WatchElection Alone("d0", fromSeconds(2));
  Alone.setHallDaemons({"d0"}, Start);
  const TimePoint Now = Start + fromSeconds(5);
  CHECK(Alone.getRole(Now, true) == WatchRole::Lead);
  Alone.recordWatcher("d7", Now);
  CHECK(Alone.getRole(Now, true) == WatchRole::Follow);
  CHECK(Alone.getRole(Now + fromSeconds(2), true) == WatchRole::Lead);
  // One call of its own brings it up to date.
  CHECK(Alone.getRole(Now, false) == WatchRole::Lead);
}

TEST_CASE("daemons that are far behind agree on the first watchers, though "
          "each knows others of the hall") {
  const std::vector<std::string> Names = makeNames(40);
  std::vector<WatchElection> Elections;
  // Each knows itself and the next two only.
  for (size_t I = 0; I < Names.size(); ++I) {
    Elections.emplace_back(Names[I], fromSeconds(2));
    Elections.back().setHallDaemons(
        {Names[I], Names[(I + 1) % 40], Names[(I + 2) % 40]}, Start);
  }
  TimePoint Now = Start + fromSeconds(4);
  CHECK(runHall(Elections, Names, {}, Now, true).size() == 2);
}
