//===- LimitPlay.h - A fleet and a server that names a limit ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Plays the daemons of a fleet before one service in virtual time. Some of its
/// servers name how many requests a second they take from all daemons together.
/// What each then gets from daemons that it told half a second before or
/// earlier must stay, in any four seconds, within one and a half times that and
/// five more, from three seconds after it first named one.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_UNITTESTS_SERVERLIMIT_LIMITPLAY_H
#define CANVASWICK_UNITTESTS_SERVERLIMIT_LIMITPLAY_H

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

/// What the servers that are in need say from a time on; nothing: no limit.
struct LimitStep {
  int AtMs = 0;
  std::optional<double> PerSecond;
};

/// What happens to some daemons for a while.
enum class LimitTrouble : uint8_t {
  /// They reach no other daemon; callers and servers reach them.
  Cut,
  /// They end, and come back at once having forgotten everything.
  Restart,
  /// They are gone, and the others do not know it yet.
  Gone,
};

/// One stretch of trouble, for daemons whose index is a multiple of Each.
struct LimitEvent {
  LimitTrouble Kind = LimitTrouble::Cut;
  int FromMs = 0;
  int ForMs = 0;
  size_t Each = 3;
};

/// One play.
struct LimitScenario {
  int Halls = 3;
  int DaemonsOfHall = 12;
  int Servers = 16;
  /// The first so many name limits.
  int Limited = 1;
  double RequestsPerSecond = 63;
  /// From SurgeMs on this many times as much is asked.
  double SurgeTimes = 1;
  int SurgeMs = 0;
  int WorkMs = 240;
  std::vector<LimitStep> Steps = {{5000, 1.5}};
  std::vector<LimitEvent> Events;
  int LengthMs = 30000;
  uint64_t Seed = 1;
};

/// What came of it, for the limited servers.
struct LimitOutcome {
  /// The most of the bound that any four seconds were filled to.
  double WorstFill = 0;
  /// Arrivals from three seconds after the first limit on, as a part of what
  /// the limits allow.
  double Used = 0;
  /// Requests that no server could take.
  uint64_t Unplaced = 0;
  /// Messages that held a limit.
  uint64_t Messages = 0;
};

class LimitPlay {
public:
  explicit LimitPlay(const LimitScenario &Given)
      : Scenario(Given), Random(Given.Seed),
        Arrivals(static_cast<size_t>(Given.Limited)) {
    for (int Hall = 0; Hall < Given.Halls; ++Hall)
      for (int I = 0; I < Given.DaemonsOfHall; ++I)
        this->Names.push_back(fmt::format("h{}-d{:02}", Hall, I));
    for (const std::string &Name : this->Names)
      this->Daemons.emplace_back(this->makeBoard(Name), Given.Limited);
    for (size_t I = 0; I < this->Daemons.size(); ++I)
      this->Daemons[I].Service = this->makeService(I);
  }

  LimitOutcome run() {
    for (int Ms = 0; Ms < this->Scenario.LengthMs; Ms += StepMs) {
      this->Now = Begin + fromMillis(Ms);
      this->endRequests();
      this->restart(Ms);
      this->send(Ms);
      if (Ms % TellMs == 0)
        this->tell();
    }
    this->endAll();
    return this->judge();
  }

private:
  static constexpr int StepMs = 5;
  static constexpr TimePoint Begin{fromSeconds(1000)};
  static constexpr int TellMs = 50;
  static constexpr int FarTellMs = 400;
  static constexpr int WindowMs = 4000;
  static constexpr int ToldMs = 500;
  static constexpr int ContactMs = 3000;

  struct Sent {
    Attempt Try;
    TimePoint Ends{};
  };

  struct Daemon {
    ServerNoticeTableRef Board;
    ServiceRuntimeRef Service;
    std::list<Sent> Out;
    /// When each limited server first told it.
    std::vector<std::optional<TimePoint>> ToldAt;
    Daemon(ServerNoticeTableRef Board, int Limited)
        : Board(std::move(Board)), ToldAt(static_cast<size_t>(Limited)) {}
  };

  struct Arrival {
    TimePoint At{};
    bool IsTold = false;
  };

  static std::string getHall(const std::string &Daemon) {
    return Daemon.substr(0, 2);
  }

  ServerNoticeTableRef makeBoard(const std::string &Name) const {
    FleetDaemons Fleet;
    Fleet.Self = Name;
    Fleet.All = this->Names;
    for (const std::string &Each : this->Names)
      Fleet.Halls[getHall(Each)].push_back(Each);
    ServerNoticeTableRef Board(new ServerNoticeTable);
    Board->with([&](ServerNotices &All) { All.setFleet(Fleet, Begin); });
    return Board;
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
    Identity.Notices = this->Daemons[Daemon].Board;
    Identity.Daemons = this->Names;
    Identity.Source = SettingsSource::Platform;
    return new ServiceRuntime(Config, Identity, nullptr, Begin);
  }

  /// Returns what limited servers say at an instant.
  std::optional<double> getLimit(TimePoint At) const {
    std::optional<double> Named;
    for (const LimitStep &Each : this->Scenario.Steps)
      if (Begin + fromMillis(Each.AtMs) <= At)
        Named = Each.PerSecond;
    return Named;
  }

  /// Ends what is still out, so that nothing refers to it.
  void endAll() {
    this->Now += fromSeconds(60);
    this->endRequests();
  }

  /// Returns whether a kind of trouble has hit a daemon now.
  bool isHit(LimitTrouble Kind, size_t Daemon) const {
    const int64_t Ms = toMillis(this->Now - Begin);
    return std::any_of(this->Scenario.Events.begin(),
                       this->Scenario.Events.end(),
                       [&](const LimitEvent &Event) {
                         return Event.Kind == Kind && Ms >= Event.FromMs &&
                                Ms < Event.FromMs + Event.ForMs &&
                                Daemon % Event.Each == 0;
                       });
  }

  /// Has those forget everything that start anew now. What they have out goes
  /// with them.
  void restart(int Ms) {
    for (const LimitEvent &Event : this->Scenario.Events)
      for (size_t I = 0; I < this->Daemons.size(); ++I)
        if (Event.Kind == LimitTrouble::Restart && Ms == Event.FromMs &&
            I % Event.Each == 0)
          this->restartOne(I);
  }

  void restartOne(size_t Index) {
    Daemon &Each = this->Daemons[Index];
    for (Sent &Request : Each.Out)
      Each.Service->end(Request.Try, RequestOutcome::Canceled, this->Now);
    Each.Out.clear();
    std::fill(Each.ToldAt.begin(), Each.ToldAt.end(), std::nullopt);
    Each.Board = this->makeBoard(this->Names[Index]);
    Each.Service = this->makeService(Index);
  }

  void endRequests() {
    for (Daemon &Each : this->Daemons)
      for (auto Request = Each.Out.begin(); Request != Each.Out.end();)
        Request = this->endIfDone(Each, Request);
  }

  std::list<Sent>::iterator endIfDone(Daemon &At,
                                      std::list<Sent>::iterator Request) {
    if (Request->Ends > this->Now)
      return std::next(Request);
    ServerNotice Notice;
    Notice.MayEndLimit = true;
    if (Request->Try.Server < At.ToldAt.size()) {
      Notice.RequestsPerSecond = this->getLimit(this->Now);
      std::optional<TimePoint> &Told = At.ToldAt[Request->Try.Server];
      if (Notice.RequestsPerSecond && !Told)
        Told = this->Now;
    }
    (void)At.Service->handleNotice(Request->Try, Notice, this->Now);
    At.Service->end(Request->Try, RequestOutcome::Good, this->Now);
    return At.Out.erase(Request);
  }

  /// Has each daemon tell its hall what it has heard, and a drawn one of each
  /// hall the others. Some messages are lost.
  void tell() {
    for (size_t I = 0; I < this->Daemons.size(); ++I) {
      if (this->isHit(LimitTrouble::Cut, I) ||
          this->isHit(LimitTrouble::Gone, I))
        continue;
      const std::vector<LimitReport> News =
          this->Daemons[I].Board->with([&](ServerNotices &All) {
            return All.drainLimitReports(5, this->Now);
          });
      const std::vector<LimitReport> Known =
          this->Daemons[I].Board->with([&](const ServerNotices &All) {
            return All.listLimitReports(5, this->Now);
          });
      std::uniform_int_distribution<int> Turn(0, this->Scenario.DaemonsOfHall *
                                                     FarTellMs / TellMs);
      const bool TellsFar = Turn(this->Random) == 0;
      for (size_t To = 0; To < this->Daemons.size(); ++To) {
        const bool IsNear = getHall(this->Names[I]) == getHall(this->Names[To]);
        if (To != I && (IsNear || TellsFar))
          this->tellOne(IsNear ? News : Known, To);
      }
    }
  }

  void tellOne(const std::vector<LimitReport> &Reports, size_t To) {
    std::bernoulli_distribution IsLost(0.02);
    if (Reports.empty() || IsLost(this->Random) ||
        this->isHit(LimitTrouble::Cut, To))
      return;
    ++this->Outcome.Messages;
    for (const LimitReport &Each : Reports)
      (void)this->Daemons[To].Service->applyPeerLimit(Each, this->Now);
  }

  void send(int Ms) {
    const double Times =
        Ms >= this->Scenario.SurgeMs ? this->Scenario.SurgeTimes : 1;
    std::poisson_distribution<int> Count(this->Scenario.RequestsPerSecond *
                                         Times * StepMs / 1000);
    std::uniform_int_distribution<size_t> Any(0, this->Daemons.size() - 1);
    for (int Left = Count(this->Random); Left > 0; --Left) {
      const size_t From = Any(this->Random);
      if (!this->isHit(LimitTrouble::Gone, From))
        this->sendFrom(this->Daemons[From]);
    }
  }

  void sendFrom(Daemon &From) {
    AttemptNeeds Needs;
    Needs.Class = RouteClass::Once;
    Needs.Route = "r";
    Needs.Objective = fromSeconds(1);
    Needs.ObjectiveDeadline = this->Now + Needs.Objective;
    Needs.Deadline = this->Now + fromSeconds(6);
    From.Out.emplace_back();
    Sent &Next = From.Out.back();
    if (!From.Service->begin(Next.Try, Needs, this->Now)) {
      From.Out.pop_back();
      ++this->Outcome.Unplaced;
      return;
    }
    std::uniform_real_distribution<double> Spread(0.5, 1.5);
    const double WorkMs = this->Scenario.WorkMs * Spread(this->Random);
    Next.Ends = this->Now + fromSeconds(WorkMs / 1000);
    const size_t Server = Next.Try.Server;
    if (Server >= From.ToldAt.size())
      return;
    const std::optional<TimePoint> &Told = From.ToldAt[Server];
    const bool IsTold = Told && this->Now - *Told >= fromMillis(ToldMs);
    this->Arrivals[Server].push_back({this->Now, IsTold});
  }

  /// Returns what a server's limits allow from an instant on for as long as a
  /// window, in requests, or nothing if none is named for a part of it.
  std::optional<double> getAllowed(TimePoint From) const {
    double Allowed = 0;
    for (int Ms = 0; Ms < WindowMs; Ms += StepMs) {
      const std::optional<double> Named = this->getLimit(From + fromMillis(Ms));
      if (!Named)
        return std::nullopt;
      Allowed += *Named * StepMs / 1000;
    }
    return Allowed;
  }

  LimitOutcome judge() {
    const TimePoint First =
        Begin + fromMillis(this->Scenario.Steps.at(0).AtMs + ContactMs);
    const TimePoint Last =
        Begin + fromMillis(this->Scenario.LengthMs - WindowMs);
    for (TimePoint From = First; From <= Last; From += fromMillis(20)) {
      const std::optional<double> Allowed = this->getAllowed(From);
      if (!Allowed)
        continue;
      for (const std::vector<Arrival> &Of : this->Arrivals)
        this->Outcome.WorstFill = std::max(
            this->Outcome.WorstFill,
            static_cast<double>(countTold(Of, From)) / (1.5 * *Allowed + 5));
    }
    this->Outcome.Used = this->getUsedPart(First);
    return this->Outcome;
  }

  static int64_t countTold(const std::vector<Arrival> &Of, TimePoint From) {
    const auto First = std::lower_bound(
        Of.begin(), Of.end(), From,
        [](const Arrival &Each, TimePoint At) { return Each.At < At; });
    return std::count_if(First, Of.end(), [From](const Arrival &Each) {
      return Each.IsTold && Each.At < From + fromMillis(WindowMs);
    });
  }

  double getUsedPart(TimePoint From) const {
    double Allowed = 0;
    double Got = 0;
    const TimePoint End = Begin + fromMillis(this->Scenario.LengthMs);
    for (TimePoint At = From; At < End; At += fromMillis(StepMs))
      Allowed += this->getLimit(At).value_or(0) * StepMs / 1000;
    for (const std::vector<Arrival> &Of : this->Arrivals)
      for (const Arrival &Each : Of)
        Got += Each.At >= From && this->getLimit(Each.At) ? 1 : 0;
    return Allowed > 0 ? Got / Allowed / this->Scenario.Limited : 0;
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

#endif // CANVASWICK_UNITTESTS_SERVERLIMIT_LIMITPLAY_H
