//===- DaemonConfig.h - The daemon's own settings ---------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What one process must know before it can reach anything: its name, region,
/// hall and addresses, where the platform is, and its bounds.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SETTINGS_DAEMONCONFIG_H
#define CANVASWICK_SETTINGS_DAEMONCONFIG_H

#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Settings/PolicySwitches.h"
#include "canvaswick/Support/Time.h"

#include <string>
#include <vector>

namespace canvaswick {

/// Where a daemon's settings and list of servers come from.
enum class SettingsSource : uint8_t { Own, Platform };

/// How many repeats the whole fleet may send to one service within any span of
/// Window: Share of the service's requests, and Reserve besides.
struct FleetRetryLimit {
  double Share = 0;
  Duration Window{};
  int64_t Reserve = 0;
};

/// What the operators bear above organisations' allowances, over the whole
/// fleet: within any span of Window no more than the rate's and the burst's
/// requests, Excess of them besides, and Slack.
struct QuotaBounds {
  Duration Window = fromSeconds(5);
  double Excess = 0;
  double Slack = 0;
};

/// The checked content of a daemon's INI file: section [daemon], and [policy]
/// if there is one.
struct DaemonConfig {
  std::string Name;
  std::string Region;
  std::string Hall;
  Endpoint Callers;
  Endpoint Control;
  Endpoint Platform;
  std::string KeyFile;
  int Workers = 0;
  /// At most Workers.
  int KeptWorkers = 0;
  Duration WorkerIdle{};
  int MaxConnections = 0;
  int64_t IdleSeconds = 0;
  int64_t StopSeconds = 0;
  /// A settings tree to start from while the platform has none. May be empty.
  std::string SettingsFile;
  int ExpectedDaemons = 0;
  std::vector<Endpoint> Seeds;
  int64_t ClaimMemorySeconds = 0;
  SettingsSource Source = SettingsSource::Own;
  /// The rest is used with SettingsSource::Platform only.
  Endpoint Ready;
  /// For those who read metrics. Port 0: they read them at Ready.
  Endpoint Metrics;
  uint16_t PeerPort = 0;
  Duration Grace{};
  int FloorPercent = 0;
  FleetRetryLimit RetryLimit;
  QuotaBounds QuotaLimits;
  Duration Lease{};
  Duration AloneWait{};
  Duration Drain{};
  /// Section [policy].
  PolicySwitches Policy;
};

/// Loads and checks a daemon's INI file.
Result<DaemonConfig> loadDaemonConfig(const std::string &Path);

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_DAEMONCONFIG_H
