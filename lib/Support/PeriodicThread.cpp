//===- PeriodicThread.cpp - A thread that does one thing again and again --===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One mutex and condition; the round runs without the mutex.
///
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

/// Runs a round. A library may throw over an answer of a wrong shape.
static void runGuarded(const std::function<void()> &Round) {
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
    this->IsAwake = false;
    Lock.unlock();
    const TimePoint Next = readSteadyClock() + Interval;
    runGuarded(Round);
    Lock.lock();
    this->Changed.wait_until(
        Lock, Next, [this] { return this->Stopping || this->IsAwake; });
  }
}

void PeriodicThread::wake() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->IsAwake = true;
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
