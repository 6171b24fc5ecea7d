//===- standin-relay.cpp - TCP relay with faults per direction ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs a RelayStandIn until a stop signal arrives. HTTP requests to the
/// control address set its faults.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/StandIn/RelayStandIn.h"
#include "canvaswick/Support/Log.h"
#include "canvaswick/Tool/Program.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1:0", "IP number:port to relay from");
DEFINE_string(target, "", "IP number:port to relay to");
DEFINE_string(control, "127.0.0.1:0", "IP number:port to set faults at");

using namespace canvaswick;

/// Sets the faults that the path of the request names: /cut-forward,
/// /cut-backward, /cut (both directions) or /heal (no fault).
static void handleControl(RelayFaults &Faults, HttpExchange &Exchange) {
  const std::string &Target = Exchange.Request.target;
  const bool IsHeal = Target == "/heal";
  if (IsHeal || Target == "/cut-forward" || Target == "/cut")
    Faults.CutForward = !IsHeal;
  if (IsHeal || Target == "/cut-backward" || Target == "/cut")
    Faults.CutBackward = !IsHeal;
  Exchange.Response.status = 200;
}

int main(int Count, char **Values) {
  blockStopSignals();
  parseCommandLine(&Count, &Values, "Relays TCP, cut or slowed each way.");
  Result<Endpoint> Target = parseEndpoint(FLAGS_target);
  Result<Endpoint> Address = parseEndpoint(FLAGS_address);
  Result<Endpoint> Control = parseEndpoint(FLAGS_control);
  if (!Target || !Address || !Control) {
    printError("standin-relay", {ErrorKind::InvalidArgument,
                                 "expected IP number:port addresses"});
    return toInt(ExitCode::BadUsage);
  }
  RelayStandIn Relay(Target.value());
  Result<void> Started = Relay.start(Address.value());
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = 2;
  HttpServer Server(Limits, [&Relay](HttpExchange &Exchange) {
    handleControl(Relay.getFaults(), Exchange);
  });
  if (Started)
    Started = Server.start(Control.value());
  if (!Started) {
    printError("standin-relay", Started.error());
    return toInt(ExitCode::Failure);
  }
  logInfo("relay-started", "port={} control={}", Relay.getPort(),
          Server.getPort());
  waitForStopSignal();
  Relay.stop();
  return toInt(ExitCode::Success);
}
