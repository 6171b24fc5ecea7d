//===- WorkerPoolTest.cpp - Tests for WorkerPool --------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that threads start for jobs and end when idle, that the limits hold,
/// and that no thread is leaked.
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/WorkerPool.h"

#include <doctest/doctest.h>

#include <atomic>
#include <filesystem>

using namespace canvaswick;

namespace {

/// Number of threads that ran a job of BlockingJobs and have not ended. The
/// thread-local marks of a thread are destroyed before join returns.
std::atomic<int> MarkedThreads{0};

struct ThreadMark {
  ThreadMark() { ++MarkedThreads; }
  ~ThreadMark() { --MarkedThreads; }
  /// Constructs the mark of the calling thread if it has none.
  void touch() {}
};

thread_local ThreadMark Mark;

/// Jobs that block until IsOpen is set.
class BlockingJobs {
public:
  explicit BlockingJobs(WorkerPool &Pool) : Pool(Pool) {}
  ~BlockingJobs() { this->IsOpen = true; }

  bool submit() {
    return this->Pool.trySubmit([this] {
      Mark.touch();
      ++this->Entered;
      while (!this->IsOpen)
        std::this_thread::yield();
      ++this->Done;
    });
  }

  /// Submits Count jobs, waits until all run at once, and releases them.
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

/// Waits up to ten seconds until Check returns true.
template <typename Condition> static bool waitFor(Condition Check) {
  for (int I = 0; I < 1000; ++I) {
    if (Check())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

/// Waits until the pool has Wanted threads, all idle.
static bool waitForThreads(const WorkerPool &Pool, size_t Wanted) {
  return waitFor([&] {
    const WorkerPoolThreads Now = Pool.countThreads();
    return Now.Running == 0 && Now.Idle == Wanted;
  });
}

TEST_CASE("threads start for a burst, end when idle, and start again") {
  const size_t Before = countThreadsOfProcess();
  {
    WorkerPool Pool({.MaxThreads = 48,
                     .Queue = 8,
                     .MinThreads = 2,
                     .IdleLimit = fromMillis(50)});
    CHECK(Pool.countThreads().Peak == 0);
    BlockingJobs Jobs(Pool);
    // All jobs of a burst run at once: none waits for another to end.
    Jobs.runBurst(48);
    CHECK(Pool.countThreads().Peak == 48);
    REQUIRE(waitForThreads(Pool, 2));
    // The thread that ended last may still wait to be joined.
    CHECK(waitFor([&] { return countThreadsOfProcess() <= Before + 3; }));
    Jobs.runBurst(48);
    CHECK(Pool.countThreads().Peak == 48);
    REQUIRE(waitForThreads(Pool, 2));
  }
  // All threads are joined. The kernel may list a thread for a moment after it
  // was joined.
  CHECK(MarkedThreads == 0);
  CHECK(waitFor([&] { return countThreadsOfProcess() == Before; }));
}

TEST_CASE("under light load one thread is busy and the others end") {
  WorkerPool Pool({.MaxThreads = 16, .IdleLimit = fromMillis(300)});
  BlockingJobs Jobs(Pool);
  Jobs.runBurst(16);
  // One job runs at a time, but sixteen jobs arrive within the idle limit: if
  // the threads took turns, none would end.
  for (int I = 0; I < 100; ++I) {
    Jobs.runBurst(1);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  const WorkerPoolThreads Now = Pool.countThreads();
  CHECK(Now.Running + Now.Idle <= 4);
}

TEST_CASE("the pool accepts MaxThreads running and Queue waiting jobs") {
  WorkerPool Pool({.MaxThreads = 3, .Queue = 2});
  BlockingJobs Jobs(Pool);
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

TEST_CASE("a stop runs the queued jobs and ends idle threads immediately") {
  WorkerPool Pool(
      {.MaxThreads = 2, .Queue = 50, .IdleLimit = fromSeconds(3600)});
  BlockingJobs Jobs(Pool);
  Jobs.IsOpen = true;
  for (int I = 0; I < 50; ++I)
    CHECK(Jobs.submit());
  Pool.stop();
  Pool.stop();
  CHECK(Jobs.Done == 50);
  CHECK(Pool.countThreads().Running + Pool.countThreads().Idle == 0);
}

TEST_CASE("no job is lost when threads end while jobs arrive") {
  // The idle limit is close to the time between jobs, so that wakeups and
  // timeouts coincide. The queue holds all jobs: threads that get no processor
  // time must not fill it.
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
