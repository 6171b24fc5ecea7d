//===- PlatformStandIn.h - Test double of the platform ----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// An in-memory key-value store that stands in for the platform in tests. It
/// implements revisions, compare-and-swap, leases, long-poll watches, a list of
/// VMs that can lag behind, a rate limit and call counters. Faults are switched
/// at run time: outages, slow answers, and answers that are lost after the
/// write took effect.
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

/// The faults and limits in force. A write is a PUT.
struct PlatformFaults {
  /// Every call is answered with status 503.
  bool IsDown = false;
  /// Delay before each call is handled.
  int64_t SlowMs = 0;
  /// Number of coming writes that take effect but are not answered.
  int LoseAnswers = 0;
  /// Number of coming writes that neither take effect nor are answered.
  int LoseWrites = 0;
  /// Calls per second that are answered; others get status 429. 0: no limit.
  int64_t CallsPerSecond = 0;
  /// Age of the list of VMs that is returned.
  int64_t VmLagMs = 0;
};

/// Numbers of calls since the start. Refused ones count as neither reads,
/// writes nor watches.
struct PlatformCallCounts {
  uint64_t Reads = 0;
  uint64_t Writes = 0;
  uint64_t Watches = 0;
  uint64_t Refused = 0;
};

/// Serves the platform's protocol on one address. Thread-safe.
class PlatformStandIn {
public:
  PlatformStandIn();
  ~PlatformStandIn();

  /// Binds the address and starts to serve. A port of 0 picks a free one.
  Result<void> start(const Endpoint &Address);
  /// Ends the watches and waits up to 2 s for open calls.
  void stop();
  /// Returns the port that is served.
  uint16_t getPort() const;

  /// Replaces all faults.
  void setFaults(const PlatformFaults &Faults);
  /// Returns the call counters.
  PlatformCallCounts getCounts() const;

  /// Sets the list of VMs, a JSON array of {name, address, state}.
  void setVms(const Json::Value &List);

  /// Writes a key whatever its revision, as an operator of the platform would.
  /// Returns the new revision.
  uint64_t force(const std::string &Key, const std::string &Value);

  /// Returns a key's value, or an empty string if it does not exist.
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
