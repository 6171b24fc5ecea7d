//===- WatchElectionTest.cpp - Tests of who watches the store -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Two daemons of a hall watch; when they fall silent others step in.
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

/// Returns the duty of each daemon of a hall.
static std::vector<WatchElection>
makeHall(const std::vector<std::string> &Names) {
  std::vector<WatchElection> Duties;
  for (const std::string &Name : Names) {
    Duties.emplace_back(Name);
    Duties.back().setHallDaemons(Names, Start - fromSeconds(60));
  }
  return Duties;
}

/// Lets a hall run for a second, all hearing each other but for Silent.
static std::vector<std::string> runHall(std::vector<WatchElection> &Duties,
                                        const std::vector<std::string> &Names,
                                        const std::vector<std::string> &Silent,
                                        TimePoint &Now) {
  std::vector<std::string> Watching;
  for (int Round = 0; Round < 20; ++Round, Now += fromMillis(150)) {
    Watching.clear();
    for (size_t I = 0; I < Names.size(); ++I) {
      const bool IsSilent =
          std::find(Silent.begin(), Silent.end(), Names[I]) != Silent.end();
      if (IsSilent || Duties[I].getRole(Now) == WatchRole::Follow)
        continue;
      Watching.push_back(Names[I]);
      for (WatchElection &Other : Duties)
        Other.recordWatcher(Names[I], Now);
    }
  }
  return Watching;
}

TEST_CASE("two daemons of a hall watch, and two others if they fall silent") {
  const std::vector<std::string> Names = makeNames(12);
  std::vector<WatchElection> Duties = makeHall(Names);
  TimePoint Now = Start;
  const std::vector<std::string> First = runHall(Duties, Names, {}, Now);
  CHECK(First.size() == 2);
  const std::vector<std::string> Second = runHall(Duties, Names, First, Now);
  CHECK(Second.size() == 2);
  CHECK(Second != First);
  CHECK(runHall(Duties, Names, {}, Now) == First);
}

TEST_CASE("a daemon alone watches") {
  WatchElection Duty("d1");
  CHECK(Duty.getRole(Start) == WatchRole::Lead);
  Duty.setHallDaemons({}, Start);
  CHECK(Duty.getRole(Start) == WatchRole::Lead);
}

TEST_CASE("a daemon alone waits for others of its hall to register") {
  WatchElection Duty("d1", fromSeconds(2));
  CHECK(Duty.getRole(Start) == WatchRole::Lead);
  Duty.setHallDaemons({"d1"}, Start);
  CHECK(Duty.getRole(Start + fromSeconds(1.9)) == WatchRole::Follow);
  CHECK(Duty.getRole(Start + fromSeconds(2)) == WatchRole::Lead);
  // The wait is not begun again.
  Duty.setHallDaemons({}, Start + fromSeconds(2));
  CHECK(Duty.getRole(Start + fromSeconds(2)) == WatchRole::Lead);
}

TEST_CASE("of a hall that starts at once two ask the store") {
  std::vector<std::string> Names = makeNames(88);
  std::vector<WatchElection> Duties;
  for (const std::string &Name : Names) {
    Duties.emplace_back(Name, fromSeconds(2));
    Duties.back().setHallDaemons(Names, Start);
  }
  const auto CountFollowers = [&](Duration After) {
    return std::count_if(Duties.begin(), Duties.end(), [&](const auto &Each) {
      return Each.getRole(Start + After) == WatchRole::Follow;
    });
  };
  CHECK(CountFollowers(Duration::zero()) == 86);
  CHECK(CountFollowers(fromMillis(1000)) == 86);
  // The two do not come: all others step in, as after any silence.
  CHECK(CountFollowers(fromMillis(1500)) == 0);
}

/// Lets every daemon hear that the store last answered all at HeardAt.
static void tellAll(std::vector<WatchElection> &Duties, TimePoint HeardAt) {
  for (WatchElection &Each : Duties)
    for (size_t I = 0; I < Duties.size(); ++I)
      Each.recordWatcher(fmt::format("d{}", I), HeardAt);
}

static long countRole(const std::vector<WatchElection> &Duties, WatchRole Role,
                      TimePoint Now) {
  return std::count_if(Duties.begin(), Duties.end(),
                       [Role, Now](const WatchElection &Each) {
                         return Each.getRole(Now) == Role;
                       });
}

TEST_CASE(
    "all of a hall ask 1.5 s after the store last answered its watchers") {
  std::vector<WatchElection> Duties = makeHall(makeNames(36));
  // They say on and on that they watch; the store has left them waiting.
  for (int I = 0; I < 15; ++I)
    tellAll(Duties, Start);
  const TimePoint Early = Start + fromMillis(1050);
  CHECK(countRole(Duties, WatchRole::Lead, Early) == 1);
  CHECK(countRole(Duties, WatchRole::StandBy, Early) == 1);
  CHECK(countRole(Duties, WatchRole::Lead, Start + fromMillis(1500)) == 36);
}

TEST_CASE("the last answer of a watcher counts, whichever word comes last") {
  std::vector<WatchElection> Duties = makeHall(makeNames(3));
  tellAll(Duties, Start + fromMillis(600));
  tellAll(Duties, Start);
  const TimePoint Now = Start + fromMillis(1500);
  CHECK(countRole(Duties, WatchRole::Lead, Now) == 1);
  CHECK(countRole(Duties, WatchRole::StandBy, Now) == 1);
  CHECK(countRole(Duties, WatchRole::Follow, Now) == 1);
}
