//===- WorkerPool.cpp - Bounded thread pool -------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One mutex guards all state. No other lock is taken and no thread is joined
/// while it is held.
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/WorkerPool.h"
#include "canvaswick/Support/Exceptions.h"
#include "canvaswick/Support/Log.h"

#include <algorithm>
#include <exception>
#include <system_error>

namespace canvaswick {

WorkerPool::WorkerPool(const WorkerPoolLimits &Limits) : Limits(Limits) {}

WorkerPool::~WorkerPool() { this->stop(); }

bool WorkerPool::trySubmit(std::function<void()> Job) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const size_t Jobs = this->Running + this->Queue.size();
  if (this->IsStopping || Jobs >= this->Limits.MaxThreads + this->Limits.Queue)
    return false;
  if (!this->Idle.empty()) {
    wake(*this->Idle.back());
    this->Idle.pop_back();
  } else if (this->Workers.size() < this->Limits.MaxThreads &&
             !this->startThread() && this->Workers.empty()) {
    return false;
  }
  this->Queue.push_back(std::move(Job));
  return true;
}

/// Starts one thread. Returns whether that succeeded. The caller holds the
/// mutex.
bool WorkerPool::startThread() {
  const WorkerList::iterator Added = this->Workers.emplace(this->Workers.end());
  try {
    Added->Thread = std::thread([this, Added] { this->runThread(Added); });
  } catch (const std::system_error &Failure) {
    this->Workers.erase(Added);
    logWarning("thread-not-started", "threads={} what={:?}",
               this->Workers.size(), Failure.what());
    return false;
  }
  this->PeakThreads = std::max(this->PeakThreads, this->Workers.size());
  return true;
}

void WorkerPool::stop() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  this->IsStopping = true;
  for (Worker *Each : this->Idle)
    wake(*Each);
  this->Idle.clear();
  this->HasEnded.wait(Lock, [this] { return this->Workers.empty(); });
  WorkerList Joined = std::move(this->Ended);
  this->Ended.clear();
  Lock.unlock();
  joinAll(Joined);
}

void WorkerPool::wake(Worker &Sleeper) {
  Sleeper.IsWoken = true;
  Sleeper.Wakeup.notify_one();
}

void WorkerPool::joinAll(WorkerList &Threads) {
  for (Worker &Each : Threads)
    Each.Thread.join();
}

size_t WorkerPool::countJobs() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Running + this->Queue.size();
}

WorkerPoolThreads WorkerPool::countThreads() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return {this->Workers.size() - this->Idle.size(), this->Idle.size(),
          this->PeakThreads};
}

/// Runs a job. The jobs of this project return their errors, but a library may
/// throw, for example on a malformed message. Such an exception must not end
/// the process.
void WorkerPool::runJob(const std::function<void()> &Job) {
  runAndLogExceptions("job-failed", Job);
}

/// Waits until the thread is woken. Returns false if the thread must end: after
/// IdleLimit if there are more than MinThreads, and when the pool stops.
bool WorkerPool::waitForWakeup(Worker &Self,
                               std::unique_lock<std::mutex> &Lock) {
  if (this->IsStopping)
    return false;
  this->Idle.push_back(&Self);
  while (!Self.IsWoken) {
    const bool HasTimedOut =
        Self.Wakeup.wait_for(Lock, this->Limits.IdleLimit) ==
        std::cv_status::timeout;
    if (!HasTimedOut || Self.IsWoken ||
        this->Workers.size() <= this->Limits.MinThreads)
      continue;
    this->Idle.erase(std::find(this->Idle.begin(), this->Idle.end(), &Self));
    return false;
  }
  Self.IsWoken = false;
  return true;
}

void WorkerPool::runThread(WorkerList::iterator Self) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (true) {
    // A thread that finished another job may have taken the job that this
    // thread was woken for.
    if (this->Queue.empty()) {
      if (!this->waitForWakeup(*Self, Lock))
        break;
      continue;
    }
    std::function<void()> Job = std::move(this->Queue.front());
    this->Queue.pop_front();
    ++this->Running;
    Lock.unlock();
    this->runJob(Job);
    Job = nullptr;
    Lock.lock();
    --this->Running;
  }
  WorkerList PreviouslyEnded = std::move(this->Ended);
  this->Ended.clear();
  this->Ended.splice(this->Ended.end(), this->Workers, Self);
  this->HasEnded.notify_all();
  Lock.unlock();
  joinAll(PreviouslyEnded);
}

} // namespace canvaswick
