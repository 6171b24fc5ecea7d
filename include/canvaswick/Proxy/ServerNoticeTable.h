//===- ServerNoticeTable.h - Thread-safe table of notices -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Shares the notices of all servers between threads and between versions of
/// the settings: a notice that arrives for a request of an earlier version also
/// applies to the current one.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_SERVERNOTICETABLE_H
#define CANVASWICK_PROXY_SERVERNOTICETABLE_H

#include "canvaswick/Routing/ServerNotices.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <atomic>
#include <mutex>
#include <string>

namespace canvaswick {

/// The server notices known to one daemon. Thread-safe; no other lock is taken
/// while its mutex is held. A service's mutex may be held when it is taken.
class ServerNoticeTable
    : public boost::intrusive_ref_counter<ServerNoticeTable> {
public:
  /// Calls Work with the notices while the mutex is held.
  template <typename Function> auto with(Function &&Work) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const EmptinessUpdater Updater(*this);
    return Work(this->Notices);
  }

  /// Removes expired notices and logs each removal.
  void forgetOld(TimePoint Now);

  /// Returns whether no server has an active notice. Does not block.
  bool isEmpty() const { return this->IsEmpty; }

private:
  /// Updates IsEmpty when the access to the notices ends.
  struct EmptinessUpdater {
    explicit EmptinessUpdater(ServerNoticeTable &Table) : Table(Table) {}
    ~EmptinessUpdater() { this->Table.IsEmpty = this->Table.Notices.isEmpty(); }
    EmptinessUpdater(const EmptinessUpdater &) = delete;
    EmptinessUpdater &operator=(const EmptinessUpdater &) = delete;
    ServerNoticeTable &Table;
  };

  std::mutex Mutex;
  ServerNotices Notices;
  std::atomic<bool> IsEmpty{true};
};

/// Logs a change of a server's notices. RequestId names the request whose
/// response carried it, or is empty.
void logNoticeChange(const NoticeChange &Change, const std::string &RequestId);

/// A counted reference to a ServerNoticeTable.
using ServerNoticeTableRef = boost::intrusive_ptr<ServerNoticeTable>;

} // namespace canvaswick

#endif // CANVASWICK_PROXY_SERVERNOTICETABLE_H
