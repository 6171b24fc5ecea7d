//===- ServerNoticeTable.cpp - Thread-safe table of notices ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Logs changes outside the lock.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Proxy/ServerNoticeTable.h"
#include "canvaswick/Support/Log.h"

namespace canvaswick {

void logNoticeChange(const NoticeChange &Change, const std::string &RequestId) {
  logInfo("server-notice", "server={} kind={} step={} value={:.3f} id={}",
          Change.Key, getName(Change.Kind), getName(Change.Step), Change.Value,
          RequestId.empty() ? "-" : RequestId);
}

void ServerNoticeTable::forgetOld(TimePoint Now) {
  if (this->isEmpty())
    return;
  const std::vector<NoticeChange> Ended =
      this->with([Now](ServerNotices &All) { return All.forgetOld(Now); });
  for (const NoticeChange &Each : Ended)
    logNoticeChange(Each, "");
}

} // namespace canvaswick
