//===- WorkerPool.cpp - A bounded pool of POSIX threads -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One mutex guards the queue; no other lock is taken while it is held.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/WorkerPool.h"
#include "canvaswick/Support/Log.h"

#include <exception>

namespace canvaswick {

WorkerPool::WorkerPool(size_t Threads, size_t QueueLimit)
    : QueueLimit(QueueLimit) {
  this->Threads.reserve(Threads);
  for (size_t I = 0; I < Threads; ++I)
    this->Threads.emplace_back([this] { this->runThread(); });
}

WorkerPool::~WorkerPool() { this->stop(); }

bool WorkerPool::trySubmit(std::function<void()> Job) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const size_t Busy = this->Running + this->Queue.size();
    if (this->Stopping || Busy >= this->Threads.size() + this->QueueLimit)
      return false;
    this->Queue.push_back(std::move(Job));
  }
  this->Changed.notify_one();
  return true;
}

void WorkerPool::stop() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Changed.notify_all();
  for (std::thread &Thread : this->Threads)
    if (Thread.joinable())
      Thread.join();
}

size_t WorkerPool::countJobs() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Running + this->Queue.size();
}

/// Runs a job. Ours return their errors; a library below one may still throw,
/// such as over a message of a wrong shape, and that must not end the process.
void WorkerPool::runJob(const std::function<void()> &Job) {
  try {
    Job();
  } catch (const std::exception &Failure) {
    logError("job-failed", "what={:?}", Failure.what());
  }
}

void WorkerPool::runThread() {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (true) {
    this->Changed.wait(
        Lock, [this] { return this->Stopping || !this->Queue.empty(); });
    if (this->Queue.empty())
      return;
    std::function<void()> Job = std::move(this->Queue.front());
    this->Queue.pop_front();
    ++this->Running;
    Lock.unlock();
    this->runJob(Job);
    Job = nullptr;
    Lock.lock();
    --this->Running;
  }
}

} // namespace canvaswick
