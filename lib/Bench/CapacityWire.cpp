//===- CapacityWire.cpp - Capacity tables of control traffic --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Measures calls, membership, evidence pools and claims.
///
//===----------------------------------------------------------------------===//

#include "CapacityTables.h"
#include "canvaswick/Claims/ClaimWriter.h"
#include "canvaswick/Daemon/EvidenceAgent.h"
#include "canvaswick/Daemon/MembershipAgent.h"
#include "canvaswick/Health/EvidencePool.h"
#include "canvaswick/Json/JsonText.h"
#include "canvaswick/Rpc/PeerCaller.h"
#include "canvaswick/StandIn/PlatformStandIn.h"

#include <algorithm>
#include <memory>
#include <thread>

namespace canvaswick {

/// Makes calls over the loopback interface. Returns a CSV line with the bytes
/// and the CPU time per call.
static std::string measureCall(const char *Name, const Json::Value &Params,
                               const Json::Value &Answer) {
  const CallKey Key{"bench", "a-key-for-this-bench-only"};
  CallVerifier Verifier({Key});
  std::mutex VerifierMutex;
  CounterTable Counters;
  JsonRpcDispatcher Dispatcher;
  Dispatcher.add("bench.call",
                 [&Answer](const Json::Value &) { return Answer; });
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = 2;
  HttpServer Server(Limits, [&](HttpExchange &Exchange) {
    Exchange.Stream.setDeadline(readSteadyClock() + fromSeconds(5));
    serveCall(Exchange, Verifier, VerifierMutex, Dispatcher, Counters);
  });
  if (!Server.start({"127.0.0.1", 0}))
    return "";
  PeerCaller Caller(Key, &Counters);
  static constexpr int Calls = 2000;
  const CpuTimer Timer;
  for (int I = 0; I < Calls; ++I)
    (void)Caller.call({"127.0.0.1", Server.getPort()}, "bench.call", Params,
                      fromSeconds(5));
  return fmt::format("{},{},{},{:.0f}\n", Name,
                     Counters.get(Counter::ControlBytesSent) / Calls,
                     Counters.get(Counter::ControlBytesReceived) / Calls,
                     Timer.getSeconds() * 1e6 / Calls);
}

static Json::Value makePing(size_t Changes) {
  Json::Value Message;
  for (size_t I = 0; I < Changes; ++I)
    Message["changes"].append(encodeMember({fmt::format("entry-{:04}", I),
                                            "hall-number-3",
                                            {"10.20.3.200", 7400},
                                            1700000000000,
                                            MemberState::Alive}));
  Message["from"] = Message["changes"][0];
  Message["config"] = 4711;
  Message["confirmed"] = 1200;
  Message["vms"] = 42;
  return Message;
}

static Json::Value makeReports(size_t Services, size_t Servers) {
  Json::Value Params;
  for (size_t S = 0; S < Services; ++S) {
    EvidenceReport Report;
    Report.Service = fmt::format("service-{:03}", S);
    Report.Source = "entry-0001";
    Report.Hall = "hall-number-3";
    Report.Sequence = 1700000000123;
    Report.OtherGood = 120;
    Report.UsedServers = 6;
    for (size_t I = 0; I < Servers; ++I)
      Report.Servers.push_back(
          {4000000000u + static_cast<ServerId>(I), {3, 0, 1}});
    Params["reports"].append(encodeReport(Report));
  }
  return Params;
}

std::string measureCalls() {
  const Json::Value Empty(Json::objectValue);
  std::string Csv = "call,bytes_sent,bytes_received,us_both_sides\n";
  Csv += measureCall("empty", Empty, Empty);
  Csv += measureCall("ping, 1 change", makePing(1), makePing(1));
  Csv += measureCall("ping, 12 changes", makePing(12), makePing(12));
  Csv += measureCall("report, 1 service 1 server", makeReports(1, 1), Empty);
  Csv += measureCall("report, 3 services 3 servers", makeReports(3, 3), Empty);
  Csv += measureCall("report, 20 services 1 server", makeReports(20, 1), Empty);
  return Csv;
}

std::string measurePool() {
  std::string Csv = "daemons,servers,us_a_report,us_an_advance,state_kb\n";
  for (const int Daemons : {40, 100, 400, 1000}) {
    std::vector<PooledServer> Servers;
    Servers.reserve(57);
    for (int I = 0; I < 57; ++I)
      Servers.push_back({getServerId("s", fmt::format("v{}", I)), 4});
    const double Before = readResidentMegabytes();
    EvidencePool Pool("s", "o", getTuning(EjectionPreference::Balanced),
                      Servers, 50, 0);
    TimePoint Now = readSteadyClock();
    const CpuTimer Timer;
    static constexpr uint64_t Rounds = 20;
    for (uint64_t Round = 1; Round <= Rounds; ++Round) {
      Now += fromSeconds(1);
      for (int D = 0; D < Daemons; ++D) {
        EvidenceReport Report;
        Report.Service = "s";
        Report.Source = fmt::format("entry-{:04}", D);
        Report.Hall = fmt::format("h{}", D % 7);
        Report.Sequence = Round;
        Report.OtherGood = 10;
        Report.UsedServers = 6;
        Report.Servers.push_back(
            {Servers[static_cast<size_t>(D) % 57].Id, {2, 0, 1}});
        Pool.mergeReport(Report, Now);
      }
    }
    const double Report =
        Timer.getSeconds() * 1e6 / (static_cast<double>(Rounds) * Daemons);
    const CpuTimer Advance;
    for (int I = 0; I < 100; ++I)
      Pool.advance(Now);
    Csv += fmt::format("{},57,{:.1f},{:.0f},{:.0f}\n", Daemons, Report,
                       Advance.getSeconds() * 1e6 / 100,
                       (readResidentMegabytes() - Before) * 1000);
  }
  return Csv;
}

/// Claims keys of one shard from Askers threads for 2 s. Returns a CSV line.
static std::string measureClaimsWith(size_t Askers, Duration Gap) {
  PlatformStandIn Platform;
  if (!Platform.start({"127.0.0.1", 0}))
    return "";
  PlatformFaults Slow;
  Slow.SlowMs = 2;
  Platform.setFaults(Slow);
  PlatformClient Client({"127.0.0.1", Platform.getPort()}, nullptr);
  ClaimWriter Writer(Client, 0, fromSeconds(3600), Gap);
  std::atomic<uint64_t> Claims{0};
  const TimePoint Start = readSteadyClock();
  const TimePoint End = Start + fromSeconds(2);
  std::vector<std::thread> Threads;
  for (size_t T = 0; T < Askers; ++T)
    Threads.emplace_back([&, T] {
      for (uint64_t I = 0; readSteadyClock() < End; ++I) {
        ClaimEntry Entry;
        Entry.Key = fmt::format("{:016x}{:016x}", T, I);
        Entry.Claim = ++Claims;
        Entry.Fingerprint = Entry.Key;
        Entry.Holder = "entry-0001#1700000000000";
        Entry.TimeMillis = readCalendarMillis();
        Writer.begin(std::move(Entry));
      }
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  const double Seconds = toSeconds(readSteadyClock() - Start);
  return fmt::format("{},{},{:.0f},{:.0f},{:.1f}\n", Askers, toMillis(Gap),
                     static_cast<double>(Claims) / Seconds,
                     static_cast<double>(Writer.countWrites()) / Seconds,
                     static_cast<double>(Askers) * Seconds * 1000 /
                         static_cast<double>(Claims));
}

std::string measureClaims() {
  std::string Csv = "askers,gap_ms,claims_a_second,platform_writes_a_second,"
                    "ms_a_claim\n";
  for (const size_t Askers : {1u, 4u, 16u, 64u})
    for (const Duration Gap : {Duration::zero(), fromMillis(50)})
      Csv += measureClaimsWith(Askers, Gap);
  return Csv;
}

/// Exceeds the number of times that a table announces a change.
static constexpr int FirstAnnouncements = 40;

/// Lets the member tables of a whole fleet exchange one change until all know
/// it. Measures rounds, bytes and CPU time.
std::string measureMembers() {
  std::string Csv = "members,changes_a_second,bytes_a_ping,us_a_ping_to_handle,"
                    "rounds_until_all_know,table_kb\n";
  for (const size_t Count : {40u, 200u, 500u, 1000u}) {
    TimePoint Now{};
    const double Before = readResidentMegabytes();
    MembershipTuning Tuning;
    Tuning.ChangesPerMessage = Count;
    std::vector<MemberTable> Tables;
    const std::vector<std::string> Names = makeNames(Count);
    std::vector<MemberRecord> All;
    All.reserve(Count);
    for (const std::string &Name : Names)
      All.push_back({Name,
                     "hall-number-3",
                     {"10.20.3.200", 7400},
                     1,
                     MemberState::Alive});
    for (const MemberRecord &Self : All) {
      Tables.emplace_back(Self, Tuning, Now);
      for (const MemberRecord &Other : All)
        Tables.back().applyRecord(Other, Now);
    }
    const double TableKb =
        (readResidentMegabytes() - Before) * 1000 / static_cast<double>(Count);
    // The announcements of the initial members are used up first, so that only
    // the change of one member is measured.
    std::mt19937_64 Random(1);
    const auto ExchangeChanges = [&](size_t From, uint64_t &Bytes) {
      const size_t To = Random() % Count;
      Json::Value Message;
      for (const MemberRecord &Record :
           Tables[From].collectChanges(Names[To])) {
        Message["changes"].append(encodeMember(Record));
        Tables[To].applyRecord(Record, Now);
      }
      for (const MemberRecord &Record : Tables[To].collectChanges(Names[From]))
        Tables[From].applyRecord(Record, Now);
      Bytes += writeJson(Message).size();
    };
    for (MemberTable &Each : Tables)
      for (int I = 0; I < FirstAnnouncements; ++I)
        Each.collectChanges("nobody");
    All[0].Incarnation = 2;
    Tables[1].applyRecord(All[0], Now);
    int Rounds = 0;
    uint64_t Bytes = 0;
    const CpuTimer Timer;
    const auto Knows = [&](const MemberTable &Each) {
      return Each.getSelf().Name == Names[0] ||
             Each.find(Names[0])->Incarnation == 2;
    };
    while (!std::all_of(Tables.begin(), Tables.end(), Knows) && Rounds < 60) {
      ++Rounds;
      for (size_t From = 1; From < Count; ++From)
        ExchangeChanges(From, Bytes);
    }
    const double Pings =
        static_cast<double>(Rounds) * static_cast<double>(Count);
    Csv += fmt::format("{},1,{:.0f},{:.1f},{},{:.0f}\n", Count,
                       static_cast<double>(Bytes) / Pings,
                       Timer.getSeconds() * 1e6 / Pings, Rounds, TableKb);
  }
  return Csv;
}

} // namespace canvaswick
