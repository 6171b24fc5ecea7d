//===- canvaswick-load.cpp - Open-loop load generator program -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Parses the command line, runs the load and prints the results. Exits with 0
/// only if all requests were served.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Load/LoadRun.h"
#include "canvaswick/Tool/Program.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <fstream>
#include <sstream>

DEFINE_string(proxy, "", "IP number:port of a daemon's caller address");
DEFINE_string(direct, "", "IP number:port to send every second request to");
DEFINE_string(host, "localhost", "Host header");
DEFINE_string(targets, "GET /", "Mix, separated by ';': METHOD TARGET [keyed]");
DEFINE_double(rate, 100, "Requests a second, both sides together");
DEFINE_double(seconds, 10, "Length of the run");
DEFINE_int32(threads, 32, "Requests under way at most");
DEFINE_uint64(seed, 1, "Seed of the arrival times");
DEFINE_int64(daemon_pid, 0,
             "Process id of the daemon, to print its processor time");
DEFINE_string(caller_key_file, "", "File with the key that callers show");
DEFINE_int32(body_bytes, 64, "Length of the body of POST and PUT requests");

using namespace canvaswick;

static std::vector<LoadTarget> parseTargets(const std::string &Text) {
  std::vector<LoadTarget> Targets;
  std::istringstream Parts(Text);
  std::string Part;
  while (std::getline(Parts, Part, ';')) {
    std::istringstream Words(Part);
    LoadTarget Target;
    std::string Option;
    Words >> Target.Method >> Target.Target >> Option;
    Target.IsKeyed = Option == "keyed";
    if (Target.Method == "POST" || Target.Method == "PUT")
      Target.Body = std::string(static_cast<size_t>(FLAGS_body_bytes), 'x');
    Targets.push_back(std::move(Target));
  }
  return Targets;
}

int main(int Count, char **Values) {
  parseCommandLine(&Count, &Values,
                   "Sends open-loop load and prints latencies.\n"
                   "canvaswick-load --proxy 127.0.0.1:8080 --rate 1000");
  LoadPlan Plan;
  Result<Endpoint> Proxy = parseEndpoint(FLAGS_proxy);
  if (!Proxy) {
    printError("canvaswick-load", {ErrorKind::InvalidArgument,
                                   "--proxy: " + Proxy.error().Message});
    return toInt(ExitCode::BadUsage);
  }
  Plan.Proxy = Proxy.value();
  if (!FLAGS_direct.empty()) {
    Result<Endpoint> Direct = parseEndpoint(FLAGS_direct);
    if (!Direct) {
      printError("canvaswick-load", {ErrorKind::InvalidArgument,
                                     "--direct: " + Direct.error().Message});
      return toInt(ExitCode::BadUsage);
    }
    Plan.Direct = Direct.value();
  }
  if (!FLAGS_caller_key_file.empty()) {
    std::ifstream File(FLAGS_caller_key_file);
    if (!(File >> Plan.CallerKey)) {
      printError("canvaswick-load", {ErrorKind::InvalidArgument,
                                     "--caller_key_file: holds no key"});
      return toInt(ExitCode::BadUsage);
    }
  }
  Plan.Host = FLAGS_host;
  Plan.Targets = parseTargets(FLAGS_targets);
  Plan.RequestsPerSecond = FLAGS_rate;
  Plan.Seconds = FLAGS_seconds;
  Plan.Threads = static_cast<size_t>(FLAGS_threads);
  Plan.Seed = FLAGS_seed;
  Plan.DaemonPid = FLAGS_daemon_pid;
  LoadResult Result;
  runLoad(Plan, Result);
  fmt::print("{}", formatLoadResult(Plan, Result));
  const bool IsAllServed = Result.Proxy.Served == Result.Proxy.Sent &&
                           Result.Direct.Served == Result.Direct.Sent;
  return toInt(IsAllServed ? ExitCode::Success : ExitCode::Failure);
}
