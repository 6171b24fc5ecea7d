//===- GoneServersTest.cpp - Tests of servers that are gone ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/GoneServers.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <set>

using namespace canvaswick;

static constexpr TimePoint Begin{fromSeconds(1000)};
static constexpr ServerId Server = 7;

TEST_CASE("a server that proved to be gone is asked again after a while") {
  GoneServers Gone;
  CHECK(Gone.recordAnswer(Server, "s/b0", Begin, Begin));
  CHECK(Gone.isGone(Server, Begin + fromSeconds(4)));
  CHECK_FALSE(Gone.isGone(Server, Begin + fromSeconds(8)));
  CHECK_FALSE(Gone.isGone(Server + 1, Begin));
  CHECK(Gone.forgetOld(Begin + fromSeconds(4)).empty());
  CHECK(Gone.forgetOld(Begin + fromSeconds(8)).size() == 1);
  CHECK(Gone.isEmpty());
}

TEST_CASE("daemons ask a server again at different times") {
  std::set<Duration> Waits;
  for (int I = 0; I < 36; ++I) {
    GoneServers Gone;
    Gone.setSelf(fmt::format("d{}", I));
    Gone.recordAnswer(Server, "s/b0", Begin, Begin);
    Waits.insert(Gone.getTimeLeft(Server, Begin));
  }
  CHECK(Waits.size() > 20);
  CHECK(*Waits.rbegin() - *Waits.begin() > fromSeconds(1));
}

TEST_CASE("only a new answer is reported, and reports make no further ones") {
  GoneServers First;
  First.recordAnswer(Server, "s/b0", Begin, Begin);
  const TimePoint Later = Begin + fromMillis(20);
  CHECK_FALSE(First.recordAnswer(Server, "s/b0", Later, Later));
  const std::vector<GoneReport> Reports = First.drainReports(10, Later);
  REQUIRE(Reports.size() == 1);
  CHECK(First.drainReports(10, Later).empty());
  GoneServers Second;
  CHECK(Second.applyReport(Reports[0], "s/b0", Later));
  CHECK(Second.isGone(Server, Later));
  CHECK(Second.drainReports(10, Later).empty());
  CHECK_FALSE(Second.applyReport(Reports[0], "s/b0", Later));
}

TEST_CASE("reports that are repeated do not keep a server out of use") {
  GoneServers First;
  GoneServers Second;
  First.recordAnswer(Server, "s/b0", Begin, Begin);
  for (int Tenths = 0; Tenths < 200; ++Tenths) {
    const TimePoint Now = Begin + fromMillis(Tenths * 100);
    for (const GoneReport &Each : First.listReports(10, Now))
      Second.applyReport(Each, "s/b0", Now);
    for (const GoneReport &Each : Second.listReports(10, Now))
      First.applyReport(Each, "s/b0", Now);
  }
  CHECK_FALSE(First.isGone(Server, Begin + fromSeconds(8)));
  CHECK_FALSE(Second.isGone(Server, Begin + fromSeconds(8)));
}

TEST_CASE("an old report changes nothing") {
  GoneServers Gone;
  CHECK_FALSE(Gone.applyReport({Server, fromSeconds(60)}, "s/b0", Begin));
  CHECK_FALSE(Gone.isGone(Server, Begin));
}
