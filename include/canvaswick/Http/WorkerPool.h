//===- WorkerPool.h - Bounded thread pool -----------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs jobs on threads that start when jobs are queued and end after an idle
/// time. A job that exceeds the limits is refused immediately, so that the
/// submitter can answer its caller immediately, too.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_WORKERPOOL_H
#define CANVASWICK_HTTP_WORKERPOOL_H

#include "canvaswick/Support/Time.h"

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <list>
#include <mutex>
#include <thread>
#include <vector>

namespace canvaswick {

/// Limits of one pool.
struct WorkerPoolLimits {
  /// Maximum number of threads.
  size_t MaxThreads = 16;
  /// Maximum number of jobs that wait for a thread.
  size_t Queue = 64;
  /// Number of started threads that are kept even if idle.
  size_t MinThreads = 0;
  /// Idle time after which a thread beyond MinThreads ends.
  Duration IdleLimit = fromSeconds(5);
};

/// The number of threads of a pool by state.
struct WorkerPoolThreads {
  size_t Running = 0;
  size_t Idle = 0;
  /// The maximum number of threads that existed at once.
  size_t Peak = 0;
};

/// A pool of threads with one queue. The thread that became idle last takes the
/// next job, so that under light load the other threads stay idle and end.
/// Thread-safe.
class WorkerPool {
public:
  explicit WorkerPool(const WorkerPoolLimits &Limits);
  ~WorkerPool();
  WorkerPool(const WorkerPool &) = delete;
  WorkerPool &operator=(const WorkerPool &) = delete;

  /// Queues a job, and starts a thread if none is idle. Returns false and drops
  /// the job if the limits are reached, the pool is stopping, or it has no
  /// thread and none can be started.
  bool trySubmit(std::function<void()> Job);

  /// Runs the jobs already queued, then ends the threads. May be called
  /// repeatedly.
  void stop();

  /// Returns the number of running and queued jobs.
  size_t countJobs() const;

  /// Returns the current and peak number of threads.
  WorkerPoolThreads countThreads() const;

private:
  struct Worker {
    std::thread Thread;
    std::condition_variable Wakeup;
    bool IsWoken = false;
  };
  using WorkerList = std::list<Worker>;

  bool startThread();
  bool waitForWakeup(Worker &Self, std::unique_lock<std::mutex> &Lock);
  void runThread(WorkerList::iterator Self);
  void runJob(const std::function<void()> &Job);
  static void wake(Worker &Sleeper);
  static void joinAll(WorkerList &Threads);

  const WorkerPoolLimits Limits;
  mutable std::mutex Mutex;
  std::deque<std::function<void()>> Queue;
  WorkerList Workers;
  /// Idle threads; the last one is woken first.
  std::vector<Worker *> Idle;
  /// Threads that have finished and are joined by the next one that ends or by
  /// stop.
  WorkerList Ended;
  std::condition_variable HasEnded;
  size_t Running = 0;
  size_t PeakThreads = 0;
  bool IsStopping = false;
};

} // namespace canvaswick

#endif // CANVASWICK_HTTP_WORKERPOOL_H
