//===- QuotaModel.cpp - Simulation of fleet quotas ------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The simulation advances in steps of 10 ms. In each step due messages are
/// delivered, daemons send the messages that are due, and callers send
/// requests.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Bench/QuotaModel.h"
#include "QuotaMethods.h"
#include "canvaswick/Admission/Limits.h"
#include "canvaswick/Support/EnumNames.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <variant>

namespace canvaswick {

static constexpr EnumNames<QuotaMethod, 3> QuotaMethodNames = {{
    {QuotaMethod::FixedParts, "fixed-parts"},
    {QuotaMethod::OneOwner, "one-owner"},
    {QuotaMethod::SharedCounts, "told-counts"},
}};

const char *getName(QuotaMethod Method) {
  return getEnumName(QuotaMethodNames, Method);
}

QuotaBounds getModelBounds() { return {fromSeconds(5), 0.1, 20}; }

namespace {

/// Tracks the admissions in a sliding window in relation to the bound.
class QuotaWindowMonitor {
public:
  /// Records an admission. HighestRate is the highest rate that was in force
  /// within the last window, because a lower limit binds only after one window.
  void recordAdmission(TimePoint At, const ModelFleet &Fleet,
                       double HighestRate) {
    this->AdmittedAt.push_back(At);
    const QuotaBounds Bounds = getModelBounds();
    while (this->AdmittedAt.front() <= At - Bounds.Window)
      this->AdmittedAt.pop_front();
    const double Burst = Fleet.Burst / Fleet.Rate * HighestRate;
    const double Bound =
        (HighestRate * toSeconds(Bounds.Window) + Burst) * (1 + Bounds.Excess) +
        Bounds.Slack;
    this->MaxFill = std::max(
        this->MaxFill, static_cast<double>(this->AdmittedAt.size()) / Bound);
  }

  double getMaxFill() const { return this->MaxFill; }

private:
  std::deque<TimePoint> AdmittedAt;
  double MaxFill = 0;
};

/// One run of the simulation.
class QuotaModelRun {
public:
  QuotaModelRun(const QuotaScenario &Given, QuotaMethod Which, uint64_t Seed)
      : Scenario(Given), Random(Seed), Fleet(makeFleet(Given)),
        ActiveMethod(
            makeQuotaMethod(Which, this->Fleet, Given, Seed, this->Begin)),
        WithinQuota(Given.Rate, Given.Rate, this->Begin) {
    std::uniform_int_distribution<size_t> AnyDaemon(0, this->Fleet.count() - 1);
    for (int I = 0; I < Given.Callers; ++I)
      this->DaemonOfCaller.push_back(AnyDaemon(this->Random));
  }

  QuotaModelResult run() {
    for (int Ms = 0; Ms < this->Scenario.LengthMs; Ms += StepMs) {
      const TimePoint Now = this->Begin + fromMillis(Ms);
      this->applyEvents(Ms, Now);
      this->applyChange(Ms, Now);
      std::visit([&](auto &Chosen) { Chosen.step(this->Fleet, Now); },
                 this->ActiveMethod);
      this->sendRequests(Ms, Now);
    }
    this->endSecond();
    this->Outcome.MaxWindowFill = this->Window.getMaxFill();
    this->Outcome.Messages =
        std::visit([](const auto &Chosen) { return Chosen.countMessages(); },
                   this->ActiveMethod);
    return this->Outcome;
  }

private:
  ModelFleet makeFleet(const QuotaScenario &Given) const {
    ModelFleet Made;
    Made.Halls = Given.Halls;
    Made.DaemonsOfHall = Given.DaemonsOfHall;
    Made.Rate = Given.Rate;
    Made.Burst = Given.Rate;
    const auto Count = static_cast<size_t>(Given.Halls * Given.DaemonsOfHall);
    Made.IsCut.assign(Count, false);
    Made.IsDown.assign(Count, false);
    // Start times are long past, so that no daemon is in its start-up phase.
    // Daemons that are killed get a new one when they restart.
    Made.StartedAt.assign(Count, this->Begin - fromSeconds(100));
    return Made;
  }

  /// Applies the partitions and outages of this time, and restarts daemons that
  /// are up again. The affected daemons are spread evenly over the halls.
  void applyEvents(int Ms, TimePoint Now) {
    std::vector<bool> IsCut(this->Fleet.count(), false);
    std::vector<bool> IsDown(this->Fleet.count(), false);
    this->Fleet.AreHallsApart = false;
    for (const QuotaFaultEvent &Each : this->Scenario.Events) {
      if (Ms < Each.FromMs || Ms >= Each.FromMs + Each.ForMs)
        continue;
      if (Each.Kind == QuotaFault::HallsApart)
        this->Fleet.AreHallsApart = true;
      std::vector<bool> &Hit = Each.Kind == QuotaFault::Killed ? IsDown : IsCut;
      const auto OfHall =
          static_cast<size_t>(Each.Part * this->Scenario.DaemonsOfHall + 0.5);
      for (size_t I = 0; I < Hit.size(); ++I)
        if (I % static_cast<size_t>(this->Scenario.DaemonsOfHall) < OfHall &&
            Each.Kind != QuotaFault::HallsApart)
          Hit[I] = true;
    }
    for (size_t I = 0; I < this->Fleet.count(); ++I) {
      const bool IsBack = this->Fleet.IsDown[I] && !IsDown[I];
      this->Fleet.IsDown[I] = IsDown[I];
      this->Fleet.IsCut[I] = IsCut[I];
      if (!IsBack)
        continue;
      this->Fleet.StartedAt[I] = Now;
      std::visit([&](auto &Chosen) { Chosen.restart(this->Fleet, I, Now); },
                 this->ActiveMethod);
    }
  }

  void applyChange(int Ms, TimePoint Now) {
    if (this->Scenario.ChangeMs == 0 || Ms != this->Scenario.ChangeMs)
      return;
    this->Fleet.Rate *= this->Scenario.ChangeFactor;
    this->Fleet.Burst *= this->Scenario.ChangeFactor;
    this->WithinQuota.reshape(this->Fleet.Rate, this->Fleet.Burst);
    std::visit([&](auto &Chosen) { Chosen.change(this->Fleet, Now); },
               this->ActiveMethod);
  }

  double computeOfferedRate(int Ms) const {
    const bool IsHot = Ms >= this->Scenario.HotFromMs &&
                       Ms < this->Scenario.HotFromMs + this->Scenario.HotForMs;
    return this->Scenario.Rate * this->Scenario.TypicalLoad *
           (IsHot ? this->Scenario.HotFactor : 1);
  }

  /// Returns the highest rate that was in force within the last window.
  double computeBindingRate(int Ms) const {
    const int BindingAtMs = this->Scenario.ChangeMs +
                            static_cast<int>(toMillis(getModelBounds().Window));
    return Ms < BindingAtMs ? std::max(this->Scenario.Rate, this->Fleet.Rate)
                            : this->Fleet.Rate;
  }

  /// Compares the admissions of a second with the requests within the quota in
  /// that second by number only, because it does not matter which of the
  /// requests of an organisation are refused.
  void endSecond() {
    if (this->WithinQuotaThisSecond > this->AdmittedThisSecond)
      this->Outcome.RefusedWithinQuota +=
          this->WithinQuotaThisSecond - this->AdmittedThisSecond;
    this->WithinQuotaThisSecond = 0;
    this->AdmittedThisSecond = 0;
  }

  void recordWithinQuota(int Ms) {
    if (Ms / 1000 != this->Second)
      this->endSecond();
    this->Second = Ms / 1000;
    ++this->Outcome.WithinQuota;
    ++this->WithinQuotaThisSecond;
  }

  void sendRequests(int Ms, TimePoint Now) {
    std::poisson_distribution<int> Arrivals(this->computeOfferedRate(Ms) *
                                            StepMs / 1000);
    std::uniform_int_distribution<size_t> AnyCaller(
        0, this->DaemonOfCaller.size() - 1);
    const int Count = Arrivals(this->Random);
    for (int I = 0; I < Count; ++I) {
      const size_t Daemon = this->DaemonOfCaller[AnyCaller(this->Random)];
      if (this->Fleet.IsDown[Daemon])
        continue;
      ++this->Outcome.Asked;
      if (this->WithinQuota.tryTake(Now))
        this->recordWithinQuota(Ms);
      const bool IsAdmitted = std::visit(
          [&](auto &Chosen) { return Chosen.admit(this->Fleet, Daemon, Now); },
          this->ActiveMethod);
      if (!IsAdmitted)
        continue;
      ++this->Outcome.Admitted;
      ++this->AdmittedThisSecond;
      this->Window.recordAdmission(Now, this->Fleet,
                                   this->computeBindingRate(Ms));
    }
  }

  const QuotaScenario &Scenario;
  const TimePoint Begin = TimePoint{} + fromSeconds(1000);
  std::mt19937_64 Random;
  ModelFleet Fleet;
  QuotaMethodVariant ActiveMethod;
  TokenBucket WithinQuota;
  QuotaWindowMonitor Window;
  std::vector<size_t> DaemonOfCaller;
  QuotaModelResult Outcome;
  int Second = 0;
  uint64_t WithinQuotaThisSecond = 0;
  uint64_t AdmittedThisSecond = 0;
};

} // namespace

QuotaModelResult runQuotaModel(const QuotaScenario &Scenario, QuotaMethod Which,
                               uint64_t Seed) {
  return QuotaModelRun(Scenario, Which, Seed).run();
}

namespace {

/// A scenario with its name in the table.
struct NamedScenario {
  const char *Name;
  QuotaScenario Scenario;
};

std::vector<NamedScenario> listScenarios(int DaemonsOfHall, double Rate,
                                         int Callers) {
  QuotaScenario Normal;
  Normal.DaemonsOfHall = DaemonsOfHall;
  Normal.Rate = Rate;
  Normal.Callers = Callers;
  QuotaScenario Hot = Normal;
  Hot.HotFactor = 10;
  Hot.HotFromMs = 8000;
  Hot.HotForMs = 8000;
  QuotaScenario Cut = Normal;
  Cut.Events = {{QuotaFault::Cut, 6000, 12000, 0.33}};
  QuotaScenario HotInCut = Hot;
  HotInCut.Events = Cut.Events;
  QuotaScenario HotAtCut = Hot;
  HotAtCut.Events = {{QuotaFault::Cut, 8000, 8000, 0.33}};
  QuotaScenario Apart = Hot;
  Apart.Events = {{QuotaFault::HallsApart, 6000, 12000, 0}};
  QuotaScenario Killed = Normal;
  Killed.Events = {{QuotaFault::Killed, 10000, 1000, 1}};
  QuotaScenario HotKilled = Hot;
  HotKilled.Events = {{QuotaFault::Killed, 12000, 1000, 1}};
  QuotaScenario Lowered = Normal;
  Lowered.ChangeMs = 10000;
  Lowered.ChangeFactor = 0.1;
  return {{"calm", Normal},
          {"hot", Hot},
          {"a third cut off", Cut},
          {"hot while cut", HotInCut},
          {"hot as it is cut", HotAtCut},
          {"hot, halls apart", Apart},
          {"all killed", Killed},
          {"all killed while hot", HotKilled},
          {"cut to a tenth", Lowered}};
}

} // namespace

std::string compareQuotaMethods(uint64_t Seeds) {
  std::string Table = "daemons,rate,scenario,way,owed,refused_owed_part,"
                      "worst_fill,messages\n";
  struct Size {
    int DaemonsOfHall;
    double Rate;
    int Callers;
  };
  const Size Sizes[] = {{12, 8, 19}, {38, 8, 19}, {38, 173, 300}, {148, 8, 19}};
  for (const Size &Each : Sizes)
    for (const NamedScenario &Named :
         listScenarios(Each.DaemonsOfHall, Each.Rate, Each.Callers))
      for (const EnumName<QuotaMethod> &Which : QuotaMethodNames) {
        QuotaModelResult Sum;
        for (uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
          const QuotaModelResult One =
              runQuotaModel(Named.Scenario, Which.Value, Seed);
          Sum.WithinQuota += One.WithinQuota;
          Sum.RefusedWithinQuota += One.RefusedWithinQuota;
          Sum.Messages += One.Messages;
          Sum.MaxWindowFill = std::max(Sum.MaxWindowFill, One.MaxWindowFill);
        }
        Table += fmt::format(
            "{},{},{},{},{},{:.4f},{:.3f},{}\n", Each.DaemonsOfHall * 3,
            Each.Rate, Named.Name, Which.Name, Sum.WithinQuota / Seeds,
            Sum.computeRefusedRatio(), Sum.MaxWindowFill, Sum.Messages / Seeds);
      }
  return Table;
}

} // namespace canvaswick
