//===- PeriodicThread.h - Thread that runs a task periodically --*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each background task of a daemon has its own thread, which runs a round,
/// waits, and runs the next one.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_PERIODICTHREAD_H
#define CANVASWICK_SUPPORT_PERIODICTHREAD_H

#include "canvaswick/Support/Time.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace canvaswick {

/// Runs a function periodically until it is stopped.
class PeriodicThread {
public:
  PeriodicThread() = default;
  ~PeriodicThread();
  PeriodicThread(const PeriodicThread &) = delete;
  PeriodicThread &operator=(const PeriodicThread &) = delete;

  /// Starts the thread. Rounds start Interval apart, or later if a round takes
  /// longer. Exceptions thrown by a round are logged, and the next round runs
  /// as usual.
  void start(Duration Interval, std::function<void()> Round);

  /// Starts the next round now, or as soon as the current one ends.
  void wake();

  /// Stops the thread after its current round. May be called repeatedly.
  void stop();

private:
  void run(Duration Interval, const std::function<void()> &Round);

  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  bool IsWoken = false;
  std::thread Thread;
};

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_PERIODICTHREAD_H
