//===- PathMonitorTest.cpp - Tests of PathMonitor -------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// When a daemon takes itself to be cut off from servers, and when no longer.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Routing/PathMonitor.h"

#include <doctest/doctest.h>

using namespace canvaswick;

namespace {

constexpr ServerId First = 1;
constexpr ServerId Second = 2;

TimePoint at(int64_t Millis) { return TimePoint(fromMillis(Millis)); }

constexpr PathProbe NoneReached{2, 0, true};
constexpr PathProbe NoneAccepted{2, 0, false};
constexpr PathProbe OneReached{2, 1, true};

/// A monitor of two services whose servers accepted connections at 1 s.
struct MonitorFixture {
  MonitorFixture() {
    this->Monitor.setServices({First, Second});
    this->Monitor.recordConnected(First, at(1000));
    this->Monitor.recordConnected(Second, at(1000));
  }

  PathMonitor Monitor;
};

} // namespace

TEST_CASE_FIXTURE(MonitorFixture,
                  "a failed connection alone cuts nothing off") {
  this->Monitor.recordFailure(First, at(2000));
  CHECK(this->Monitor.isProbeDue(First, at(2001)));
  CHECK(!this->Monitor.isProbeDue(Second, at(2001)));
  CHECK(!this->Monitor.getState(First).IsCutOff);
  CHECK(!this->Monitor.applyProbe(First, OneReached, at(2010)));
  CHECK(!this->Monitor.getState(First).IsCutOff);
  CHECK(!this->Monitor.isProbeDue(First, at(2020)));
}

TEST_CASE_FIXTURE(MonitorFixture,
                  "a failure before the last connection gives no reason to "
                  "probe") {
  this->Monitor.recordFailure(First, at(900));
  this->Monitor.recordSilence(First, at(900));
  CHECK(!this->Monitor.isProbeDue(First, at(2000)));
}

TEST_CASE_FIXTURE(MonitorFixture,
                  "a request is silent even if its own connection was the last "
                  "one") {
  this->Monitor.recordConnected(First, at(2001));
  this->Monitor.recordSilence(First, at(2000));
  CHECK(this->Monitor.isProbeDue(First, at(2300)));
}

TEST_CASE_FIXTURE(MonitorFixture, "an answer since ends the doubt of silence") {
  this->Monitor.recordAnswer(First, at(2100));
  this->Monitor.recordSilence(First, at(2000));
  CHECK(!this->Monitor.isProbeDue(First, at(2300)));
}

TEST_CASE_FIXTURE(MonitorFixture,
                  "a service that no probe reaches is cut off, and the others "
                  "are probed") {
  this->Monitor.recordFailure(First, at(2000));
  CHECK(this->Monitor.applyProbe(First, NoneReached, at(2250)));
  CHECK(this->Monitor.getState(First).IsCutOff);
  CHECK(this->Monitor.getState(First).IsSilent);
  CHECK(this->Monitor.isProbeDue(Second, at(2251)));
  CHECK(!this->Monitor.isIsolated());
  CHECK(this->Monitor.applyProbe(Second, NoneAccepted, at(2260)));
  CHECK(!this->Monitor.getState(Second).IsSilent);
  CHECK(this->Monitor.isIsolated());
  CHECK(this->Monitor.countCutOff() == 2);
}

TEST_CASE_FIXTURE(MonitorFixture,
                  "a service that is cut off is probed until it is reached") {
  this->Monitor.applyProbe(First, NoneReached, at(2000));
  CHECK(!this->Monitor.isProbeDue(First, at(2400)));
  CHECK(this->Monitor.isProbeDue(First, at(2500)));
  CHECK(!this->Monitor.applyProbe(First, NoneReached, at(2750)));
  CHECK(this->Monitor.applyProbe(First, OneReached, at(3300)));
  CHECK(!this->Monitor.getState(First).IsCutOff);
}

TEST_CASE_FIXTURE(MonitorFixture,
                  "a path that fails again soon must be good for longer") {
  int64_t Millis = 2000;
  for (const int Needed : {1, 2, 4, 8, 8}) {
    this->Monitor.applyProbe(First, NoneReached, at(Millis += 500));
    for (int I = 1; I < Needed; ++I)
      CHECK(!this->Monitor.applyProbe(First, OneReached, at(Millis += 500)));
    CHECK(this->Monitor.applyProbe(First, OneReached, at(Millis += 500)));
  }
  this->Monitor.applyProbe(First, NoneReached, at(Millis += 20000));
  CHECK(this->Monitor.applyProbe(First, OneReached, at(Millis += 500)));
}

TEST_CASE_FIXTURE(MonitorFixture,
                  "a service without servers to probe keeps its state") {
  CHECK(!this->Monitor.applyProbe(First, {}, at(2000)));
  CHECK(!this->Monitor.getState(First).IsCutOff);
}

TEST_CASE_FIXTURE(MonitorFixture, "a service that is removed is forgotten") {
  this->Monitor.applyProbe(First, NoneReached, at(2000));
  this->Monitor.setServices({Second});
  CHECK(this->Monitor.countCutOff() == 0);
  this->Monitor.setServices({First, Second});
  CHECK(!this->Monitor.getState(First).IsCutOff);
}
