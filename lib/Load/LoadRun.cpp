//===- LoadRun.cpp - Open-loop load generator -----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The schedule of Poisson arrivals is drawn before the run. Each thread takes
/// the next arrival, waits for its time and sends the request. Latency is
/// measured from the scheduled time, not from when a thread became free.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Load/LoadRun.h"
#include "canvaswick/Http/HttpClient.h"

#include <fmt/format.h>

#include <unistd.h>

#include <cmath>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

namespace canvaswick {

LoadSide::LoadSide() : Latencies(makeLatencyHistogram()) {}

namespace {

/// One request of the schedule.
struct Arrival {
  TimePoint At;
  size_t Target;
  bool IsDirect;
  uint64_t Key;
};

} // namespace

static std::vector<Arrival> drawSchedule(const LoadPlan &Plan,
                                         TimePoint Start) {
  std::mt19937_64 Random(Plan.Seed);
  std::exponential_distribution<double> Gap(Plan.RequestsPerSecond);
  std::vector<Arrival> Schedule;
  double At = 0;
  uint64_t Number = 0;
  const bool HasDirect = Plan.Direct.Port != 0;
  while (true) {
    At += Gap(Random);
    if (At >= Plan.Seconds)
      return Schedule;
    const bool IsDirect = HasDirect && Number % 2 == 1;
    // A request through the proxy and the direct one after it have the same
    // target.
    const uint64_t Pair = HasDirect ? Number / 2 : Number;
    Schedule.push_back({Start + fromSeconds(At), Pair % Plan.Targets.size(),
                        IsDirect, Random()});
    ++Number;
  }
}

static void count(LoadSide &Side, const ExchangeResult &Answer,
                  Duration Latency) {
  AnswerKind Kind = AnswerKind::Failed;
  if (Answer.End == ExchangeEnd::Complete && Answer.Status < 400)
    Kind = AnswerKind::Good;
  else if (Answer.End == ExchangeEnd::Complete &&
           (Answer.Status == 429 || Answer.Status == 503))
    Kind = AnswerKind::Refused;
  if (Kind == AnswerKind::Good)
    ++Side.Served;
  else if (Kind == AnswerKind::Refused)
    ++Side.Refused;
  else
    ++Side.Failed;
  if (Answer.End == ExchangeEnd::Timeout)
    ++Side.Timeouts;
  else if (Answer.End != ExchangeEnd::Complete)
    ++Side.Broken;
  // The time until a refusal or an error says nothing about good answers.
  if (Kind == AnswerKind::Good)
    Side.Latencies(toSeconds(Latency) * 1000, static_cast<int>(Kind));
}

static void sendOne(const LoadPlan &Plan, const Arrival &Each,
                    ConnectionPool &Pool, LoadResult &Result) {
  const LoadTarget &Target = Plan.Targets[Each.Target];
  LoadSide &Side = Each.IsDirect ? Result.Direct : Result.Proxy;
  OutgoingRequest Request;
  Request.Method = Target.Method;
  Request.Target = Target.Target;
  Request.Body = Target.Body;
  Request.Headers.emplace("Host", Plan.Host);
  if (!Plan.CallerKey.empty())
    Request.Headers.emplace("Authorization", "Bearer " + Plan.CallerKey);
  if (Target.IsKeyed)
    Request.Headers.emplace("Idempotency-Key",
                            fmt::format("load-{:x}", Each.Key));
  std::this_thread::sleep_until(Each.At);
  const TimePoint Sending = readSteadyClock();
  if (Sending - Each.At > fromMillis(1))
    ++Side.LateStarts;
  ++Side.Sent;
  const ExchangeResult Answer =
      Pool.exchange(Each.IsDirect ? Plan.Direct : Plan.Proxy, Request,
                    Sending + fromMillis(Plan.DeadlineMs), -1, nullptr);
  count(Side, Answer, readSteadyClock() - Each.At);
}

/// Returns the CPU time that a process has used, or 0 if it does not exist.
static double readCpuSeconds(int64_t Pid) {
  std::ifstream File(fmt::format("/proc/{}/stat", Pid));
  std::string Text;
  std::getline(File, Text);
  // The second field, the name in parentheses, may contain spaces.
  std::istringstream Fields(Text.substr(Text.rfind(')') + 1));
  std::string Skipped;
  static constexpr int FieldsBeforeUserTime = 11;
  for (int I = 0; I < FieldsBeforeUserTime; ++I)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

void runLoad(const LoadPlan &Plan, LoadResult &Result) {
  const double CpuBefore =
      Plan.DaemonPid > 0 ? readCpuSeconds(Plan.DaemonPid) : 0;
  const TimePoint Start = readSteadyClock() + fromMillis(50);
  const std::vector<Arrival> Schedule = drawSchedule(Plan, Start);
  ConnectionPool Pool(0);
  std::atomic<size_t> Next{0};
  std::vector<std::thread> Threads;
  for (size_t I = 0; I < Plan.Threads; ++I)
    Threads.emplace_back([&] {
      for (size_t At = Next++; At < Schedule.size(); At = Next++)
        sendOne(Plan, Schedule[At], Pool, Result);
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  Result.TookSeconds = toSeconds(readSteadyClock() - Start);
  if (Plan.DaemonPid > 0)
    Result.DaemonCpuSeconds = readCpuSeconds(Plan.DaemonPid) - CpuBefore;
}

static std::string formatSide(const char *Name, const LoadSide &Side) {
  return fmt::format(
      "{}: sent {} served {} refused {} failed {} (timeouts {}, "
      "broken {}) late-starts {} "
      "p50 {:.3f} ms p99 {:.3f} ms p99.9 {:.3f} ms\n",
      Name, Side.Sent.load(), Side.Served.load(), Side.Refused.load(),
      Side.Failed.load(), Side.Timeouts.load(), Side.Broken.load(),
      Side.LateStarts.load(), getQuantile(Side.Latencies, 0.5),
      getQuantile(Side.Latencies, 0.99), getQuantile(Side.Latencies, 0.999));
}

std::string formatLoadResult(const LoadPlan &Plan, const LoadResult &Result) {
  std::string Text = formatSide("proxy", Result.Proxy);
  if (Plan.Direct.Port != 0) {
    Text += formatSide("direct", Result.Direct);
    const auto Added = [&](double Part) {
      return getQuantile(Result.Proxy.Latencies, Part) -
             getQuantile(Result.Direct.Latencies, Part);
    };
    Text += fmt::format("added: p50 {:.3f} ms p99 {:.3f} ms p99.9 {:.3f} ms\n",
                        Added(0.5), Added(0.99), Added(0.999));
  }
  Text += fmt::format("took {:.1f} s\n", Result.TookSeconds);
  if (Plan.DaemonPid > 0 && Result.Proxy.Sent > 0)
    Text += fmt::format("processor time a request: {:.0f} us\n",
                        Result.DaemonCpuSeconds * 1e6 /
                            static_cast<double>(Result.Proxy.Sent));
  Text += fmt::format("served {} of {}\n",
                      Result.Proxy.Served.load() + Result.Direct.Served.load(),
                      Result.Proxy.Sent.load() + Result.Direct.Sent.load());
  return Text;
}

} // namespace canvaswick
