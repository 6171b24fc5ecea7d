//===- PlatformStandIn.h - A small stand-in for the platform ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Keys with revisions, compare-and-swap, leases, waiting reads, a lagging list
/// of VMs, a rate limit and a count of calls. Faults are switched at run time:
/// an outage, slow answers, and answers lost after the write took effect.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_STANDIN_PLATFORMSTANDIN_H
#define CANVASWICK_STANDIN_PLATFORMSTANDIN_H

#include "canvaswick/Http/HttpServer.h"

#include <json/json.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace canvaswick {

/// The faults and limits that a test switches.
struct PlatformFaults {
  bool IsDown = false;
  int64_t SlowMs = 0;
  /// How many of the next writes take effect without an answer.
  int LoseAnswers = 0;
  /// How many of the next writes fail before they take effect.
  int LoseWrites = 0;
  /// Calls a second that are answered; 0: all.
  int64_t CallsPerSecond = 0;
  /// How far the list of VMs lags behind.
  int64_t VmLagMs = 0;
};

/// Calls the stand-in has served.
struct PlatformCallCounts {
  uint64_t Reads = 0;
  uint64_t Writes = 0;
  uint64_t Watches = 0;
  uint64_t Refused = 0;
};

/// Serves the platform's protocol on one address.
class PlatformStandIn {
public:
  PlatformStandIn();
  ~PlatformStandIn();

  /// Starts to serve.
  Result<void> start(const Endpoint &Address);
  void stop();
  uint16_t getPort() const;

  void setFaults(const PlatformFaults &Faults);
  PlatformCallCounts getCounts() const;

  /// Sets the list of VMs: a JSON array of {name, address, state}.
  void setVms(const Json::Value &List);

  /// Writes a key without a condition, as a platform operator would.
  uint64_t force(const std::string &Key, const std::string &Value);

  /// Returns a key's value, or an empty text.
  std::string peek(const std::string &Key) const;

private:
  struct Entry {
    std::string Value;
    uint64_t Revision = 0;
    uint64_t Lease = 0;
  };
  struct VmVersion {
    TimePoint At;
    Json::Value List;
  };

  void handle(HttpExchange &Exchange);
  void handleControl(HttpExchange &Exchange);
  void handleGet(HttpExchange &Exchange, const std::string &Key);
  void handlePut(HttpExchange &Exchange, const std::string &Key,
                 const std::string &Body);
  void handleDelete(HttpExchange &Exchange, const std::string &Key);
  void handleWatch(HttpExchange &Exchange, const std::string &Key);
  void handleLease(HttpExchange &Exchange, const std::string &Target);
  void handleVms(HttpExchange &Exchange);
  bool admit(HttpExchange &Exchange);
  void expireLeases(TimePoint Now);

  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Entry> Entries;
  std::map<uint64_t, std::pair<TimePoint, Duration>> Leases;
  std::vector<VmVersion> Vms;
  PlatformFaults Faults;
  PlatformCallCounts Counts;
  uint64_t NextRevision = 1;
  uint64_t NextLease = 1;
  int64_t CurrentSecond = 0;
  int64_t CallsThisSecond = 0;
  bool Stopping = false;
  std::unique_ptr<HttpServer> Server;
};

} // namespace canvaswick

#endif // CANVASWICK_STANDIN_PLATFORMSTANDIN_H
