//===- WatchDutyTest.cpp - Tests of who watches the store -----------------===//
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

#include "canvaswick/Directory/WatchDuty.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

using namespace canvaswick;

static constexpr TimePoint Start{fromSeconds(100)};

/// Lets a hall run for a second, all hearing each other but for Silent.
static std::vector<std::string> runHall(std::vector<WatchDuty> &Duties,
                                        const std::vector<std::string> &Names,
                                        const std::vector<std::string> &Silent,
                                        TimePoint &Now) {
  std::vector<std::string> Watching;
  for (int Round = 0; Round < 20; ++Round, Now += fromMillis(150)) {
    Watching.clear();
    for (size_t I = 0; I < Names.size(); ++I) {
      const bool IsSilent =
          std::find(Silent.begin(), Silent.end(), Names[I]) != Silent.end();
      if (IsSilent || !Duties[I].shouldWatch(Now))
        continue;
      Watching.push_back(Names[I]);
      for (WatchDuty &Other : Duties)
        Other.noteWatcher(Names[I], Now);
    }
  }
  return Watching;
}

TEST_CASE("two daemons of a hall watch, and two others if they fall silent") {
  std::vector<std::string> Names;
  Names.reserve(12);
  for (int I = 0; I < 12; ++I)
    Names.push_back(fmt::format("d{}", I));
  std::vector<WatchDuty> Duties;
  for (const std::string &Name : Names) {
    Duties.emplace_back(Name);
    Duties.back().setNear(Names);
  }
  TimePoint Now = Start;
  const std::vector<std::string> First = runHall(Duties, Names, {}, Now);
  CHECK(First.size() == 2);
  const std::vector<std::string> Second = runHall(Duties, Names, First, Now);
  CHECK(Second.size() == 2);
  CHECK(Second != First);
  CHECK(runHall(Duties, Names, {}, Now) == First);
}

TEST_CASE("a daemon alone watches") {
  WatchDuty Duty("d1");
  CHECK(Duty.shouldWatch(Start));
  Duty.setNear({});
  CHECK(Duty.shouldWatch(Start));
}

/// Returns the duty of each daemon of a hall of Count.
static std::vector<WatchDuty> makeHall(int Count) {
  std::vector<std::string> Names;
  for (int I = 0; I < Count; ++I)
    Names.push_back(fmt::format("d{}", I));
  std::vector<WatchDuty> Duties;
  for (const std::string &Name : Names) {
    Duties.emplace_back(Name);
    Duties.back().setNear(Names);
  }
  return Duties;
}

TEST_CASE(
    "all of a hall ask 1.5 s after the store last answered its watchers") {
  // They say on and on that they watch; the store has left them waiting.
  std::vector<WatchDuty> Duties = makeHall(36);
  const TimePoint LastAnswer = Start;
  for (TimePoint Now = Start; Now < Start + fromMillis(1500);
       Now += fromMillis(100))
    for (WatchDuty &Each : Duties)
      for (int I = 0; I < 36; ++I)
        Each.noteWatcher(fmt::format("d{}", I), LastAnswer);
  const auto CountAsking = [&](TimePoint Now) {
    return std::count_if(
        Duties.begin(), Duties.end(),
        [Now](const WatchDuty &Each) { return Each.shouldWatch(Now); });
  };
  CHECK(CountAsking(LastAnswer + fromMillis(900)) == 2);
  CHECK(CountAsking(LastAnswer + fromMillis(1500)) == 36);
}

TEST_CASE("what a watcher said last counts, in whichever order it comes") {
  std::vector<WatchDuty> Duties = makeHall(3);
  // Two watch; the third follows.
  for (WatchDuty &Each : Duties)
    for (int I = 0; I < 3; ++I) {
      Each.noteWatcher(fmt::format("d{}", I), Start + fromMillis(600));
      Each.noteWatcher(fmt::format("d{}", I), Start);
    }
  const TimePoint Now = Start + fromMillis(1500);
  CHECK(
      std::count_if(Duties.begin(), Duties.end(), [Now](const WatchDuty &Each) {
        return Each.shouldWatch(Now);
      }) == 2);
}
