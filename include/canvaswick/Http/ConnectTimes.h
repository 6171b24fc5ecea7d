//===- ConnectTimes.h - How long new connections take -----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Learns from the connections to one hall how long to wait for the next one.
/// A daemon that waits much longer than usual for a server behind a cut loses
/// the time in which another server would have answered.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_CONNECTTIMES_H
#define CANVASWICK_HTTP_CONNECTTIMES_H

#include "canvaswick/Support/Time.h"

#include <map>
#include <mutex>
#include <string>

namespace canvaswick {

/// The smoothed time of connections to one hall and its deviation, as TCP
/// estimates its retransmission timeout (RFC 6298).
class ConnectEstimate {
public:
  /// Records a connection that was established after Took.
  void recordConnected(Duration Took);

  /// Records a connection that was given up after its time limit.
  void recordTimeout() { ++this->TimeoutsInRow; }

  /// Returns how long to wait for the next connection, at most Max. After
  /// several timeouts in a row the limit doubles, so that a hall that has
  /// become slow is reached again.
  Duration getLimit(Duration Max) const;

private:
  bool HasSample = false;
  Duration Mean{};
  Duration Deviation{};
  int TimeoutsInRow = 0;
};

/// The estimates of all halls. Thread-safe.
class ConnectTimes {
public:
  /// Returns how long to wait for a connection to a server of Hall, at most
  /// Max.
  Duration getLimit(const std::string &Hall, Duration Max) const;

  void recordConnected(const std::string &Hall, Duration Took);
  void recordTimeout(const std::string &Hall);

private:
  mutable std::mutex Mutex;
  std::map<std::string, ConnectEstimate> Halls;
};

} // namespace canvaswick

#endif // CANVASWICK_HTTP_CONNECTTIMES_H
