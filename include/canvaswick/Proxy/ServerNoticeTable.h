//===- ServerNoticeTable.h - Servers' notices behind one lock ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// What servers say of themselves, for all threads and all versions of the
/// settings: a request that began under an earlier version hears for the later.
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

/// The notices of one daemon. Thread-safe; no other lock is taken under its
/// mutex, and a service's may be held when it is.
class ServerNoticeTable
    : public boost::intrusive_ref_counter<ServerNoticeTable> {
public:
  /// Runs Work on the notices while nobody else does anything with them.
  template <typename Function> auto with(Function &&Work) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const EmptyMark Mark(*this);
    return Work(this->Notices);
  }

  /// Forgets what no longer holds, and logs it.
  void forgetOld(TimePoint Now);

  /// Returns whether no server says anything, without waiting for anybody.
  bool isEmpty() const { return this->IsEmpty; }

private:
  /// Keeps IsEmpty true to the notices after each piece of work.
  struct EmptyMark {
    explicit EmptyMark(ServerNoticeTable &Board) : Board(Board) {}
    ~EmptyMark() { this->Board.IsEmpty = this->Board.Notices.isEmpty(); }
    EmptyMark(const EmptyMark &) = delete;
    EmptyMark &operator=(const EmptyMark &) = delete;
    ServerNoticeTable &Board;
  };

  std::mutex Mutex;
  ServerNotices Notices;
  std::atomic<bool> IsEmpty{true};
};

/// Logs a change of what a server says, and the request that brought it, if one
/// did.
void logNoticeChange(const NoticeChange &Change, const std::string &RequestId);

/// A counted reference to a ServerNoticeTable.
using ServerNoticeTableRef = boost::intrusive_ptr<ServerNoticeTable>;

} // namespace canvaswick

#endif // CANVASWICK_PROXY_SERVERNOTICETABLE_H
