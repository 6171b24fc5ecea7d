//===- PeriodicThread.h - A thread that works in rounds ---------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The background work of a daemon: each kind has a thread of its own that runs
/// a round, waits and runs the next.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_PERIODICTHREAD_H
#define CANVASWICK_SUPPORT_PERIODICTHREAD_H

#include "canvaswick/Support/Time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace canvaswick {

/// Runs a round again and again until it is stopped.
class PeriodicThread {
public:
  PeriodicThread() = default;
  ~PeriodicThread();
  PeriodicThread(const PeriodicThread &) = delete;
  PeriodicThread &operator=(const PeriodicThread &) = delete;

  /// Starts the thread. Rounds begin Interval apart, or later if one takes
  /// longer. What a round throws is logged, and the next round goes on.
  void start(Duration Interval, std::function<void()> Round);

  /// Begins the next round now.
  void wake();

  /// Ends the thread after its current round. May be called twice.
  void stop();

private:
  void run(Duration Interval, const std::function<void()> &Round);

  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  bool IsAwake = false;
  std::thread Thread;
};

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_PERIODICTHREAD_H
