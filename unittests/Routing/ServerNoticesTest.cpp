//===- ServerNoticesTest.cpp - Server notice state tests ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests when a notice begins, changes and ends.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/ServerNotices.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static constexpr TimePoint Begin{fromSeconds(1000)};

static const NoticeSource Server{7, "s/b0", "a"};

static ServerNotice makeLimit(double PerSecond) {
  ServerNotice Notice;
  Notice.RequestsPerSecond = PerSecond;
  return Notice;
}

static ServerNotice makeBackoff(double Seconds) {
  ServerNotice Notice;
  Notice.Backoff = fromSeconds(Seconds);
  return Notice;
}

static ServerNotice makeEmptyNotice() {
  ServerNotice Notice;
  Notice.MayEndLimit = true;
  return Notice;
}

TEST_CASE("each transition of a limit is reported once") {
  ServerNotices Notices;
  CHECK(Notices.recordNotice(Server, makeEmptyNotice(), Begin, Begin).empty());
  CHECK(Notices.isEmpty());
  const auto Begun = Notices.recordNotice(Server, makeLimit(2), Begin, Begin);
  REQUIRE(Begun.size() == 1);
  CHECK(Begun[0].Step == NoticeStep::Begun);
  CHECK(Begun[0].Value == 2);
  CHECK(Notices.recordNotice(Server, makeLimit(2), Begin, Begin).empty());
  const auto Changed = Notices.recordNotice(Server, makeLimit(1), Begin, Begin);
  REQUIRE(Changed.size() == 1);
  CHECK(Changed[0].Step == NoticeStep::Changed);
  CHECK(Notices.getActiveKind(7, Begin) == NoticeKind::Limit);
  const TimePoint Later = Begin + fromSeconds(1);
  const auto Ended =
      Notices.recordNotice(Server, makeEmptyNotice(), Later, Later);
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Step == NoticeStep::Ended);
  CHECK(!Notices.getActiveKind(7, Later));
}

TEST_CASE("a response to an earlier request does not withdraw a limit") {
  ServerNotices Notices;
  Notices.recordNotice(Server, makeLimit(2), Begin, Begin);
  const TimePoint Later = Begin + fromSeconds(1);
  Notices.recordNotice(Server, makeEmptyNotice(), Begin - fromMillis(1), Later);
  CHECK(Notices.getActiveKind(7, Later) == NoticeKind::Limit);
}

TEST_CASE("a failure response without a limit does not withdraw it") {
  ServerNotices Notices;
  Notices.recordNotice(Server, makeLimit(2), Begin, Begin);
  const TimePoint Later = Begin + fromSeconds(1);
  Notices.recordNotice(Server, ServerNotice(), Later, Later);
  CHECK(Notices.getActiveKind(7, Later) == NoticeKind::Limit);
}

TEST_CASE("the longest of several backoffs lasts to its end") {
  ServerNotices Notices;
  CHECK(Notices.recordNotice(Server, makeBackoff(3), Begin, Begin).size() == 1);
  const TimePoint Later = Begin + fromSeconds(1);
  CHECK(Notices.recordNotice(Server, makeBackoff(0.5), Later, Later).empty());
  CHECK(Notices.getActiveKind(7, Begin + fromSeconds(2.99)) ==
        NoticeKind::Backoff);
  CHECK(!Notices.getActiveKind(7, Begin + fromSeconds(3)));
  const auto Ended = Notices.forgetOld(Begin + fromSeconds(3));
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Kind == NoticeKind::Backoff);
  CHECK(Notices.isEmpty());
}

TEST_CASE("every notice expires, whatever a server sends") {
  ServerNotices Notices;
  ServerNotice All = makeBackoff(1e9);
  All.RequestsPerSecond = 0;
  All.IsLeaving = true;
  Notices.recordNotice(Server, All, Begin, Begin);
  CHECK(Notices.getActiveKind(7, Begin + fromSeconds(299)) ==
        NoticeKind::Leaving);
  const TimePoint After = Begin + fromSeconds(301);
  CHECK(Notices.forgetOld(After).size() == 3);
  CHECK(!Notices.getActiveKind(7, After));
  CHECK(Notices.getShareFactor(7, After) == 1);
  // The end of the limit is remembered a little longer, for late reports of
  // peers.
  CHECK(Notices.forgetOld(After + fromSeconds(6)).empty());
  CHECK(Notices.isEmpty());
}

TEST_CASE("a server's next instance has no notices") {
  ServerNotices Notices;
  ServerNotice Leaving;
  Leaving.IsLeaving = true;
  Notices.recordNotice(Server, Leaving, Begin, Begin);
  CHECK(Notices.getActiveKind(7, Begin) == NoticeKind::Leaving);
  CHECK(!Notices.getActiveKind(8, Begin));
}
