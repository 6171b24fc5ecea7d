//===- CapacityBench.cpp - Measures the slopes that docs/CAPACITY.md is worked
// out from -===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Plain loops over the decision objects and small stand-ins.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Bench/CapacityBench.h"
#include "canvaswick/Bench/PolicyBench.h"
#include "canvaswick/Claims/ClaimWriter.h"
#include "canvaswick/Config/ConfigFollower.h"
#include "canvaswick/Daemon/EvidenceAgent.h"
#include "canvaswick/Daemon/MembershipAgent.h"
#include "canvaswick/Health/EvidencePool.h"
#include "canvaswick/Proxy/FleetRuntime.h"
#include "canvaswick/Rpc/PeerCaller.h"
#include "canvaswick/StandIn/PlatformStandIn.h"

#include <fmt/format.h>

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <memory>
#include <thread>

namespace canvaswick {

static constexpr int TargetServices = 210;
static constexpr int TargetServers = 12000;

namespace {

/// Processor time of this process between two points.
class CpuTimer {
public:
  CpuTimer() : Start(read()) {}
  double getSeconds() const { return read() - this->Start; }

private:
  static double read() {
    rusage Usage{};
    ::getrusage(RUSAGE_SELF, &Usage);
    return static_cast<double>(Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec) +
           static_cast<double>(Usage.ru_utime.tv_usec +
                               Usage.ru_stime.tv_usec) /
               1e6;
  }

  double Start;
};

} // namespace

/// Returns the resident memory of this process in megabytes.
static double readResidentMegabytes() {
  std::ifstream File("/proc/self/statm");
  uint64_t All = 0;
  uint64_t Resident = 0;
  File >> All >> Resident;
  return static_cast<double>(Resident) *
         static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

static std::string makeTree(int Services, int Servers, int Routes,
                            int Organisations) {
  std::string Text = "[region r]\nslots = 4\n";
  for (int S = 0; S < Services; ++S)
    Text += fmt::format("[service s{0}]\nregion = r\n", S);
  for (int I = 0; I < Servers; ++I)
    Text +=
        fmt::format("[server s{}/v{}]\naddress = 10.{}.{}.{}:9000\n"
                    "hall = h{}\n",
                    I % Services, I, I / 65536, I / 256 % 256, I % 256, I % 7);
  for (int I = 0; I < Routes; ++I)
    Text += fmt::format("[route r{0}]\nhost = h{1}.example\nprefix = /p{0}\n"
                        "service = s{2}\n",
                        I, I % 100, I % Services);
  for (int I = 0; I < Organisations; ++I)
    Text += fmt::format("[organisation o{}]\nrequests-per-second = 50\n", I);
  return Text;
}

static std::vector<std::string> makeNames(size_t Count) {
  std::vector<std::string> Names;
  for (size_t I = 0; I < Count; ++I)
    Names.push_back(fmt::format("entry-{:04}", I));
  return Names;
}

static std::string measureSettings() {
  std::string Csv = "servers,routes,organisations,text_mb,parts,accept_ms,"
                    "small_change_ms,resident_mb\n";
  for (const double Scale : {0.125, 0.25, 0.5, 1.0}) {
    const int Servers = static_cast<int>(TargetServers * Scale);
    const int Routes = static_cast<int>(10000 * Scale);
    const int Organisations = static_cast<int>(69000 * Scale);
    const double Before = readResidentMegabytes();
    const std::string Text = makeTree(static_cast<int>(TargetServices * Scale),
                                      Servers, Routes, Organisations);
    ConfigFollower Follower;
    FleetConfigRef Config;
    ConfigManifest Manifest;
    {
      ConfigTexts Texts;
      Manifest.Version = 1;
      Manifest.Parts = splitTree(Text, Texts);
      const CpuTimer Timer;
      Config = Follower.accept(Manifest, Texts).value();
      Csv += fmt::format("{},{},{},{:.2f},{},{:.0f},", Servers, Routes,
                         Organisations, static_cast<double>(Text.size()) / 1e6,
                         Manifest.Parts.size(), Timer.getSeconds() * 1000);
    }
    {
      ConfigTexts Texts;
      ConfigManifest Next;
      Next.Version = 2;
      Next.Parts = splitTree(Text + "[region x]\n", Texts);
      const CpuTimer Timer;
      Config = Follower.accept(Next, Texts).value();
      Csv += fmt::format("{:.0f},{:.1f}\n", Timer.getSeconds() * 1000,
                         readResidentMegabytes() - Before);
    }
  }
  return Csv;
}

static ServiceConfig makeService(int Servers) {
  ServiceConfig Service;
  Service.Name = "s";
  Service.DeadlineMs = 1000;
  Service.MaxInFlight = 1000;
  Service.FloorPercent = 50;
  Service.ObjectiveMs = 100;
  for (int I = 0; I < Servers; ++I) {
    ServerConfig Server;
    Server.Name = fmt::format("v{}", I);
    Server.Slots = 4;
    Server.Connections = 250;
    Server.Hall = fmt::format("h{}", I % 7);
    Service.Servers.push_back(Server);
  }
  return Service;
}

static std::string measureDecisions() {
  std::string Csv = "servers,us_a_request,us_an_advance\n";
  static constexpr int Requests = 20000;
  for (const int Servers : {6, 16, 57, 200}) {
    DaemonIdentity Identity;
    Identity.Name = "d";
    Identity.Hall = "h0";
    Identity.Daemons = {"d"};
    TimePoint Now = readSteadyClock();
    ServiceRuntime Service(makeService(Servers), Identity, nullptr, Now);
    const CpuTimer Timer;
    for (int I = 0; I < Requests; ++I) {
      Now += fromMillis(1);
      Duration Wait{};
      Service.admit(fromSeconds(1), Now, Wait);
      Attempt Current;
      Service.begin(Current, {}, Now);
      Service.end(Current, RequestOutcome::Good, Now + fromMillis(1));
      Service.finish(AnswerKind::Good, fromMillis(1), Now);
    }
    const double Request = Timer.getSeconds() * 1e6 / Requests;
    const CpuTimer Advance;
    for (int I = 0; I < 2000; ++I) {
      Now += fromMillis(100);
      Service.advance(Now);
    }
    Csv += fmt::format("{},{:.2f},{:.2f}\n", Servers, Request,
                       Advance.getSeconds() * 1e6 / 2000);
  }
  return Csv;
}

static std::string measureRoutes() {
  std::string Csv = "routes,us_a_lookup\n";
  for (const int Count : {100, 1000, 5000, 10000}) {
    std::vector<RouteConfig> Routes(static_cast<size_t>(Count));
    for (int I = 0; I < Count; ++I) {
      Routes[static_cast<size_t>(I)].Host = fmt::format("h{}.example", I % 100);
      Routes[static_cast<size_t>(I)].Prefix = fmt::format("/p{}", I);
    }
    const RouteTable Table(Routes);
    static constexpr int Lookups = 100000;
    int Found = 0;
    const CpuTimer Timer;
    for (int I = 0; I < Lookups; ++I)
      Found += Table.find("h7.example", "/p107/some/deeper/path") != nullptr;
    Csv +=
        fmt::format("{},{:.2f}\n", Count, Timer.getSeconds() * 1e6 / Lookups);
    (void)Found;
  }
  return Csv;
}

static std::string measureSubsets() {
  std::string Csv = "daemons,servers_a_daemon,fewest_servers_of_a_service,"
                    "most_connections_a_server,most_load_over_mean,build_ms\n";
  static constexpr int Services = 20;
  const ServiceConfig Base = makeService(TargetServers / TargetServices);
  for (const size_t Daemons : {50u, 100u, 250u, 500u, 1000u}) {
    const std::vector<std::string> Names = makeNames(Daemons);
    double Chosen = 0;
    size_t Fewest = Base.Servers.size();
    int MostConnections = 0;
    double MostLoad = 0;
    double MeanLoad = 0;
    int LoadedServers = 0;
    const CpuTimer Timer;
    for (int S = 0; S < Services; ++S) {
      ServiceConfig Service = Base;
      Service.Name = fmt::format("s{}", S);
      std::vector<int> Connections(Service.Servers.size(), 0);
      std::vector<double> Load(Service.Servers.size(), 0);
      for (const std::string &Name : Names) {
        const ServerSubset Subset =
            chooseSubset(Service, Name, Names, static_cast<int>(Daemons));
        Chosen += static_cast<double>(Subset.Servers.size());
        Fewest = std::min(Fewest, Subset.Servers.size());
        for (size_t I = 0; I < Subset.Servers.size(); ++I) {
          Connections[Subset.Servers[I]] += Subset.Connections[I];
          Load[Subset.Servers[I]] +=
              1.0 / static_cast<double>(Subset.Servers.size());
        }
      }
      for (size_t I = 0; I < Load.size(); ++I) {
        MostConnections = std::max(MostConnections, Connections[I]);
        MostLoad = std::max(MostLoad, Load[I]);
        MeanLoad += Load[I];
        ++LoadedServers;
      }
    }
    const double PerDaemon =
        Chosen / static_cast<double>(Daemons) / Services * TargetServices;
    const double BuildMs = Timer.getSeconds() * 1000 /
                           static_cast<double>(Daemons) / Services *
                           TargetServices;
    Csv += fmt::format("{},{:.0f},{},{},{:.2f},{:.0f}\n", Daemons, PerDaemon,
                       Fewest, MostConnections,
                       MostLoad / (MeanLoad / LoadedServers), BuildMs);
  }
  return Csv;
}

/// Makes calls over loopback and returns a line of bytes and times a call.
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
  Limits.Workers = 2;
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

static std::string measureCalls() {
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

static std::string measurePool() {
  std::string Csv = "daemons,servers,us_a_report,us_an_advance,state_kb\n";
  for (const int Daemons : {40, 100, 400, 1000}) {
    std::vector<PooledServer> Servers;
    for (int I = 0; I < 57; ++I)
      Servers.push_back({getServerId("s", fmt::format("v{}", I)), 4});
    const double Before = readResidentMegabytes();
    EvidencePool Pool("s", "o", getTuning(Weighing::Balanced), Servers, 50, 0);
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
        Pool.takeReport(Report, Now);
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

/// Lets Askers threads claim keys of one shard for some seconds.
static std::string measureClaimsWith(size_t Askers, Duration Gap) {
  PlatformStandIn Stand;
  if (!Stand.start({"127.0.0.1", 0}))
    return "";
  PlatformFaults Slow;
  Slow.SlowMs = 2;
  Stand.setFaults(Slow);
  PlatformClient Client({"127.0.0.1", Stand.getPort()}, nullptr);
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

static std::string measureClaims() {
  std::string Csv = "askers,gap_ms,claims_a_second,platform_writes_a_second,"
                    "ms_a_claim\n";
  for (const size_t Askers : {1u, 4u, 16u, 64u})
    for (const Duration Gap : {Duration::zero(), fromMillis(50)})
      Csv += measureClaimsWith(Askers, Gap);
  return Csv;
}

static std::string measureDetection() {
  std::string Csv = "requests_a_second_a_daemon_and_server,"
                    "detection_p50_s,baseline_p50_s,control_bytes_per_s\n";
  for (const double Rate : {2.0, 8.0, 32.0, 128.0}) {
    Scenario Under;
    Under.Name = "slope";
    Under.Servers = 10;
    Under.Daemons = 40;
    Under.Halls = {"a", "b", "c"};
    Under.RequestsPerSecond = Rate;
    Under.Length = fromSeconds(200);
    Fault Failing;
    Failing.Start = fromSeconds(60);
    Failing.End = fromSeconds(190);
    Under.Faults = {Failing};
    std::vector<BenchResult> Ours;
    std::vector<BenchResult> Baseline;
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      Ours.push_back(runPolicyBench(Under, PolicyKind::Pooled, Seed));
      Baseline.push_back(runPolicyBench(Under, PolicyKind::Baseline, Seed));
    }
    Csv += fmt::format("{:.4f},{:.1f},{:.1f},{:.0f}\n", Rate / 400,
                       computeMedians(Ours).DetectionP50,
                       computeMedians(Baseline).DetectionP50,
                       computeMedians(Ours).ControlBytesPerSecond);
  }
  return Csv;
}

/// More than a table passes on any one change.
static constexpr int FirstAnnouncements = 40;

/// Lets a whole fleet of tables talk for a while and counts bytes and time.
static std::string measureMembers() {
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
    for (const std::string &Name : Names)
      All.push_back({Name,
                     "hall-number-3",
                     {"10.20.3.200", 7400},
                     1,
                     MemberState::Alive});
    for (const MemberRecord &Self : All) {
      Tables.emplace_back(Self, Tuning, Now);
      for (const MemberRecord &Other : All)
        Tables.back().take(Other, Now);
    }
    const double TableKb =
        (readResidentMegabytes() - Before) * 1000 / static_cast<double>(Count);
    // Spend the first announcements, then let one member change.
    std::mt19937_64 Random(1);
    const auto Talk = [&](size_t From, uint64_t &Bytes) {
      const size_t To = Random() % Count;
      Json::Value Message;
      for (const MemberRecord &Record : Tables[From].takeChanges(Names[To])) {
        Message["changes"].append(encodeMember(Record));
        Tables[To].take(Record, Now);
      }
      for (const MemberRecord &Record : Tables[To].takeChanges(Names[From]))
        Tables[From].take(Record, Now);
      Json::StreamWriterBuilder Writer;
      Writer["indentation"] = "";
      Bytes += Json::writeString(Writer, Message).size();
    };
    for (MemberTable &Each : Tables)
      for (int I = 0; I < FirstAnnouncements; ++I)
        Each.takeChanges("nobody");
    All[0].Incarnation = 2;
    Tables[1].take(All[0], Now);
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
        Talk(From, Bytes);
    }
    const double Pings =
        static_cast<double>(Rounds) * static_cast<double>(Count);
    Csv += fmt::format("{},1,{:.0f},{:.1f},{},{:.0f}\n", Count,
                       static_cast<double>(Bytes) / Pings,
                       Timer.getSeconds() * 1e6 / Pings, Rounds, TableKb);
  }
  return Csv;
}

const std::vector<CapacityTable> &getCapacityTables() {
  static const std::vector<CapacityTable> Tables = {
      {"settings", "time and memory to accept a tree", measureSettings},
      {"decisions", "processor time a request and a round", measureDecisions},
      {"routes", "processor time a route lookup", measureRoutes},
      {"subsets", "connections and balance against daemons", measureSubsets},
      {"calls", "bytes and processor time a call", measureCalls},
      {"members", "spread and bytes of membership", measureMembers},
      {"pool", "processor time and memory of a pool", measurePool},
      {"claims", "claims against platform writes, 2 ms platform",
       measureClaims},
      {"detection", "detection time against the rate seen", measureDetection},
  };
  return Tables;
}

} // namespace canvaswick
