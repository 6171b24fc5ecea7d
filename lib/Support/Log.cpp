//===- Log.cpp - Log lines on standard output -----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One line an event: time, level, event, then fields as name=value. A daemon's
/// lines go through a bounded queue to a thread that writes them, so that a
/// reader that stalls never holds up a request; what does not fit is counted,
/// and the count is logged.
///
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

/// The queue and the thread behind it.
class LogWriter {
public:
  explicit LogWriter(const LogBounds &Bounds)
      : Bounds(Bounds), Tokens(Bounds.Burst), FilledAt(readSteadyClock()),
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
    this->fill(Now);
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
  void fill(TimePoint Now) {
    const double Seconds = std::max(0.0, toSeconds(Now - this->FilledAt));
    this->Tokens = std::min(this->Bounds.Burst,
                            this->Tokens + Seconds * Bounds.LinesPerSecond);
    this->FilledAt = Now;
  }

  /// Writes what waits without the mutex, so that a stalled reader stalls only
  /// this thread.
  void run() {
    std::unique_lock<std::mutex> Lock(this->Mutex);
    while (!this->Stopping || !this->Queue.empty()) {
      this->Changed.wait(
          Lock, [this] { return this->Stopping || !this->Queue.empty(); });
      std::deque<std::string> Lines;
      Lines.swap(this->Queue);
      const uint64_t Lost = this->Dropped - this->DroppedLogged;
      this->DroppedLogged = this->Dropped;
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
  TimePoint FilledAt;
  uint64_t Dropped = 0;
  uint64_t DroppedLogged = 0;
  bool Stopping = false;
  std::thread Thread;
};

/// The writer of this process, or none.
struct LogSlot {
  std::mutex Mutex;
  std::shared_ptr<LogWriter> Writer;
  uint64_t DroppedBefore = 0;
};

} // namespace

/// Lives as long as the process: threads may log until its very end.
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
