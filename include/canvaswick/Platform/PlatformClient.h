//===- PlatformClient.h - The platform's key-value service and its list of VMs
//-*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A client of the platform's published protocol: compare-and-swap by revision,
/// leases, watches by waiting reads. Each method is one call on the platform
/// and is counted.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PLATFORM_PLATFORMCLIENT_H
#define CANVASWICK_PLATFORM_PLATFORMCLIENT_H

#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Metrics/Counters.h"
#include "canvaswick/Support/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace canvaswick {

/// Longest value the platform holds.
inline constexpr size_t MaxPlatformValueBytes = 1 << 20;

/// One value and the revision it has. Revisions of a key only grow.
struct PlatformValue {
  std::string Value;
  uint64_t Revision = 0;
};

/// One VM of the platform's lagging list.
struct VmEntry {
  std::string Name;
  std::string Address;
  /// What kind of VM it is, as the platform's operators tagged it.
  std::string Tag;
  bool IsLeaving = false;
};

/// The list and its version.
struct VmList {
  uint64_t Revision = 0;
  std::vector<VmEntry> Entries;
};

/// Calls the platform. Thread-safe. Errors: NotFound, Conflict, RateLimited,
/// Unavailable (nothing was sent, so nothing landed) and OutcomeUnknown (a
/// write may or may not have landed).
class PlatformClient {
public:
  PlatformClient(Endpoint Address, CounterTable *Counters);

  /// Reads a key.
  Result<PlatformValue> get(const std::string &Key);

  /// Waits until the key's revision is above After, at most Wait. Fails with
  /// Timeout if it is not by then.
  Result<PlatformValue> watch(const std::string &Key, uint64_t After,
                              Duration Wait);

  /// Writes a key if its revision is still Expected; 0 means it must not
  /// exist. Returns the new revision.
  Result<uint64_t> put(const std::string &Key, const std::string &Value,
                       uint64_t Expected);

  /// Removes a key if its revision is still Expected.
  Result<void> remove(const std::string &Key, uint64_t Expected);

  /// Returns the platform's list of VMs, which lags.
  Result<VmList> listVms();

private:
  ExchangeResult call(const std::string &Method, const std::string &Target,
                      const std::string &Body, Duration Timeout);

  const Endpoint Address;
  CounterTable *Counters;
  ConnectionPool Pool;
};

} // namespace canvaswick

#endif // CANVASWICK_PLATFORM_PLATFORMCLIENT_H
