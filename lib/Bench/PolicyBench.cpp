//===- PolicyBench.cpp - Measures a policy on a scenario ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One event queue: arrivals, answers, ticks of all daemons, messages.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Bench/PolicyBench.h"
#include "BenchServers.h"
#include "canvaswick/Admission/Limits.h"
#include "canvaswick/Daemon/EvidenceAgent.h"
#include "canvaswick/Health/EvidencePool.h"
#include "canvaswick/Json/JsonText.h"

#include <fmt/format.h>
#include <json/json.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>

namespace canvaswick {

static constexpr Duration TickInterval = fromMillis(100);
static constexpr Duration ReportRound = fromMillis(100);
static constexpr double RemovedShare = 0.05;
static constexpr size_t Owners = 2;
static constexpr int64_t RetryPercent = 10;
static constexpr int MaxTries = 2;

/// HTTP heads, signature and JSON-RPC frame of a call and its answer, measured
/// between two daemons; see docs/CAPACITY.md.
static constexpr size_t CallOverheadBytes = 430;

namespace {

/// A thing that happens at an instant.
struct Event {
  TimePoint At;
  uint64_t Order;
  std::function<void()> Run;
};

struct IsLater {
  bool operator()(const Event &Left, const Event &Right) const {
    if (Left.At != Right.At)
      return Left.At > Right.At;
    return Left.Order > Right.Order;
  }
};

/// One request as a daemon sees it.
struct BenchRequest {
  size_t Daemon = 0;
  TimePoint Began{};
  TimePoint Deadline{};
  int Tries = 0;
};

/// One try, while it is in flight.
struct BenchAttempt {
  size_t Server = 0;
  TimePoint Began{};
  bool IsNotedLate = false;
  bool IsEnded = false;
};

/// One daemon's decision objects.
struct BenchDaemon {
  std::string Name;
  std::string Hall;
  HealthPolicy Policy;
  ServerSelector Selector;
  LatencyTracker Latency;
  RetryBudget Retries;
  std::vector<std::shared_ptr<BenchAttempt>> InFlight;
  std::unique_ptr<EvidencePool> Pool;
};

/// What is followed of one server.
struct ServerWatch {
  std::vector<bool> WasRemoved;
  bool IsInFalseEpisode = false;
};

class BenchRun {
public:
  BenchRun(const Scenario &Under, PolicyKind Kind, uint64_t Seed);
  BenchResult run();

private:
  void schedule(TimePoint At, std::function<void()> Run);
  void makeDaemons(PolicyKind Kind);
  void arrive();
  void tryRequest(std::shared_ptr<BenchRequest> Request);
  void endAttempt(const std::shared_ptr<BenchRequest> &Request,
                  const std::shared_ptr<BenchAttempt> &Attempt,
                  RequestOutcome Outcome);
  void tick();
  void tickDaemon(BenchDaemon &Daemon);
  void exchange(BenchDaemon &Daemon);
  void send(const Json::Value &Message, std::function<void()> Deliver);
  void deliverReport(BenchDaemon &Owner, BenchDaemon &Source,
                     const EvidenceReport &Report);
  void deliverDigest(BenchDaemon &Reader, const EvidenceDigest &Digest);
  void advancePool(BenchDaemon &Owner);
  void observe();
  void observeServer(size_t Server);
  void observeFloor();
  void observeDetection();
  double getMeanShare(size_t Server, const std::vector<bool> &Daemons) const;
  BenchResult summarize() const;

  const Scenario &Under;
  const PolicyKind Kind;
  const uint64_t Seed;
  RandomSource Arrivals;
  RandomSource Service;
  RandomSource Choices;
  RandomSource Network;
  FakeServers Servers;
  std::vector<BenchDaemon> Daemons;
  std::priority_queue<Event, std::vector<Event>, IsLater> Events;
  uint64_t NextOrder = 0;
  TimePoint Now{};
  std::vector<ServerWatch> Watches;
  /// For each fault and server: seconds until detection, or negative.
  std::vector<std::vector<double>> Detection;
  BenchResult Result;
  uint64_t Failed = 0;
  uint64_t Late = 0;
  uint64_t ControlBytes = 0;
};

} // namespace

static std::vector<ActiveFault> drawFaultsOf(const Scenario &Under,
                                             uint64_t Seed) {
  RandomSource Random(Seed * 4 + 3);
  return drawFaults(Under, Random);
}

BenchRun::BenchRun(const Scenario &Under, PolicyKind Kind, uint64_t Seed)
    : Under(Under), Kind(Kind), Seed(Seed), Arrivals(Seed * 4),
      Service(Seed * 4 + 1), Choices(Seed * 4 + 2), Network(Seed * 4 + 5),
      Servers(Under, drawFaultsOf(Under, Seed), this->Service) {
  this->makeDaemons(Kind);
  const auto Count = static_cast<size_t>(Under.Servers);
  this->Watches.resize(Count);
  for (ServerWatch &Watch : this->Watches)
    Watch.WasRemoved.assign(static_cast<size_t>(Under.Daemons), false);
  this->Detection.assign(this->Servers.getFaults().size(),
                         std::vector<double>(Count, -1));
}

void BenchRun::schedule(TimePoint At, std::function<void()> Run) {
  this->Events.push({At, this->NextOrder++, std::move(Run)});
}

void BenchRun::makeDaemons(PolicyKind Kind) {
  std::vector<PolicyServer> PolicyServers;
  std::vector<PooledServer> Pooled;
  for (int I = 0; I < this->Under.Servers; ++I) {
    const ServerId Id = getServerId("bench", fmt::format("s{}", I));
    Pooled.push_back({Id, this->Under.Slots});
    PolicyServers.push_back({Id, this->Under.Slots});
  }
  const std::vector<std::string> &Halls = this->Under.Halls;
  for (int D = 0; D < this->Under.Daemons; ++D) {
    const std::string Name = fmt::format("d{:03}", D);
    const std::string &Hall = Halls[static_cast<size_t>(D) % Halls.size()];
    std::vector<SelectableServer> Selectable;
    for (int I = 0; I < this->Under.Servers; ++I) {
      SelectableServer Server;
      Server.Slots = this->Under.Slots;
      Server.Limit = this->Under.Slots;
      Server.IsNear = Halls[static_cast<size_t>(I) % Halls.size()] == Hall;
      Server.Since = TimePoint{} - fromSeconds(3600);
      Selectable.push_back(Server);
    }
    PolicySetup Setup{"bench",
                      Name,
                      Hall,
                      this->Under.Preference,
                      this->Under.FloorPercent,
                      fromSeconds(20),
                      0,
                      PolicyServers};
    this->Daemons.push_back(
        {Name,
         Hall,
         makeHealthPolicy(Kind, std::move(Setup)),
         ServerSelector(std::move(Selectable), fromSeconds(10)),
         LatencyTracker(Duration::zero()),
         RetryBudget(this->Under.IsRepeatable ? RetryPercent : 0),
         {},
         nullptr});
  }
  if (Kind != PolicyKind::Pooled)
    return;
  for (size_t D = 0; D < std::min(Owners, this->Daemons.size()); ++D)
    this->Daemons[D].Pool = std::make_unique<EvidencePool>(
        "bench", this->Daemons[D].Name, getTuning(this->Under.Preference),
        Pooled, this->Under.FloorPercent, 0);
  for (size_t D = 0; D < std::min(Owners, this->Daemons.size()); ++D)
    this->Daemons[D].Pool->setRank(static_cast<uint32_t>(D));
}

void BenchRun::arrive() {
  std::exponential_distribution<double> Gap(this->Under.RequestsPerSecond);
  this->schedule(this->Now + fromSeconds(Gap(this->Arrivals)),
                 [this] { this->arrive(); });
  std::uniform_int_distribution<size_t> Which(0, this->Daemons.size() - 1);
  auto Request = std::make_shared<BenchRequest>();
  Request->Daemon = Which(this->Arrivals);
  Request->Began = this->Now;
  Request->Deadline = this->Now + this->Under.Deadline;
  ++this->Result.Requests;
  this->Daemons[Request->Daemon].Retries.noteRequest(this->Now);
  this->tryRequest(std::move(Request));
}

void BenchRun::tryRequest(std::shared_ptr<BenchRequest> Request) {
  BenchDaemon &Daemon = this->Daemons[Request->Daemon];
  std::vector<double> Shares;
  Shares.reserve(static_cast<size_t>(this->Under.Servers));
  for (int I = 0; I < this->Under.Servers; ++I)
    Shares.push_back(getShare(Daemon.Policy, static_cast<size_t>(I)));
  const int Picked = Daemon.Selector.pick(Shares, {}, this->Now, this->Choices);
  if (Picked < 0) {
    ++this->Failed;
    return;
  }
  ++Request->Tries;
  auto Attempt = std::make_shared<BenchAttempt>();
  Attempt->Server = static_cast<size_t>(Picked);
  Attempt->Began = this->Now;
  Daemon.Selector.begin(Attempt->Server);
  Daemon.InFlight.push_back(Attempt);
  const FakeAnswer Answer = this->Servers.serve(
      Attempt->Server, Request->Daemon, this->Now, Request->Deadline);
  const bool IsTimely = Answer.At <= Request->Deadline;
  const RequestOutcome Outcome =
      IsTimely ? Answer.Outcome : RequestOutcome::Failed;
  this->schedule(IsTimely ? Answer.At : Request->Deadline,
                 [this, Request, Attempt, Outcome] {
                   this->endAttempt(Request, Attempt, Outcome);
                 });
}

void BenchRun::endAttempt(const std::shared_ptr<BenchRequest> &Request,
                          const std::shared_ptr<BenchAttempt> &Attempt,
                          RequestOutcome Outcome) {
  BenchDaemon &Daemon = this->Daemons[Request->Daemon];
  Attempt->IsEnded = true;
  Daemon.Selector.end(Attempt->Server, Outcome, this->Now);
  const Duration Took = this->Now - Attempt->Began;
  RequestOutcome Evidence = Outcome;
  const bool IsSlow = Took > Daemon.Latency.getSlowAfter();
  if (Outcome == RequestOutcome::Good && IsSlow)
    Evidence = RequestOutcome::Slow;
  if (Outcome == RequestOutcome::Good)
    Daemon.Latency.add(Took);
  if (Evidence != RequestOutcome::Slow || !Attempt->IsNotedLate)
    recordOutcome(Daemon.Policy, Attempt->Server, Evidence, this->Now);
  if (Outcome == RequestOutcome::Good) {
    if (IsSlow)
      ++this->Late;
    return;
  }
  // A shed request was not run: it may go elsewhere whatever its class.
  const bool MayRepeat =
      Request->Tries < MaxTries && this->Now < Request->Deadline &&
      (Outcome == RequestOutcome::Shed ||
       (this->Under.IsRepeatable && Daemon.Retries.tryTake(this->Now)));
  if (MayRepeat)
    this->tryRequest(Request);
  else
    ++this->Failed;
}

void BenchRun::tickDaemon(BenchDaemon &Daemon) {
  std::erase_if(Daemon.InFlight,
                [](const auto &Attempt) { return Attempt->IsEnded; });
  const Duration SlowAfter = Daemon.Latency.getSlowAfter();
  for (const std::shared_ptr<BenchAttempt> &Attempt : Daemon.InFlight) {
    if (Attempt->IsNotedLate || this->Now - Attempt->Began <= SlowAfter)
      continue;
    Attempt->IsNotedLate = true;
    recordOutcome(Daemon.Policy, Attempt->Server, RequestOutcome::Slow,
                  this->Now);
  }
  for (int I = 0; I < this->Under.Servers; ++I) {
    const auto Server = static_cast<size_t>(I);
    setLeaving(Daemon.Policy, Server,
               this->Servers.isLeaving(Server, this->Now), this->Now);
  }
  advancePolicy(Daemon.Policy, this->Now);
  this->exchange(Daemon);
}

/// Sends a message, which may be lost on its way.
void BenchRun::send(const Json::Value &Message, std::function<void()> Deliver) {
  this->ControlBytes += CallOverheadBytes + writeJson(Message).size();
  std::uniform_real_distribution<double> Draw(0, 1);
  if (Draw(this->Network) < this->Under.ExchangeLoss)
    return;
  const Duration Delay = fromSeconds(toSeconds(this->Under.ExchangeDelay) *
                                     (0.5 + Draw(this->Network)));
  this->schedule(this->Now + Delay, std::move(Deliver));
}

void BenchRun::exchange(BenchDaemon &Daemon) {
  PooledPolicy *Policy = std::get_if<PooledPolicy>(&Daemon.Policy);
  if (!Policy)
    return;
  if (const std::optional<EvidenceReport> Report =
          Policy->makeReport(this->Now))
    for (BenchDaemon &Owner : this->Daemons) {
      if (!Owner.Pool)
        continue;
      if (&Owner == &Daemon) {
        this->deliverReport(Owner, Daemon, *Report);
        continue;
      }
      this->send(encodeReport(*Report), [this, &Owner, &Daemon, R = *Report] {
        this->deliverReport(Owner, Daemon, R);
      });
    }
  if (Daemon.Pool)
    this->advancePool(Daemon);
}

void BenchRun::deliverReport(BenchDaemon &Owner, BenchDaemon &Source,
                             const EvidenceReport &Report) {
  Owner.Pool->takeReport(Report, this->Now);
  Owner.Pool->advance(this->Now);
  if (!Owner.Pool->hasSuspects())
    return;
  // The digest rides on the answer of the report.
  const EvidenceDigest Digest = Owner.Pool->makeDigest(Source.Hall);
  if (&Owner == &Source) {
    this->deliverDigest(Source, Digest);
    return;
  }
  this->ControlBytes -= CallOverheadBytes;
  this->send(encodeDigest(Digest),
             [this, &Source, Digest] { this->deliverDigest(Source, Digest); });
}

void BenchRun::deliverDigest(BenchDaemon &Reader,
                             const EvidenceDigest &Digest) {
  std::get<PooledPolicy>(Reader.Policy).takeDigest(Digest, this->Now);
}

void BenchRun::advancePool(BenchDaemon &Owner) {
  Owner.Pool->advance(this->Now);
  for (const std::string &Hall : Owner.Pool->getHalls()) {
    if (!Owner.Pool->hasNews(Hall))
      continue;
    const EvidenceDigest Digest = Owner.Pool->makeDigest(Hall);
    Owner.Pool->noteSent(Hall);
    for (BenchDaemon &Reader : this->Daemons) {
      if (Reader.Hall != Hall)
        continue;
      if (&Reader == &Owner) {
        this->deliverDigest(Reader, Digest);
        continue;
      }
      this->send(encodeDigest(Digest), [this, &Reader, Digest] {
        this->deliverDigest(Reader, Digest);
      });
    }
  }
}

void BenchRun::tick() {
  this->schedule(this->Now + TickInterval, [this] { this->tick(); });
  for (BenchDaemon &Daemon : this->Daemons)
    this->tickDaemon(Daemon);
  this->observe();
}

double BenchRun::getMeanShare(size_t Server,
                              const std::vector<bool> &Seen) const {
  double Sum = 0;
  double Count = 0;
  for (size_t D = 0; D < this->Daemons.size(); ++D) {
    if (!Seen[D])
      continue;
    Sum += getShare(this->Daemons[D].Policy, Server);
    ++Count;
  }
  return Count > 0 ? Sum / Count : 1;
}

void BenchRun::observeServer(size_t Server) {
  if (this->Servers.isLeaving(Server, this->Now))
    return;
  ServerWatch &Watch = this->Watches[Server];
  const bool IsSick = this->Servers.isSick(Server, this->Now);
  bool IsRemovedAnywhere = false;
  for (size_t D = 0; D < this->Daemons.size(); ++D) {
    const bool IsRemoved =
        getShare(this->Daemons[D].Policy, Server) < RemovedShare;
    IsRemovedAnywhere = IsRemovedAnywhere || IsRemoved;
    if (IsRemoved && !Watch.WasRemoved[D] && !IsSick &&
        !Watch.IsInFalseEpisode) {
      Watch.IsInFalseEpisode = true;
      ++this->Result.FalseEjections;
    }
    Watch.WasRemoved[D] = IsRemoved;
  }
  if (!IsRemovedAnywhere)
    Watch.IsInFalseEpisode = false;
  if (IsSick)
    return;
  const std::vector<bool> Everyone(this->Daemons.size(), true);
  this->Result.HealthySecondsLost +=
      (1 - this->getMeanShare(Server, Everyone)) * toSeconds(TickInterval);
}

void BenchRun::observeFloor() {
  const double All = this->Under.Servers * this->Under.Slots;
  double NotLeaving = 0;
  for (int I = 0; I < this->Under.Servers; ++I)
    if (!this->Servers.isLeaving(static_cast<size_t>(I), this->Now))
      NotLeaving += this->Under.Slots;
  const double Floor =
      std::min(NotLeaving, All * this->Under.FloorPercent / 100);
  for (const BenchDaemon &Daemon : this->Daemons) {
    double Usable = 0;
    for (int I = 0; I < this->Under.Servers; ++I)
      Usable +=
          this->Under.Slots * getShare(Daemon.Policy, static_cast<size_t>(I));
    if (Usable < Floor - 1e-6)
      ++this->Result.FloorViolations;
  }
}

void BenchRun::observeDetection() {
  const std::vector<ActiveFault> &Faults = this->Servers.getFaults();
  for (size_t F = 0; F < Faults.size(); ++F) {
    if (!Faults[F].isSickness() || !Faults[F].isActive(this->Now))
      continue;
    for (size_t S = 0; S < this->Watches.size(); ++S) {
      if (!Faults[F].Servers[S] || this->Detection[F][S] >= 0)
        continue;
      if (this->getMeanShare(S, Faults[F].Daemons) < RemovedShare)
        this->Detection[F][S] = toSeconds(this->Now.time_since_epoch() -
                                          Faults[F].Description.Start);
    }
  }
}

void BenchRun::observe() {
  for (size_t S = 0; S < this->Watches.size(); ++S)
    this->observeServer(S);
  this->observeFloor();
  this->observeDetection();
}

/// Returns whether a fault hits so few servers that removing them helps.
static bool isRemovable(const ActiveFault &Each) {
  const auto Hit = std::count(Each.Servers.begin(), Each.Servers.end(), true);
  return Each.isSickness() &&
         static_cast<size_t>(Hit) * 2 < Each.Servers.size();
}

static double pickQuantile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto At =
      static_cast<size_t>(std::ceil(Part * static_cast<double>(Values.size())));
  return Values[std::max<size_t>(At, 1) - 1];
}

BenchResult BenchRun::summarize() const {
  BenchResult Out = this->Result;
  Out.Scenario = this->Under.Name;
  Out.Policy = getName(this->Kind);
  Out.Seed = this->Seed;
  std::vector<double> Times;
  const std::vector<ActiveFault> &Faults = this->Servers.getFaults();
  for (size_t F = 0; F < Faults.size(); ++F) {
    if (!isRemovable(Faults[F]))
      continue;
    for (size_t S = 0; S < this->Watches.size(); ++S) {
      if (!Faults[F].Servers[S])
        continue;
      ++Out.Faults;
      const bool IsDetected = this->Detection[F][S] >= 0;
      Out.Detected += IsDetected;
      Times.push_back(IsDetected ? this->Detection[F][S]
                                 : toSeconds(Faults[F].Description.End -
                                             Faults[F].Description.Start));
    }
  }
  Out.DetectionP50 = pickQuantile(Times, 0.5);
  Out.DetectionP99 = pickQuantile(Times, 0.99);
  const auto Requests =
      static_cast<double>(std::max<uint64_t>(1, Out.Requests));
  Out.FailedShare = static_cast<double>(this->Failed) / Requests;
  Out.LateShare = static_cast<double>(this->Late) / Requests;
  // Each byte is sent by one daemon and received by another.
  Out.ControlBytesPerSecond = 2 * static_cast<double>(this->ControlBytes) /
                              toSeconds(this->Under.Length) /
                              static_cast<double>(this->Daemons.size());
  return Out;
}

BenchResult BenchRun::run() {
  this->schedule(this->Now, [this] { this->arrive(); });
  this->schedule(this->Now, [this] { this->tick(); });
  const TimePoint End = TimePoint{} + this->Under.Length;
  while (!this->Events.empty() && this->Events.top().At < End) {
    const Event Next = this->Events.top();
    this->Events.pop();
    this->Now = Next.At;
    Next.Run();
  }
  return this->summarize();
}

BenchResult runPolicyBench(const Scenario &Under, PolicyKind Policy,
                           uint64_t Seed) {
  BenchRun Run(Under, Policy, Seed);
  return Run.run();
}

template <typename T>
static T getMedian(const std::vector<BenchResult> &Results,
                   T BenchResult::*Column) {
  std::vector<T> Values;
  Values.reserve(Results.size());
  for (const BenchResult &Each : Results)
    Values.push_back(Each.*Column);
  std::sort(Values.begin(), Values.end());
  return Values[Values.size() / 2];
}

BenchResult computeMedians(const std::vector<BenchResult> &Results) {
  BenchResult Median = Results.front();
  Median.Seed = Results.size();
  Median.Faults = getMedian(Results, &BenchResult::Faults);
  Median.Detected = getMedian(Results, &BenchResult::Detected);
  Median.DetectionP50 = getMedian(Results, &BenchResult::DetectionP50);
  Median.DetectionP99 = getMedian(Results, &BenchResult::DetectionP99);
  Median.FalseEjections = getMedian(Results, &BenchResult::FalseEjections);
  Median.HealthySecondsLost =
      getMedian(Results, &BenchResult::HealthySecondsLost);
  Median.Requests = getMedian(Results, &BenchResult::Requests);
  Median.FailedShare = getMedian(Results, &BenchResult::FailedShare);
  Median.LateShare = getMedian(Results, &BenchResult::LateShare);
  Median.FloorViolations = getMedian(Results, &BenchResult::FloorViolations);
  Median.ControlBytesPerSecond =
      getMedian(Results, &BenchResult::ControlBytesPerSecond);
  return Median;
}

std::string getBenchCsvHeader() {
  return "scenario,policy,seed,faults,detected,detection_p50_s,"
         "detection_p99_s,false_ejections,healthy_server_seconds_lost,"
         "requests,failed_share,late_share,floor_violations,"
         "control_bytes_per_s\n";
}

std::string formatBenchCsv(const BenchResult &Each) {
  return fmt::format(
      "{},{},{},{},{},{:.1f},{:.1f},{},{:.1f},{},{:.6f},{:.6f},{},{:.0f}\n",
      Each.Scenario, Each.Policy, Each.Seed, Each.Faults, Each.Detected,
      Each.DetectionP50, Each.DetectionP99, Each.FalseEjections,
      Each.HealthySecondsLost, Each.Requests, Each.FailedShare, Each.LateShare,
      Each.FloorViolations, Each.ControlBytesPerSecond);
}

} // namespace canvaswick
