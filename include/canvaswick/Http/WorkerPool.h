//===- WorkerPool.h - A bounded pool of POSIX threads -----------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Runs jobs on threads that are started when jobs wait and end when they have
/// had none for a while. A job that does not fit is refused at once, so that
/// the submitter can answer at once too.
///
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

/// The bounds of one pool.
struct WorkerPoolLimits {
  /// Threads that run jobs at once.
  size_t MaxThreads = 16;
  /// Jobs that wait for one of them.
  size_t Queue = 64;
  /// Threads that stay once started, however long they have nothing to do.
  size_t MinThreads = 0;
  /// A thread beyond MinThreads that has had nothing to do for this long ends.
  Duration IdleLimit = fromSeconds(5);
};

/// How many threads a pool has.
struct WorkerPoolThreads {
  size_t Running = 0;
  size_t Idle = 0;
  /// The most there have been at once.
  size_t Peak = 0;
};

/// Threads over one queue. The thread that became idle last takes the next job,
/// so that under light load the others stay idle and end.
class WorkerPool {
public:
  explicit WorkerPool(const WorkerPoolLimits &Limits);
  ~WorkerPool();
  WorkerPool(const WorkerPool &) = delete;
  WorkerPool &operator=(const WorkerPool &) = delete;

  /// Queues a job, and starts a thread if none is idle. Returns false, and does
  /// not run it, if it does not fit, the pool is stopping, or there is no
  /// thread at all and none can be started.
  bool trySubmit(std::function<void()> Job);

  /// Runs the jobs already queued, then ends the threads. May be called twice.
  void stop();

  /// Returns how many jobs run or wait.
  size_t countJobs() const;

  /// Returns how many threads there are.
  WorkerPoolThreads countThreads() const;

private:
  struct Worker {
    std::thread Thread;
    std::condition_variable Called;
    bool IsCalled = false;
  };
  using WorkerList = std::list<Worker>;

  bool startThread();
  bool awaitCall(Worker &Self, std::unique_lock<std::mutex> &Lock);
  void runThread(WorkerList::iterator Self);
  void runJob(const std::function<void()> &Job);
  static void call(Worker &Called);
  static void joinAll(WorkerList &Threads);

  const WorkerPoolLimits Limits;
  mutable std::mutex Mutex;
  std::deque<std::function<void()>> Queue;
  WorkerList Workers;
  /// Those with nothing to do; the last one is called first.
  std::vector<Worker *> Idle;
  /// Threads that have run out: the next one that ends joins them, or the stop.
  WorkerList Ended;
  std::condition_variable HasEnded;
  size_t Running = 0;
  size_t PeakThreads = 0;
  bool IsStopping = false;
};

} // namespace canvaswick

#endif // CANVASWICK_HTTP_WORKERPOOL_H
