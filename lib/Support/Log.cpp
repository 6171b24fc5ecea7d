//===- Log.cpp - Structured logging to standard output --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A line holds the time, the level, the event and the fields as name=value. In
/// a daemon, lines pass through a bounded queue to a writer thread, so that a
/// stalled reader never delays a request. Dropped lines are counted, and their
/// number is logged.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/Log.h"
#include "canvaswick/Support/EnumNames.h"
#include "canvaswick/Support/Time.h"

#include <algorithm>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>

namespace canvaswick {

static constexpr EnumNames<LogLevel, 3> LogLevelNames = {{
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

namespace {

/// Queue with a token bucket, and the thread that writes the lines.
class LogWriter {
public:
  explicit LogWriter(const LogBounds &Bounds)
      : Bounds(Bounds), Tokens(Bounds.Burst), RefilledAt(readSteadyClock()),
        Thread([this] { this->run(); }) {}

  ~LogWriter() {
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->Stopping = true;
    }
    this->Changed.notify_all();
    this->Thread.join();
  }

  void add(std::string Line, TimePoint Now) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->refillTokens(Now);
    if (this->Tokens < 1 || this->Queue.size() >= this->Bounds.QueueLimit) {
      ++this->Dropped;
      return;
    }
    this->Tokens -= 1;
    this->Queue.push_back(std::move(Line));
    if (this->Queue.size() == 1)
      this->Changed.notify_one();
  }

  uint64_t countDropped() const {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return this->Dropped;
  }

private:
  void refillTokens(TimePoint Now) {
    const double Seconds = std::max(0.0, toSeconds(Now - this->RefilledAt));
    this->Tokens = std::min(this->Bounds.Burst,
                            this->Tokens + Seconds * Bounds.LinesPerSecond);
    this->RefilledAt = Now;
  }

  /// Writes queued lines without holding the mutex, so that a stalled reader
  /// blocks only this thread.
  void run() {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    while (!this->Stopping || !this->Queue.empty()) {
      this->Changed.wait(
          Lock, [this] { return this->Stopping || !this->Queue.empty(); });
      std::deque<std::string> Lines;
      Lines.swap(this->Queue);
      const uint64_t Lost = this->Dropped - this->DroppedReported;
      this->DroppedReported = this->Dropped;
      Lock.unlock();
      this->write(Lines, Lost);
      Lock.lock();
    }
  }

  static void write(const std::deque<std::string> &Lines, uint64_t Lost) {
    for (const std::string &Line : Lines)
      std::fwrite(Line.data(), 1, Line.size(), stdout);
    if (Lost > 0)
      fmt::print("{} warning log-lines-dropped count={}\n",
                 readCalendarMillis() / 1000, Lost);
    std::fflush(stdout);
  }

  const LogBounds Bounds;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<std::string> Queue;
  double Tokens;
  TimePoint RefilledAt;
  uint64_t Dropped = 0;
  uint64_t DroppedReported = 0;
  bool Stopping = false;
  std::thread Thread;
};

/// The writer of this process, if any.
struct LogSlot {
  std::mutex Mutex;
  std::shared_ptr<LogWriter> Writer;
  uint64_t DroppedBefore = 0;
};

} // namespace

/// Returns the slot, which is never destroyed because threads may log until the
/// process ends.
static LogSlot &getLogSlot() {
  static LogSlot *Slot = new LogSlot;
  return *Slot;
}

static std::shared_ptr<LogWriter> getLogWriter() {
  LogSlot &Slot = getLogSlot();
  std::lock_guard<std::mutex> Lock(Slot.Mutex);
  return Slot.Writer;
}

void startLogWriter(const LogBounds &Bounds) {
  LogSlot &Slot = getLogSlot();
  std::lock_guard<std::mutex> Lock(Slot.Mutex);
  if (!Slot.Writer)
    Slot.Writer = std::make_shared<LogWriter>(Bounds);
}

void stopLogWriter() {
  LogSlot &Slot = getLogSlot();
  std::shared_ptr<LogWriter> Writer;
  {
    std::lock_guard<std::mutex> Lock(Slot.Mutex);
    Writer.swap(Slot.Writer);
    if (Writer)
      Slot.DroppedBefore += Writer->countDropped();
  }
  Writer.reset();
}

uint64_t countDroppedLogLines() {
  LogSlot &Slot = getLogSlot();
  std::lock_guard<std::mutex> Lock(Slot.Mutex);
  return Slot.DroppedBefore + (Slot.Writer ? Slot.Writer->countDropped() : 0);
}

void writeLogLine(LogLevel Level, const char *Event,
                  const std::string &Fields) {
  const int64_t Now = readCalendarMillis();
  std::string Line =
      fmt::format("{}.{:03} {} {} {}\n", Now / 1000, Now % 1000,
                  getEnumName(LogLevelNames, Level), Event, Fields);
  if (const std::shared_ptr<LogWriter> Writer = getLogWriter()) {
    Writer->add(std::move(Line), readSteadyClock());
    return;
  }
  std::fwrite(Line.data(), 1, Line.size(), stdout);
  std::fflush(stdout);
}

} // namespace canvaswick
