//===- QuotaMethods.h - Methods of enforcing a fleet quota ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The methods that QuotaModel compares. Each object simulates all daemons of a
/// fleet: what they do in a step and whether one of them admits a request.
/// Private to this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_BENCH_QUOTAMETHODS_H
#define CANVASWICK_LIB_BENCH_QUOTAMETHODS_H

#include "canvaswick/Admission/FleetQuota.h"
#include "canvaswick/Admission/Limits.h"
#include "canvaswick/Bench/QuotaModel.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace canvaswick {

inline constexpr int StepMs = 10;

/// Mean time between two messages of a daemon to its hall. It follows from the
/// product's bound on the messages that a daemon receives, for a hall of 38.
inline constexpr int PeerIntervalMs = 150;

/// Time between two messages of a hall reporter to other halls: normally, and
/// while the demand of an organisation is high.
inline constexpr int HallIntervalMs = 200;
inline constexpr int UrgentIntervalMs = 50;

/// Time between two messages of a hall reporter that hold the usage of all
/// organisations.
inline constexpr int AllIntervalMs = 1000;

/// Maximum delay of a message per hop, including the queueing of a daemon that
/// has a tenth of a core.
inline constexpr int MaxDelayMs = 40;

inline const char *const ModelOrganisation = "o";

/// The state of a fleet that the methods use.
struct ModelFleet {
  int Halls = 0;
  int DaemonsOfHall = 0;
  double Rate = 0;
  double Burst = 0;
  /// By daemon: whether it is partitioned from all others, and whether it is
  /// down.
  std::vector<bool> IsCut;
  std::vector<bool> IsDown;
  bool AreHallsApart = false;
  std::vector<TimePoint> StartedAt;

  size_t count() const { return this->IsCut.size(); }
  int getHall(size_t Daemon) const {
    return static_cast<int>(Daemon) / this->DaemonsOfHall;
  }
  bool reaches(size_t From, size_t To) const {
    return !this->IsCut[From] && !this->IsCut[To] && !this->IsDown[From] &&
           !this->IsDown[To] &&
           (!this->AreHallsApart || this->getHall(From) == this->getHall(To));
  }
};

/// Returns the requests above the rate and the burst that the bounds tolerate
/// in a window.
inline double getModelSlack(const ModelFleet &Fleet) {
  const QuotaBounds Bounds = getModelBounds();
  return Bounds.Slack +
         Bounds.Excess * (Fleet.Rate * toSeconds(Bounds.Window) + Fleet.Burst);
}

/// Gives each daemon an equal part of the rate and the burst. If a part is
/// below one request, as many daemons as the slack permits get a bucket of one
/// request and the others get none.
class FixedPartsMethod {
public:
  FixedPartsMethod(const ModelFleet &Fleet, uint64_t, TimePoint Now)
      : Buckets(Fleet.count(), TokenBucket(0, 0, Now)) {
    this->change(Fleet, Now);
  }

  void change(const ModelFleet &Fleet, TimePoint Now) {
    for (size_t I = 0; I < Fleet.count(); ++I)
      this->restart(Fleet, I, Now);
  }

  void restart(const ModelFleet &Fleet, size_t Daemon, TimePoint Now) {
    const auto Count = static_cast<double>(Fleet.count());
    const double Capacity = Fleet.Burst + getModelSlack(Fleet) / 2;
    const double Size = Capacity / Count >= 1 ? Capacity / Count
                        : static_cast<double>(Daemon) < Capacity ? 1
                                                                 : 0;
    this->Buckets[Daemon] = TokenBucket(Fleet.Rate / Count, Size, Now);
  }

  void step(const ModelFleet &, TimePoint) {}

  bool admit(const ModelFleet &, size_t Daemon, TimePoint Now) {
    return this->Buckets[Daemon].tryTake(Now);
  }

  uint64_t countMessages() const { return 0; }

private:
  std::vector<TokenBucket> Buckets;
};

/// Lets one daemon, the owner, hand out the tokens. Daemons that cannot reach
/// it use their fixed parts, by which the owner reduces its own bucket. If the
/// owner is down for a second, the next daemon takes over with an empty bucket.
class OneOwnerMethod {
public:
  OneOwnerMethod(const ModelFleet &Fleet, uint64_t Seed, TimePoint Now)
      : Fallback(Fleet, Seed, Now), Central(Fleet.Rate, Fleet.Burst, Now),
        Owner(Seed % Fleet.count()) {}

  void change(const ModelFleet &Fleet, TimePoint Now) {
    this->Fallback.change(Fleet, Now);
    this->Central.reshape(Fleet.Rate, Fleet.Burst);
  }

  void restart(const ModelFleet &Fleet, size_t Daemon, TimePoint Now) {
    this->Fallback.restart(Fleet, Daemon, Now);
    if (Daemon == this->Owner)
      this->Central = TokenBucket(Fleet.Rate, 0, Now);
  }

  void step(const ModelFleet &Fleet, TimePoint Now) {
    size_t Reachable = 0;
    for (size_t I = 0; I < Fleet.count(); ++I)
      Reachable += I == this->Owner || Fleet.reaches(this->Owner, I) ? 1 : 0;
    const double Part =
        static_cast<double>(Reachable) / static_cast<double>(Fleet.count());
    this->Central.reshape(Fleet.Rate * Part, Fleet.Burst * Part);
    if (!Fleet.IsDown[this->Owner]) {
      this->DownSince.reset();
      return;
    }
    if (!this->DownSince)
      this->DownSince = Now;
    if (Now - *this->DownSince < fromSeconds(1))
      return;
    this->Owner = (this->Owner + 1) % Fleet.count();
    this->Central = TokenBucket(Fleet.Rate * Part, 0, Now);
    this->DownSince.reset();
  }

  bool admit(const ModelFleet &Fleet, size_t Daemon, TimePoint Now) {
    if (Daemon != this->Owner && !Fleet.reaches(Daemon, this->Owner))
      return this->Fallback.admit(Fleet, Daemon, Now);
    this->Messages += 2;
    return this->Central.tryTake(Now);
  }

  uint64_t countMessages() const { return this->Messages; }

private:
  FixedPartsMethod Fallback;
  TokenBucket Central;
  size_t Owner;
  std::optional<TimePoint> DownSince;
  uint64_t Messages = 0;
};

/// Runs a FleetQuota per daemon and the usage messages between them.
class SharedCountsMethod {
public:
  SharedCountsMethod(const ModelFleet &Fleet, uint64_t Seed, TimePoint Now,
                     double LossRate)
      : Random(Seed), LossRate(LossRate) {
    for (size_t I = 0; I < Fleet.count(); ++I)
      this->Daemons.push_back(this->makeDaemon(Fleet, I, Now));
    this->HallSentAt.resize(Fleet.count());
    this->AllSentAt.resize(Fleet.count());
  }

  void change(const ModelFleet &Fleet, TimePoint Now) {
    for (size_t I = 0; I < Fleet.count(); ++I)
      this->Daemons[I]->configure(makeDirectory(Fleet), Now);
  }

  void restart(const ModelFleet &Fleet, size_t Daemon, TimePoint Now) {
    this->Daemons[Daemon] = this->makeDaemon(Fleet, Daemon, Now);
  }

  void step(const ModelFleet &Fleet, TimePoint Now) {
    this->deliver(Now);
    std::uniform_real_distribution<double> Uniform;
    for (size_t I = 0; I < Fleet.count(); ++I) {
      if (Fleet.IsDown[I])
        continue;
      if (Uniform(this->Random) < static_cast<double>(StepMs) / PeerIntervalMs)
        this->sendUsageToHall(Fleet, I, Now);
      if (this->Daemons[I]->getLiveness().isHallReporter(nameDaemon(I), Now) &&
          Now - this->HallSentAt[I] >=
              fromMillis(this->Daemons[I]->isUrgent(Now) ? UrgentIntervalMs
                                                         : HallIntervalMs))
        this->sendUsageToOtherHalls(Fleet, I, Now);
    }
  }

  bool admit(const ModelFleet &, size_t Daemon, TimePoint Now) {
    return this->Daemons[Daemon]->admit(ModelOrganisation, Now).IsAdmitted;
  }

  uint64_t countMessages() const { return this->Messages; }

private:
  struct Message {
    TimePoint At{};
    size_t To = 0;
    std::string From;
    /// Hall of From if the message reports the usage of a hall, else empty.
    std::string Hall;
    std::vector<QuotaUsage> Usage;
  };

  static std::string nameDaemon(size_t Daemon) {
    return fmt::format("d{:04}", Daemon);
  }

  static OrganisationDirectoryRef makeDirectory(const ModelFleet &Fleet) {
    return makeOrganisationDirectory(
        {{ModelOrganisation, Fleet.Rate, Fleet.Burst, {}, {}}}, true);
  }

  std::unique_ptr<FleetQuota> makeDaemon(const ModelFleet &Fleet, size_t Daemon,
                                         TimePoint Now) {
    std::uniform_real_distribution<double> Uniform;
    auto Made = std::make_unique<FleetQuota>(
        getModelBounds(), Fleet.StartedAt[Daemon], Uniform(this->Random));
    std::vector<std::string> SameHall;
    std::map<std::string, size_t> OtherHalls;
    for (size_t I = 0; I < Fleet.count(); ++I)
      if (Fleet.getHall(I) != Fleet.getHall(Daemon))
        ++OtherHalls[fmt::format("h{}", Fleet.getHall(I))];
      else if (I != Daemon)
        SameHall.push_back(nameDaemon(I));
    Made->getLiveness().setFleet(SameHall, OtherHalls, Now);
    Made->configure(makeDirectory(Fleet), Now);
    return Made;
  }

  void send(const ModelFleet &Fleet, size_t From, size_t To, bool IsHall,
            std::vector<QuotaUsage> Usage, TimePoint Now, int Hops) {
    std::uniform_real_distribution<double> Uniform;
    ++this->Messages;
    if (!Fleet.reaches(From, To) || Uniform(this->Random) < this->LossRate)
      return;
    const Duration Delay =
        fromSeconds(Uniform(this->Random) * MaxDelayMs * Hops / 1000.0);
    const std::string Hall =
        IsHall ? fmt::format("h{}", Fleet.getHall(From)) : "";
    this->Out.push_back(
        {Now + Delay, To, nameDaemon(From), Hall, std::move(Usage)});
  }

  void sendUsageToHall(const ModelFleet &Fleet, size_t From, TimePoint Now) {
    const std::vector<QuotaUsage> Usage =
        this->Daemons[From]->drainUsageChanges(8, Now);
    for (size_t To = 0; To < Fleet.count(); ++To)
      if (To != From && Fleet.getHall(To) == Fleet.getHall(From))
        this->send(Fleet, From, To, false, Usage, Now, 1);
  }

  /// Sends the usage of the hall to one daemon of each other hall, which relays
  /// it to the rest of its hall.
  void sendUsageToOtherHalls(const ModelFleet &Fleet, size_t From,
                             TimePoint Now) {
    this->HallSentAt[From] = Now;
    const bool WantsAll =
        Now - this->AllSentAt[From] >= fromMillis(AllIntervalMs);
    if (WantsAll)
      this->AllSentAt[From] = Now;
    const std::vector<QuotaUsage> Usage =
        this->Daemons[From]->getHallUsage(WantsAll, Now);
    std::uniform_real_distribution<double> Uniform;
    for (int Hall = 0; Hall < Fleet.Halls; ++Hall) {
      if (Hall == Fleet.getHall(From))
        continue;
      const size_t First = static_cast<size_t>(Hall * Fleet.DaemonsOfHall);
      const size_t Relay =
          First + this->Random() % static_cast<size_t>(Fleet.DaemonsOfHall);
      if (!Fleet.reaches(From, Relay) || Uniform(this->Random) < this->LossRate)
        continue;
      for (size_t I = 0; I < static_cast<size_t>(Fleet.DaemonsOfHall); ++I)
        if (First + I == Relay || Fleet.reaches(Relay, First + I))
          this->send(Fleet, From, First + I, true, Usage, Now, 2);
    }
  }

  void deliver(TimePoint Now) {
    std::erase_if(this->Out, [this, Now](const Message &Each) {
      if (Each.At > Now)
        return false;
      if (!Each.Hall.empty())
        this->Daemons[Each.To]->applyHallUsage(Each.Hall, Each.From, Each.Usage,
                                               Now);
      else
        this->Daemons[Each.To]->applyPeerUsage(Each.From, Each.Usage, Now);
      return true;
    });
  }

  std::mt19937_64 Random;
  const double LossRate;
  std::vector<std::unique_ptr<FleetQuota>> Daemons;
  std::vector<TimePoint> HallSentAt;
  std::vector<TimePoint> AllSentAt;
  std::vector<Message> Out;
  uint64_t Messages = 0;
};

using QuotaMethodVariant =
    std::variant<FixedPartsMethod, OneOwnerMethod, SharedCountsMethod>;

inline QuotaMethodVariant makeQuotaMethod(QuotaMethod Which,
                                          const ModelFleet &Fleet,
                                          const QuotaScenario &Scenario,
                                          uint64_t Seed, TimePoint Now) {
  switch (Which) {
  case QuotaMethod::FixedParts:
    return FixedPartsMethod(Fleet, Seed, Now);
  case QuotaMethod::OneOwner:
    return OneOwnerMethod(Fleet, Seed, Now);
  case QuotaMethod::SharedCounts:
    break;
  }
  return SharedCountsMethod(Fleet, Seed, Now, Scenario.LossRate);
}

} // namespace canvaswick

#endif // CANVASWICK_LIB_BENCH_QUOTAMETHODS_H
