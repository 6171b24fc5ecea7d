//===- CapacityBench.cpp - Cost per unit of load for sizing ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Measures settings, decisions, routes, subsets and detection within one
/// process, and lists all tables.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Bench/CapacityBench.h"
#include "CapacityTables.h"
#include "canvaswick/Bench/PolicyBench.h"
#include "canvaswick/Config/ConfigFollower.h"
#include "canvaswick/Proxy/FleetRuntime.h"

#include <fmt/format.h>

#include <unistd.h>

#include <algorithm>
#include <fstream>

namespace canvaswick {

/// Size of the fleet that the capacity is planned for.
static constexpr int TargetServices = 210;
static constexpr int TargetServers = 12000;

double readResidentMegabytes() {
  std::ifstream File("/proc/self/statm");
  uint64_t All = 0;
  uint64_t Resident = 0;
  File >> All >> Resident;
  return static_cast<double>(Resident) *
         static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

std::vector<std::string> makeNames(size_t Count) {
  std::vector<std::string> Names;
  Names.reserve(Count);
  for (size_t I = 0; I < Count; ++I)
    Names.push_back(fmt::format("entry-{:04}", I));
  return Names;
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
      Service.admit("", fromSeconds(1), Now, Wait);
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

static std::string measureDetection() {
  std::string Csv = "requests_a_second_a_daemon_and_server,"
                    "detection_p50_s,baseline_p50_s,control_bytes_per_s\n";
  for (const double Rate : {2.0, 8.0, 32.0, 128.0}) {
    Scenario Spec;
    Spec.Name = "slope";
    Spec.Servers = 10;
    Spec.Daemons = 40;
    Spec.Halls = {"a", "b", "c"};
    Spec.RequestsPerSecond = Rate;
    Spec.Length = fromSeconds(200);
    Fault Failing;
    Failing.Start = fromSeconds(60);
    Failing.End = fromSeconds(190);
    Spec.Faults = {Failing};
    std::vector<BenchResult> PooledResults;
    std::vector<BenchResult> Baseline;
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      PooledResults.push_back(runPolicyBench(Spec, PolicyKind::Pooled, Seed));
      Baseline.push_back(runPolicyBench(Spec, PolicyKind::Baseline, Seed));
    }
    Csv += fmt::format("{:.4f},{:.1f},{:.1f},{:.0f}\n", Rate / 400,
                       computeMedians(PooledResults).DetectionP50,
                       computeMedians(Baseline).DetectionP50,
                       computeMedians(PooledResults).ControlBytesPerSecond);
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
      {"starts", "a whole fleet that starts at once (model)", measureStarts},
      {"spread", "a configuration goes round in a hall (model)", measureSpread},
      {"gone", "servers that end while they stay listed (model)", measureGone},
      {"detection", "detection time against the rate seen", measureDetection},
  };
  return Tables;
}

} // namespace canvaswick
