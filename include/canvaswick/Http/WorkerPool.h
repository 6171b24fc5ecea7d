//===- WorkerPool.h - A bounded pool of POSIX threads -----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs jobs on a fixed number of threads with a bounded queue. A job that does
/// not fit is refused at once, so that the submitter can answer at once too.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_WORKERPOOL_H
#define CANVASWICK_HTTP_WORKERPOOL_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace canvaswick {

/// A fixed set of threads over one queue.
class WorkerPool {
public:
  /// Starts Threads threads. At most QueueLimit jobs wait.
  WorkerPool(size_t Threads, size_t QueueLimit);
  ~WorkerPool();
  WorkerPool(const WorkerPool &) = delete;
  WorkerPool &operator=(const WorkerPool &) = delete;

  /// Queues a job. Returns false, and does not run it, if the queue is full or
  /// the pool is stopping.
  bool trySubmit(std::function<void()> Job);

  /// Runs the jobs already queued, then ends the threads. May be called twice.
  void stop();

  /// Returns how many jobs run or wait.
  size_t countJobs() const;

private:
  void runThread();
  void runJob(const std::function<void()> &Job);

  const size_t QueueLimit;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<std::function<void()>> Queue;
  size_t Running = 0;
  bool Stopping = false;
  std::vector<std::thread> Threads;
};

} // namespace canvaswick

#endif // CANVASWICK_HTTP_WORKERPOOL_H
