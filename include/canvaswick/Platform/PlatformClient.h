//===- PlatformClient.h - Client of the platform's HTTP API -----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines a client of the platform's published protocol: a key-value store
/// with compare-and-swap by revision and with watches by long polling, and a
/// list of VMs. Each method makes one HTTP call, which is counted.
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

/// The maximum length of a value that the platform stores.
inline constexpr size_t MaxPlatformValueBytes = 1 << 20;

/// A value and its revision. The revision of a key increases with each change.
struct PlatformValue {
  std::string Value;
  uint64_t Revision = 0;
};

/// One VM in the platform's list, which is updated with a delay.
struct VmEntry {
  std::string Name;
  std::string Address;
  /// The kind of VM, as tagged by the platform's operators.
  std::string Tag;
  bool IsLeaving = false;
};

/// The platform's list of VMs and its revision.
struct VmList {
  uint64_t Revision = 0;
  std::vector<VmEntry> Entries;
};

/// Calls the platform. Thread-safe. Errors: NotFound, Conflict, RateLimited,
/// Unavailable (the call had no effect) and OutcomeUnknown (a write may or may
/// not have taken effect).
class PlatformClient {
public:
  /// Counters may be null.
  PlatformClient(Endpoint Address, CounterTable *Counters);

  /// Reads the value of a key.
  Result<PlatformValue> get(const std::string &Key);

  /// Waits for at most Wait until the revision of the key exceeds After, and
  /// returns the value. Fails with Timeout if the wait ends first.
  Result<PlatformValue> watch(const std::string &Key, uint64_t After,
                              Duration Wait);

  /// Writes a key if its revision equals Expected, or if the key doesn't exist
  /// and Expected is 0. Returns the new revision. Fails with InvalidArgument if
  /// the value is too long.
  Result<uint64_t> put(const std::string &Key, const std::string &Value,
                       uint64_t Expected);

  /// Removes a key if its revision equals Expected.
  Result<void> remove(const std::string &Key, uint64_t Expected);

  /// Returns the platform's list of VMs, which may be out of date.
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
