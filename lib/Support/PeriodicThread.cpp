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
#include "canvaswick/Support/Exceptions.h"

namespace canvaswick {

PeriodicThread::~PeriodicThread() { this->stop(); }

void PeriodicThread::start(Duration Interval, std::function<void()> Round) {
  this->Thread = std::thread([this, Interval, Round = std::move(Round)] {
    this->run(Interval, Round);
  });
}

void PeriodicThread::run(Duration Interval,
                         const std::function<void()> &Round) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  while (!this->Stopping) {
    this->IsWoken = false;
    Lock.unlock();
    const TimePoint Next = readSteadyClock() + Interval;
    runAndLogExceptions("round-failed", Round);
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
