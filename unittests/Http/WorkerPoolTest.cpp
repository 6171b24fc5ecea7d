//===- WorkerPoolTest.cpp - Tests of threads that come and go -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Threads are started for jobs and end when there are none, the bounds hold
/// meanwhile, and nothing is left behind.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/WorkerPool.h"

#include <doctest/doctest.h>

#include <atomic>
#include <filesystem>

using namespace canvaswick;

namespace {

/// Threads of pools that ran a job of Held and have not ended. A thread's marks
/// go before whoever joins it goes on.
std::atomic<int> MarkedThreads{0};

struct ThreadMark {
  ThreadMark() { ++MarkedThreads; }
  ~ThreadMark() { --MarkedThreads; }
  /// Makes the mark of the thread that calls, if it has none yet.
  void touch() {}
};

thread_local ThreadMark Mark;

/// Jobs that wait until they are let go.
class Held {
public:
  explicit Held(WorkerPool &Pool) : Pool(Pool) {}
  ~Held() { this->IsOpen = true; }

  bool submit() {
    return this->Pool.trySubmit([this] {
      Mark.touch();
      ++this->Entered;
      while (!this->IsOpen)
        std::this_thread::yield();
      ++this->Done;
    });
  }

  /// Submits jobs that all run at once, and lets them go.
  void runBurst(int Count) {
    this->IsOpen = false;
    const int Before = this->Entered;
    for (int I = 0; I < Count; ++I)
      REQUIRE(this->submit());
    while (this->Entered < Before + Count)
      std::this_thread::yield();
    this->IsOpen = true;
    while (this->Done < Before + Count)
      std::this_thread::yield();
  }

  std::atomic<bool> IsOpen{false};
  std::atomic<int> Entered{0};
  std::atomic<int> Done{0};

private:
  WorkerPool &Pool;
};

} // namespace

static size_t countThreadsOfProcess() {
  const std::filesystem::directory_iterator Threads("/proc/self/task");
  return static_cast<size_t>(std::distance(begin(Threads), end(Threads)));
}

/// Waits ten seconds at most until Check holds.
template <typename Condition> static bool waitFor(Condition Check) {
  for (int I = 0; I < 1000; ++I) {
    if (Check())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

/// Waits until the pool has Wanted threads, all of them idle.
static bool waitForThreads(const WorkerPool &Pool, size_t Wanted) {
  return waitFor([&] {
    const WorkerPoolThreads Now = Pool.countThreads();
    return Now.Running == 0 && Now.Idle == Wanted;
  });
}

TEST_CASE("threads come with a burst, go when it is quiet, and come again") {
  const size_t Before = countThreadsOfProcess();
  {
    WorkerPool Pool({.MaxThreads = 48,
                     .Queue = 8,
                     .MinThreads = 2,
                     .IdleLimit = fromMillis(50)});
    CHECK(Pool.countThreads().Peak == 0);
    Held Jobs(Pool);
    // All of a burst run at once: none waits for another to end.
    Jobs.runBurst(48);
    CHECK(Pool.countThreads().Peak == 48);
    REQUIRE(waitForThreads(Pool, 2));
    // One that ended last may still wait to be joined.
    CHECK(waitFor([&] { return countThreadsOfProcess() <= Before + 3; }));
    Jobs.runBurst(48);
    CHECK(Pool.countThreads().Peak == 48);
    REQUIRE(waitForThreads(Pool, 2));
  }
  // All are joined, and none was left behind. The kernel lists a thread for a
  // moment after it was joined.
  CHECK(MarkedThreads == 0);
  CHECK(waitFor([&] { return countThreadsOfProcess() == Before; }));
}

TEST_CASE("light load keeps one thread busy and lets the others go") {
  WorkerPool Pool({.MaxThreads = 16, .IdleLimit = fromMillis(300)});
  Held Jobs(Pool);
  Jobs.runBurst(16);
  // One job at a time, often enough that every thread would stay if they took
  // turns: sixteen jobs come within the idle time.
  for (int I = 0; I < 100; ++I) {
    Jobs.runBurst(1);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  const WorkerPoolThreads Now = Pool.countThreads();
  CHECK(Now.Running + Now.Idle <= 4);
}

TEST_CASE("as many jobs are taken as there may be threads and places to wait") {
  WorkerPool Pool({.MaxThreads = 3, .Queue = 2});
  Held Jobs(Pool);
  for (int I = 0; I < 5; ++I)
    CHECK(Jobs.submit());
  CHECK_FALSE(Jobs.submit());
  CHECK(Pool.countJobs() == 5);
  CHECK(Pool.countThreads().Running == 3);
  Jobs.IsOpen = true;
  Pool.stop();
  CHECK(Jobs.Done == 5);
  CHECK_FALSE(Jobs.submit());
}

TEST_CASE("a stop runs what was queued and ends idle threads at once") {
  WorkerPool Pool(
      {.MaxThreads = 2, .Queue = 50, .IdleLimit = fromSeconds(3600)});
  Held Jobs(Pool);
  Jobs.IsOpen = true;
  for (int I = 0; I < 50; ++I)
    CHECK(Jobs.submit());
  Pool.stop();
  Pool.stop();
  CHECK(Jobs.Done == 50);
  CHECK(Pool.countThreads().Running + Pool.countThreads().Idle == 0);
}

TEST_CASE("threads that end while jobs come lose none") {
  // Idle times near the time between jobs, so that calls and ends cross. The
  // queue holds them all: threads that get no processor must not fill it.
  constexpr int Jobs = 2000;
  WorkerPool Pool({.MaxThreads = 4, .Queue = Jobs, .IdleLimit = fromMillis(1)});
  std::atomic<int> Done{0};
  for (int I = 0; I < Jobs; ++I) {
    REQUIRE(Pool.trySubmit([&Done] { ++Done; }));
    if (I % 4 == 0)
      std::this_thread::sleep_for(std::chrono::microseconds(1000 + I % 300));
  }
  Pool.stop();
  CHECK(Done == Jobs);
}
