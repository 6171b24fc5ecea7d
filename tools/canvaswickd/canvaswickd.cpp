//===- canvaswickd.cpp - The daemon's main program ------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Loads the settings, runs the daemon until a signal arrives, and stops it in
/// order.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/Daemon.h"
#include "canvaswick/Settings/DaemonConfigFile.h"
#include "canvaswick/Settings/SettingsTree.h"
#include "canvaswick/Support/Log.h"
#include "canvaswick/Tool/Program.h"
#include "platform/PlatformDaemon.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>

DEFINE_string(settings, "",
              "The daemon's INI file. Default: the path in the environment "
              "variable CANVASWICK_NODE_FILE");
DEFINE_bool(check_settings, false, "Check the settings and exit");
DEFINE_int64(grace_ms, 3000,
             "Milliseconds between failing readiness checks and closing idle "
             "connections");

using namespace canvaswick;

static constexpr const char *ProgramName = "canvaswickd";

static Result<void> checkSettings(const DaemonConfig &Config) {
  if (Config.SettingsFile.empty())
    return outcome::success();
  BOOST_OUTCOME_TRY(std::string Text, readFile(Config.SettingsFile));
  Result<SettingsTree> Tree = SettingsTree::parse(Text, Config.SettingsFile);
  if (!Tree)
    return outcome::failure(Tree.error());
  return outcome::success();
}

/// Runs a daemon that serves its own control interface. Returns only if the
/// daemon cannot start.
static int runDaemon(const DaemonConfig &Config) {
  Daemon Server(Config);
  Result<void> Started = Server.start();
  if (!Started) {
    printError(ProgramName, Started.error());
    return toInt(ExitCode::Failure);
  }
  waitForStopSignal();
  Server.beginStop();
  // The load balancer's readiness checks fail during this time, so it sends no
  // new requests.
  const bool IsHurried = waitForSecondStopSignal(FLAGS_grace_ms);
  const double Seconds =
      IsHurried ? 0 : static_cast<double>(Config.StopSeconds);
  const bool AllEnded =
      Server.finishStop(readSteadyClock() + fromSeconds(Seconds));
  stopLogWriter();
  // Threads that still process a request end with the process.
  std::_Exit(toInt(AllEnded ? ExitCode::Success : ExitCode::DrainIncomplete));
}

/// Returns the path of the settings file, or an empty string if none is set.
static std::string findSettingsPath() {
  if (!FLAGS_settings.empty())
    return FLAGS_settings;
  const char *Path = std::getenv("CANVASWICK_NODE_FILE");
  return Path ? Path : "";
}

/// The platform kills the process when its grace period is over. During the
/// first part of it the daemon accepts new connections, until the load balancer
/// has noticed that readiness checks fail, which takes it two checks a second
/// apart.
static constexpr double AcceptingFraction = 0.5;
static constexpr Duration MaxAcceptingTime = fromSeconds(3);

/// The time reserved for the process to exit. In a short grace time it is less,
/// so that the last requests are answered before.
static constexpr Duration MaxExitMargin = fromMillis(400);
static constexpr int ExitMarginDivisor = 12;

/// The interval at which the settings file is read again: it may change without
/// a signal.
static constexpr int64_t FileCheckMillis = 1000;

/// Serves until a stop signal arrives. The settings then in force are those of
/// the file at that time.
static void serveUntilStopped(platform::PlatformDaemon &Server,
                              DaemonConfigFile &File) {
  while (true) {
    const ProcessSignal Signal = waitForSignal(FileCheckMillis);
    if (File.refresh(Signal == ProcessSignal::Reload))
      Server.reload(File.getConfig());
    if (Signal == ProcessSignal::Stop)
      return;
  }
}

/// Runs a daemon on the users' platform. Returns only if the daemon cannot
/// start.
static int runPlatformDaemon(DaemonConfigFile &File) {
  platform::PlatformDaemon Server(File.getConfig());
  Result<void> Started = Server.start();
  if (!Started) {
    printError(ProgramName, Started.error());
    return toInt(ExitCode::Failure);
  }
  serveUntilStopped(Server, File);
  const Duration Grace = File.getConfig().Grace;
  const TimePoint Now = readSteadyClock();
  const TimePoint KilledAt = Now + Grace;
  const Duration ExitMargin =
      std::min(MaxExitMargin, Grace / ExitMarginDivisor);
  Server.beginStop(KilledAt, Now);
  const Duration Accepting = std::min(
      MaxAcceptingTime, fromSeconds(toSeconds(Grace) * AcceptingFraction));
  waitForSecondStopSignal(toMillis(Accepting));
  const bool AllEnded = Server.finishStop(KilledAt - ExitMargin);
  stopLogWriter();
  // Threads that still wait for the store or a request end with the process.
  std::_Exit(toInt(AllEnded ? ExitCode::Success : ExitCode::DrainIncomplete));
}

int main(int Count, char **Values) {
  blockStopSignals();
  parseCommandLine(&Count, &Values,
                   "Serves callers in front of backend servers.\n"
                   "canvaswickd --settings daemon.ini");
  Result<DaemonConfigFile> File = DaemonConfigFile::load(findSettingsPath());
  if (!File) {
    printError(ProgramName, File.error());
    return toInt(ExitCode::BadSettings);
  }
  const DaemonConfig &Config = File.value().getConfig();
  Result<void> Checked = checkSettings(Config);
  if (!Checked) {
    printError(ProgramName, Checked.error());
    return toInt(ExitCode::BadSettings);
  }
  if (FLAGS_check_settings) {
    fmt::print("{}: settings are good\n", ProgramName);
    return toInt(ExitCode::Success);
  }
  startLogWriter({});
  if (Config.Source == SettingsSource::Platform)
    return runPlatformDaemon(File.value());
  return runDaemon(Config);
}
