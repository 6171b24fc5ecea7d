//===- ConnectionProbeTest.cpp - Tests of probes by connections -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What probes tell of servers that accept, refuse or are silent.
///
//===----------------------------------------------------------------------===//

#include "PartitionFixture.h"

using namespace canvaswick;

TEST_CASE("a silent server does not hide others that accept or refuse") {
  RunLedger Ledger;
  CountingServer Server(Ledger);
  RelayStandIn Silent({"127.0.0.1", Server.getPort()});
  REQUIRE(Silent.start({"127.0.0.1", 0}));
  Silent.setNewConnections(NewConnections::Hang);
  const Endpoint Hanging{"127.0.0.1", Silent.getPort()};
  const Endpoint Listening{"127.0.0.1", Server.getPort()};
  const Endpoint Closed{"127.0.0.1", findFreePort()};
  const std::vector<ConnectionProbe> Results = probeConnections(
      {Hanging, Listening, Closed}, readSteadyClock() + fromMillis(200));
  REQUIRE(Results.size() == 3);
  CHECK(Results[0] == ConnectionProbe::TimedOut);
  CHECK(Results[1] == ConnectionProbe::Connected);
  CHECK(Results[2] == ConnectionProbe::Refused);
}
