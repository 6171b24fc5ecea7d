//===- PoisonRequestStore.h - Stored records of poison requests -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Keeps the records of poison requests in storage that outlasts all daemons: a
/// single value, replaced on condition that it is unchanged since it was read.
/// The same condition lets only one daemon claim a probe of a quarantined
/// request, even if daemons cannot reach each other.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_POISONREQUESTSTORE_H
#define CANVASWICK_DAEMON_POISONREQUESTSTORE_H

#include "canvaswick/Daemon/PoisonRequestReport.h"
#include "canvaswick/Directory/StorePosition.h"
#include "canvaswick/Proxy/RequestQuarantine.h"

#include <functional>
#include <mutex>
#include <string>

namespace canvaswick {

/// The value as it was last read, and its position. Revision 0 means that there
/// is no value.
struct StoredRecords {
  std::string Text;
  StorePosition At;
};

/// Synchronizes the quarantine with the stored records. Thread-safe; no call is
/// made while its mutex is held.
class PoisonRequestStore {
public:
  /// Reads the value, or returns the last known replica of it.
  using Reader = std::function<Result<StoredRecords>()>;
  /// Writes the value if its position is unchanged.
  using Writer = std::function<Result<StorePosition>(const std::string &,
                                                     const StorePosition &)>;

  PoisonRequestStore(RequestQuarantine &Quarantine, Reader Read, Writer Write)
      : Quarantine(Quarantine), Read(std::move(Read)), Write(std::move(Write)) {
  }

  /// Passes the stored records to the quarantine if they have changed. Fails as
  /// Read does.
  Result<void> refresh(const Instant &Now);

  /// Writes what this daemon knows and the stored value lacks. A failed write
  /// is retried a few rounds later.
  void runRound(const Instant &Now);

  /// Claims the next probe of a quarantined request. Returns whether this
  /// daemon may send it.
  bool claimProbe(const PoisonRequestRecord &Record, const Instant &Now);

private:
  bool updateRecords(std::vector<PoisonRequestRecord> &Records,
                     const Instant &Now) const;
  bool writeRecords(const std::vector<PoisonRequestRecord> &Records,
                    const StorePosition &Expected, const Instant &Now);

  RequestQuarantine &Quarantine;
  const Reader Read;
  const Writer Write;
  std::mutex Mutex;
  StorePosition AppliedPosition;
  /// Used by runRound only.
  TimePoint NextWrite{};
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_POISONREQUESTSTORE_H
