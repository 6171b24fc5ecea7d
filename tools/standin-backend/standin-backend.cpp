//===- standin-backend.cpp - Test double of a backend server --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs a BackendStandIn until a stop signal arrives.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/StandIn/BackendStandIn.h"
#include "canvaswick/Support/Log.h"
#include "canvaswick/Tool/Program.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1:9000", "IP number:port to serve");
DEFINE_string(name, "backend", "Name the answers carry");
DEFINE_int32(slots, 3, "Requests worked on at once");
DEFINE_int32(queue, 8, "Requests that wait for a slot");
DEFINE_int64(service_ms, 5, "Time of one request");
DEFINE_int32(cold_factor, 1, "How much slower a cold start is");
DEFINE_int64(cold_ms, 0, "How long a cold start lasts");

DEFINE_string(ends_under, "",
              "End when a request is run whose target begins with this");

using namespace canvaswick;

int main(int Count, char **Values) {
  blockStopSignals();
  parseCommandLine(&Count, &Values, "Stands in for a backend server.");
  BackendSetup Setup;
  Setup.Name = FLAGS_name;
  Setup.Slots = FLAGS_slots;
  Setup.QueueLimit = FLAGS_queue;
  Setup.ServiceMs = FLAGS_service_ms;
  Setup.ColdFactor = FLAGS_cold_factor;
  Setup.ColdMs = FLAGS_cold_ms;
  Setup.ExitTargetPrefix = FLAGS_ends_under;
  BackendStandIn Backend(Setup);
  Result<Endpoint> Address = parseEndpoint(FLAGS_address);
  if (!Address) {
    printError("standin-backend", Address.error());
    return toInt(ExitCode::BadUsage);
  }
  Result<void> Started = Backend.start(Address.value());
  if (!Started) {
    printError("standin-backend", Started.error());
    return toInt(ExitCode::Failure);
  }
  logInfo("backend-started", "name={} port={}", FLAGS_name, Backend.getPort());
  waitForStopSignal();
  Backend.stop();
  return toInt(ExitCode::Success);
}
