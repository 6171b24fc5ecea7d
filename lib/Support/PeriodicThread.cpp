//===- PeriodicThread.cpp - Thread that runs a task periodically ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Uses one mutex and condition variable. The round runs without the mutex.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/PeriodicThread.h"
#include "canvaswick/Support/Log.h"

#include <exception>

namespace canvaswick {

PeriodicThread::~PeriodicThread() { this->stop(); }

void PeriodicThread::start(Duration Interval, std::function<void()> Round) {
  this->Thread = std::thread([this, Interval, Round = std::move(Round)] {
    this->run(Interval, Round);
  });
}

/// Runs a round and logs exceptions. A library may throw on a malformed
/// response.
static void runAndLogExceptions(const std::function<void()> &Round) {
  try {
    Round();
  } catch (const std::exception &Failure) {
    logError("round-failed", "what={:?}", Failure.what());
  }
}

void PeriodicThread::run(Duration Interval,
                         const std::function<void()> &Round) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    this->IsWoken = false;
    Lock.unlock();
    const TimePoint Next = readSteadyClock() + Interval;
    runAndLogExceptions(Round);
    Lock.lock();
    this->Changed.wait_until(
        Lock, Next, [this] { return this->Stopping || this->IsWoken; });
  }
}

void PeriodicThread::wake() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->IsWoken = true;
  }
  this->Changed.notify_all();
}

void PeriodicThread::stop() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Changed.notify_all();
  if (this->Thread.joinable())
    this->Thread.join();
}

} // namespace canvaswick
