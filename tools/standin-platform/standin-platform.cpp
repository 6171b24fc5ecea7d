//===- standin-platform.cpp - Test double of the platform -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs a PlatformStandIn until a stop signal arrives.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/StandIn/PlatformStandIn.h"
#include "canvaswick/Support/Log.h"
#include "canvaswick/Tool/Program.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1:7000", "IP number:port to serve");

using namespace canvaswick;

int main(int Count, char **Values) {
  blockStopSignals();
  parseCommandLine(&Count, &Values,
                   "Stands in for the platform's key-value service.");
  PlatformStandIn Platform;
  Result<Endpoint> Address = parseEndpoint(FLAGS_address);
  if (!Address) {
    printError("standin-platform", Address.error());
    return toInt(ExitCode::BadUsage);
  }
  Result<void> Started = Platform.start(Address.value());
  if (!Started) {
    printError("standin-platform", Started.error());
    return toInt(ExitCode::Failure);
  }
  logInfo("platform-started", "port={}", Platform.getPort());
  waitForStopSignal();
  Platform.stop();
  return toInt(ExitCode::Success);
}
