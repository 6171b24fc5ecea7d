//===- LimitSimulation.h - Simulation of server rate limits -----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Simulates the daemons of a fleet with one service in virtual time. Some of
/// the servers state a limit: the requests a second that they accept from all
/// daemons together. From three seconds after a server first states one, the
/// requests that it gets in any four seconds, from daemons that it informed at
/// least half a second before, must not exceed one and a half times the limit
/// plus five.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_SERVERLIMIT_LIMITSIMULATION_H
#define CANVASWICK_UNITTESTS_SERVERLIMIT_LIMITSIMULATION_H

#include "canvaswick/Proxy/ServiceRuntime.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <list>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace canvaswick {

/// The limit that limited servers state from AtMs on, or nothing for no limit.
struct LimitStep {
  int AtMs = 0;
  std::optional<double> PerSecond;
};

/// A fault that affects some daemons for a while.
enum class LimitFault : uint8_t {
  /// The daemons reach no other daemon; callers and servers reach them.
  Cut,
  /// The daemons restart at once and lose all state.
  Restart,
  /// The daemons have died, and the others do not know it yet.
  Dead,
};

/// A fault of the daemons whose index is a multiple of Stride.
struct FaultEvent {
  LimitFault Kind = LimitFault::Cut;
  int FromMs = 0;
  int DurationMs = 0;
  size_t Stride = 3;
};

/// The parameters of one run.
struct LimitScenario {
  int Halls = 3;
  int DaemonsOfHall = 12;
  int Servers = 16;
  /// Number of servers that state limits: the first ones.
  int Limited = 1;
  double RequestsPerSecond = 63;
  /// Factor by which the request rate grows from SurgeMs on.
  double SurgeFactor = 1;
  int SurgeMs = 0;
  int ServiceMs = 240;
  std::vector<LimitStep> Steps = {{5000, 1.5}};
  std::vector<FaultEvent> Events;
  int LengthMs = 30000;
  uint64_t Seed = 1;
};

/// The result of a run, for the limited servers.
struct LimitOutcome {
  /// Maximum over all windows of four seconds of the requests received, as a
  /// fraction of the bound.
  double MaxFill = 0;
  /// Requests received from three seconds after the first limit on, as a
  /// fraction of what the limits allow.
  double UsedFraction = 0;
  /// Requests for which no server was available.
  uint64_t Rejected = 0;
  /// Messages that held a limit report.
  uint64_t Messages = 0;
};

class LimitSimulation {
public:
  explicit LimitSimulation(const LimitScenario &Given)
      : Scenario(Given), Random(Given.Seed),
        Arrivals(static_cast<size_t>(Given.Limited)) {
    for (int Hall = 0; Hall < Given.Halls; ++Hall)
      for (int I = 0; I < Given.DaemonsOfHall; ++I)
        this->Names.push_back(fmt::format("h{}-d{:02}", Hall, I));
    for (const std::string &Name : this->Names)
      this->Daemons.emplace_back(this->makeNoticeTable(Name), Given.Limited);
    for (size_t I = 0; I < this->Daemons.size(); ++I)
      this->Daemons[I].Service = this->makeService(I);
  }

  LimitOutcome run() {
    for (int Ms = 0; Ms < this->Scenario.LengthMs; Ms += StepMs) {
      this->Now = Begin + fromMillis(Ms);
      this->endRequests();
      this->restartDaemons(Ms);
      this->sendRequests(Ms);
      if (Ms % ReportMs == 0)
        this->sendReports();
    }
    this->endAllRequests();
    return this->evaluate();
  }

private:
  static constexpr int StepMs = 5;
  static constexpr TimePoint Begin{fromSeconds(1000)};
  static constexpr int ReportMs = 50;
  static constexpr int RemoteReportMs = 400;
  static constexpr int WindowMs = 4000;
  static constexpr int InformMs = 500;
  static constexpr int SettleMs = 3000;

  struct SentRequest {
    Attempt SentAttempt;
    TimePoint Ends{};
  };

  struct Daemon {
    ServerNoticeTableRef NoticeTable;
    ServiceRuntimeRef Service;
    std::list<SentRequest> InFlight;
    /// Time at which each limited server first informed the daemon of its
    /// limit.
    std::vector<std::optional<TimePoint>> InformedAt;
    Daemon(ServerNoticeTableRef NoticeTable, int Limited)
        : NoticeTable(std::move(NoticeTable)),
          InformedAt(static_cast<size_t>(Limited)) {}
  };

  struct Arrival {
    TimePoint At{};
    bool IsInformed = false;
  };

  static std::string getHall(const std::string &Daemon) {
    return Daemon.substr(0, 2);
  }

  ServerNoticeTableRef makeNoticeTable(const std::string &Name) const {
    FleetDaemons Fleet;
    Fleet.Self = Name;
    Fleet.All = this->Names;
    for (const std::string &Each : this->Names)
      Fleet.Halls[getHall(Each)].push_back(Each);
    ServerNoticeTableRef NoticeTable(new ServerNoticeTable);
    NoticeTable->with([&](ServerNotices &All) { All.setFleet(Fleet, Begin); });
    return NoticeTable;
  }

  ServiceRuntimeRef makeService(size_t Daemon) const {
    const std::string &Name = this->Names[Daemon];
    ServiceConfig Config;
    Config.Name = "s";
    Config.FloorPercent = 70;
    Config.MaxInFlight = 512;
    Config.ObjectiveMs = 1000;
    for (int I = 0; I < this->Scenario.Servers; ++I) {
      ServerConfig Server;
      Server.Name = fmt::format("b{:02}", I);
      Server.Hall = fmt::format("h{}", I % this->Scenario.Halls);
      Server.Slots = 3;
      Server.Connections = 330;
      Config.Servers.push_back(Server);
    }
    DaemonIdentity Identity;
    Identity.Name = Name;
    Identity.Hall = getHall(Name);
    Identity.Notices = this->Daemons[Daemon].NoticeTable;
    Identity.Daemons = this->Names;
    Identity.Source = SettingsSource::Platform;
    return new ServiceRuntime(Config, Identity, nullptr, Begin);
  }

  /// Returns the limit that limited servers state at an instant.
  std::optional<double> getLimit(TimePoint At) const {
    std::optional<double> Limit;
    for (const LimitStep &Each : this->Scenario.Steps)
      if (Begin + fromMillis(Each.AtMs) <= At)
        Limit = Each.PerSecond;
    return Limit;
  }

  /// Ends all requests in flight, so that nothing refers to their attempts.
  void endAllRequests() {
    this->Now += fromSeconds(60);
    this->endRequests();
  }

  /// Returns whether a daemon has a fault of a kind now.
  bool hasFault(LimitFault Kind, size_t Daemon) const {
    const int64_t Ms = toMillis(this->Now - Begin);
    return std::any_of(this->Scenario.Events.begin(),
                       this->Scenario.Events.end(),
                       [&](const FaultEvent &Event) {
                         return Event.Kind == Kind && Ms >= Event.FromMs &&
                                Ms < Event.FromMs + Event.DurationMs &&
                                Daemon % Event.Stride == 0;
                       });
  }

  /// Restarts the daemons whose restart is due at Ms. Their requests in flight
  /// are canceled.
  void restartDaemons(int Ms) {
    for (const FaultEvent &Event : this->Scenario.Events)
      for (size_t I = 0; I < this->Daemons.size(); ++I)
        if (Event.Kind == LimitFault::Restart && Ms == Event.FromMs &&
            I % Event.Stride == 0)
          this->restartDaemon(I);
  }

  void restartDaemon(size_t Index) {
    Daemon &Each = this->Daemons[Index];
    for (SentRequest &Request : Each.InFlight)
      Each.Service->end(Request.SentAttempt, RequestOutcome::Canceled,
                        this->Now);
    Each.InFlight.clear();
    std::fill(Each.InformedAt.begin(), Each.InformedAt.end(), std::nullopt);
    Each.NoticeTable = this->makeNoticeTable(this->Names[Index]);
    Each.Service = this->makeService(Index);
  }

  void endRequests() {
    for (Daemon &Each : this->Daemons)
      for (auto Request = Each.InFlight.begin();
           Request != Each.InFlight.end();)
        Request = this->endIfDone(Each, Request);
  }

  std::list<SentRequest>::iterator
  endIfDone(Daemon &At, std::list<SentRequest>::iterator Request) {
    if (Request->Ends > this->Now)
      return std::next(Request);
    ServerNotice Notice;
    Notice.MayEndLimit = true;
    if (Request->SentAttempt.Server < At.InformedAt.size()) {
      Notice.RequestsPerSecond = this->getLimit(this->Now);
      std::optional<TimePoint> &FirstInformed =
          At.InformedAt[Request->SentAttempt.Server];
      if (Notice.RequestsPerSecond && !FirstInformed)
        FirstInformed = this->Now;
    }
    (void)At.Service->handleNotice(Request->SentAttempt, Notice, this->Now);
    At.Service->end(Request->SentAttempt, RequestOutcome::Good, this->Now);
    return At.InFlight.erase(Request);
  }

  /// Has each daemon send its changed limit reports to its hall, and a randomly
  /// drawn daemon of each hall send all its reports to the other halls. Two
  /// percent of the messages are lost.
  void sendReports() {
    for (size_t I = 0; I < this->Daemons.size(); ++I) {
      if (this->hasFault(LimitFault::Cut, I) ||
          this->hasFault(LimitFault::Dead, I))
        continue;
      const std::vector<LimitReport> ChangedReports =
          this->Daemons[I].NoticeTable->with([&](ServerNotices &All) {
            return All.drainLimitReports(5, this->Now);
          });
      const std::vector<LimitReport> AllReports =
          this->Daemons[I].NoticeTable->with([&](const ServerNotices &All) {
            return All.listLimitReports(5, this->Now);
          });
      std::uniform_int_distribution<int> ReportDraw(
          0, this->Scenario.DaemonsOfHall * RemoteReportMs / ReportMs);
      const bool ReportsRemotely = ReportDraw(this->Random) == 0;
      for (size_t To = 0; To < this->Daemons.size(); ++To) {
        const bool IsSameHall =
            getHall(this->Names[I]) == getHall(this->Names[To]);
        if (To != I && (IsSameHall || ReportsRemotely))
          this->deliverReports(IsSameHall ? ChangedReports : AllReports, To);
      }
    }
  }

  void deliverReports(const std::vector<LimitReport> &Reports, size_t To) {
    std::bernoulli_distribution IsLost(0.02);
    if (Reports.empty() || IsLost(this->Random) ||
        this->hasFault(LimitFault::Cut, To))
      return;
    ++this->Outcome.Messages;
    for (const LimitReport &Each : Reports)
      (void)this->Daemons[To].Service->applyPeerLimit(Each, this->Now);
  }

  void sendRequests(int Ms) {
    const double Factor =
        Ms >= this->Scenario.SurgeMs ? this->Scenario.SurgeFactor : 1;
    std::poisson_distribution<int> RequestCount(
        this->Scenario.RequestsPerSecond * Factor * StepMs / 1000);
    std::uniform_int_distribution<size_t> AnyDaemon(0,
                                                    this->Daemons.size() - 1);
    for (int Remaining = RequestCount(this->Random); Remaining > 0;
         --Remaining) {
      const size_t From = AnyDaemon(this->Random);
      if (!this->hasFault(LimitFault::Dead, From))
        this->sendRequest(this->Daemons[From]);
    }
  }

  void sendRequest(Daemon &From) {
    AttemptNeeds Needs;
    Needs.Class = RouteClass::Once;
    Needs.Route = "r";
    Needs.Objective = fromSeconds(1);
    Needs.ObjectiveDeadline = this->Now + Needs.Objective;
    Needs.Deadline = this->Now + fromSeconds(6);
    From.InFlight.emplace_back();
    SentRequest &Started = From.InFlight.back();
    if (!From.Service->begin(Started.SentAttempt, Needs, this->Now)) {
      From.InFlight.pop_back();
      ++this->Outcome.Rejected;
      return;
    }
    std::uniform_real_distribution<double> Spread(0.5, 1.5);
    const double ServiceMs = this->Scenario.ServiceMs * Spread(this->Random);
    Started.Ends = this->Now + fromSeconds(ServiceMs / 1000);
    const size_t Server = Started.SentAttempt.Server;
    if (Server >= From.InformedAt.size())
      return;
    const std::optional<TimePoint> &FirstInformed = From.InformedAt[Server];
    const bool IsInformed =
        FirstInformed && this->Now - *FirstInformed >= fromMillis(InformMs);
    this->Arrivals[Server].push_back({this->Now, IsInformed});
  }

  /// Returns the number of requests that the limits allow in the window from an
  /// instant on, or nothing if no limit is in force for a part of it.
  std::optional<double> computeAllowed(TimePoint From) const {
    double Allowed = 0;
    for (int Ms = 0; Ms < WindowMs; Ms += StepMs) {
      const std::optional<double> Limit = this->getLimit(From + fromMillis(Ms));
      if (!Limit)
        return std::nullopt;
      Allowed += *Limit * StepMs / 1000;
    }
    return Allowed;
  }

  LimitOutcome evaluate() {
    const TimePoint First =
        Begin + fromMillis(this->Scenario.Steps.at(0).AtMs + SettleMs);
    const TimePoint Last =
        Begin + fromMillis(this->Scenario.LengthMs - WindowMs);
    for (TimePoint From = First; From <= Last; From += fromMillis(20)) {
      const std::optional<double> Allowed = this->computeAllowed(From);
      if (!Allowed)
        continue;
      for (const std::vector<Arrival> &ServerArrivals : this->Arrivals)
        this->Outcome.MaxFill =
            std::max(this->Outcome.MaxFill,
                     static_cast<double>(countInformed(ServerArrivals, From)) /
                         (1.5 * *Allowed + 5));
    }
    this->Outcome.UsedFraction = this->computeUsedFraction(First);
    return this->Outcome;
  }

  static int64_t countInformed(const std::vector<Arrival> &ServerArrivals,
                               TimePoint From) {
    const auto First = std::lower_bound(
        ServerArrivals.begin(), ServerArrivals.end(), From,
        [](const Arrival &Each, TimePoint At) { return Each.At < At; });
    return std::count_if(
        First, ServerArrivals.end(), [From](const Arrival &Each) {
          return Each.IsInformed && Each.At < From + fromMillis(WindowMs);
        });
  }

  double computeUsedFraction(TimePoint From) const {
    double Allowed = 0;
    double ReceivedCount = 0;
    const TimePoint End = Begin + fromMillis(this->Scenario.LengthMs);
    for (TimePoint At = From; At < End; At += fromMillis(StepMs))
      Allowed += this->getLimit(At).value_or(0) * StepMs / 1000;
    for (const std::vector<Arrival> &ServerArrivals : this->Arrivals)
      for (const Arrival &Each : ServerArrivals)
        ReceivedCount += Each.At >= From && this->getLimit(Each.At) ? 1 : 0;
    return Allowed > 0 ? ReceivedCount / Allowed / this->Scenario.Limited : 0;
  }

  const LimitScenario Scenario;
  std::mt19937_64 Random;
  std::vector<std::string> Names;
  std::deque<Daemon> Daemons;
  std::vector<std::vector<Arrival>> Arrivals;
  TimePoint Now = Begin;
  LimitOutcome Outcome;
};

} // namespace canvaswick

#endif // CANVASWICK_UNITTESTS_SERVERLIMIT_LIMITSIMULATION_H
