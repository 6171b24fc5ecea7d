//===- SuspectBook.h - Records of fatal requests, kept outside --*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Keeps the records of requests under which servers end where they outlast all
/// daemons: one value, changed under the condition that it is still as it was
/// read. That condition is also what gives the right to a try to one daemon
/// only, however little daemons hear of each other.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_SUSPECTBOOK_H
#define CANVASWICK_DAEMON_SUSPECTBOOK_H

#include "canvaswick/Daemon/SuspectReport.h"
#include "canvaswick/Directory/StorePosition.h"
#include "canvaswick/Proxy/RequestQuarantine.h"

#include <functional>
#include <mutex>
#include <string>

namespace canvaswick {

/// The value as it was last read, and where. Revision 0: there is none.
struct BookPage {
  std::string Text;
  StorePosition At;
};

/// Thread-safe. Its mutex guards what it last took; no call is made under it.
class SuspectBook {
public:
  /// Reads the value, or returns the last known copy of it.
  using Reader = std::function<Result<BookPage>()>;
  /// Writes the value if it is still where it was.
  using Writer = std::function<Result<StorePosition>(const std::string &,
                                                     const StorePosition &)>;

  SuspectBook(RequestQuarantine &Guard, Reader Read, Writer Write)
      : Guard(Guard), Read(std::move(Read)), Write(std::move(Write)) {}

  /// Gives the guard what is written, if it has changed. Fails as Read does.
  Result<void> refresh(const Instant &Now);

  /// Writes what this daemon knows and the value lacks. What fails is tried
  /// again some rounds later.
  void runRound(const Instant &Now);

  /// Takes the right to the next try of a request.
  bool claimTry(const SuspectRecord &Record, const Instant &Now);

private:
  bool change(std::vector<SuspectRecord> &Records, const Instant &Now) const;
  bool writeAll(const std::vector<SuspectRecord> &Records,
                const StorePosition &Expected, const Instant &Now);

  RequestQuarantine &Guard;
  const Reader Read;
  const Writer Write;
  std::mutex Mutex;
  StorePosition TakenAt;
  /// Used by runRound only.
  TimePoint RetryAt{};
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_SUSPECTBOOK_H
