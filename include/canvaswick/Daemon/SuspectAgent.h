//===- SuspectAgent.h - Fatal requests among signed peers -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tells the other daemons on the product's own interface under which requests
/// servers end: at once to a few, who pass it on, and again with each ping.
/// Keeps the records at the platform.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_SUSPECTAGENT_H
#define CANVASWICK_DAEMON_SUSPECTAGENT_H

#include "canvaswick/Daemon/MembershipAgent.h"
#include "canvaswick/Daemon/SuspectBook.h"

namespace canvaswick {

/// Thread-safe.
class SuspectAgent {
public:
  SuspectAgent(const ControlContext &Context, MembershipAgent &Members,
               RequestQuarantine &Guard);

  void addMethods(JsonRpcDispatcher &Dispatcher);

  /// Does one round: reads the records at the start and while there are
  /// suspects, writes what they lack, forgets what is old.
  void runRound(const Instant &Now);

  /// Takes part in pings.
  void writeNews(Json::Value &Message, TimePoint Now) const;
  void readNews(const Json::Value &Message, TimePoint Now);

private:
  void spread(const SuspectNews &News, TimePoint Now);
  Json::Value answerNews(const Json::Value &Params);
  Result<BookPage> readPage() const;
  Result<StorePosition> writePage(const std::string &Text,
                                  const StorePosition &Expected) const;

  const ControlContext &Context;
  MembershipAgent &Members;
  RequestQuarantine &Guard;
  SuspectBook Book;
  /// Used by runRound only.
  TimePoint ReadAt{};
  bool HasRead = false;
};

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_SUSPECTAGENT_H
