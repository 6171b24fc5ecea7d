//===- DaemonConfig.h - Settings of one daemon ------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The settings that a daemon process needs before it can reach the platform:
/// its name, region, hall and addresses, the address of the platform, and its
/// limits.
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

/// The source of a daemon's fleet settings and list of backend servers: the
/// settings tree of the fleet's operators, or the users' platform.
enum class SettingsSource : uint8_t { OperatorTree, Platform };

/// The limit on the retries that the whole fleet may send to one service:
/// within any period of length Window, the fraction Share of the service's
/// requests plus Reserve retries.
struct FleetRetryLimit {
  double Share = 0;
  Duration Window{};
  int64_t Reserve = 0;
};

/// The amount by which the whole fleet may exceed the quota of an organisation.
/// Within any period of length Window, the fleet admits at most the requests
/// that rate and burst allow, plus the fraction Excess of them, plus Slack
/// requests.
struct QuotaBounds {
  Duration Window = fromSeconds(5);
  double Excess = 0;
  double Slack = 0;
};

/// The validated content of a daemon's INI file: section [daemon] and the
/// optional section [policy].
struct DaemonConfig {
  std::string Name;
  std::string Region;
  std::string Hall;
  Endpoint Callers;
  Endpoint Control;
  Endpoint Platform;
  /// File with the keys that sign calls between daemons.
  std::string KeyFile;
  /// Maximum number of threads that serve callers.
  int Workers = 0;
  /// Number of these threads that are kept when idle. At most Workers.
  int KeptWorkers = 0;
  /// Time after which an idle thread beyond KeptWorkers ends.
  Duration WorkerIdle{};
  int MaxConnections = 0;
  /// Time after which an idle connection of a caller is closed.
  int64_t IdleSeconds = 0;
  /// Maximum time that a planned stop waits for requests in flight.
  int64_t StopSeconds = 0;
  /// File with the settings tree to use until the platform holds one. May be
  /// empty.
  std::string SettingsFile;
  /// Minimum number of daemons among which the connections to a backend server
  /// are divided.
  int ExpectedDaemons = 0;
  /// Control addresses of other daemons, from which this one learns the
  /// members.
  std::vector<Endpoint> Seeds;
  /// Time for which an idempotency key is remembered.
  int64_t ClaimMemorySeconds = 0;
  SettingsSource Source = SettingsSource::OperatorTree;
  /// The members from here to Drain apply only to SettingsSource::Platform.
  Endpoint Ready;
  /// The address that serves metrics. If its port is 0, Ready serves them.
  Endpoint Metrics;
  /// UDP port for messages between daemons, or 0 for none.
  uint16_t PeerPort = 0;
  /// Time from the stop signal until the platform kills the process.
  Duration Grace{};
  /// Minimum percentage of the backend servers of a service that stay in use.
  int FloorPercent = 0;
  FleetRetryLimit RetryLimit;
  QuotaBounds QuotaLimits;
  /// Duration of the lease of this daemon's entry at the platform.
  Duration Lease{};
  /// Time that a started daemon waits for others of its hall to register.
  Duration AloneWait{};
  /// Time within which a backend server that leaves receives no new requests.
  Duration Drain{};
  /// The content of section [policy].
  PolicySwitches Policy;
};

/// Loads and validates a daemon's INI file. Fails with Io if it cannot be read
/// and with InvalidArgument, naming file and line, if it is invalid.
Result<DaemonConfig> loadDaemonConfig(const std::string &Path);

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_DAEMONCONFIG_H
