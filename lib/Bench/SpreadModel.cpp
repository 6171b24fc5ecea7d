//===- SpreadModel.cpp - Model of a large value in one hall ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// How long a configuration takes from the store to all daemons of a hall: two
/// watchers receive it from the store, and whoever has it gives it to others. A
/// fluid model of network links in steps of 1 ms, with the time that packing
/// and decoding take on a tenth of a core. The limit on answers is the
/// product's own.
///
//===----------------------------------------------------------------------===//

#include "CapacityTables.h"
#include "canvaswick/Daemon/DirectoryCalls.h"
#include "canvaswick/Support/EnumNames.h"

#include <algorithm>
#include <random>

namespace canvaswick {

namespace {

/// Whom a daemon may ask: watchers that answer everybody at once, anybody who
/// has the value and sends it to few at a time, or watchers that send it to few
/// at a time, because all others are far behind and nobody knows that they have
/// it.
enum class SpreadWay : uint8_t { FromWatchers, PassedOn, FarBehind };

/// One case of the model.
struct SpreadCase {
  size_t Daemons = 0;
  double Routes = 0;
  /// Bytes per millisecond of each daemon's link.
  double Link = 0;
  SpreadWay Way = SpreadWay::PassedOn;
};

/// A daemon of the hall.
struct SpreadDaemon {
  /// When it may ask next, while it has no answer.
  int AskAtMs = 0;
  /// The daemon that sends it the value, or none.
  size_t Giver = SIZE_MAX;
  double LeftBytes = 0;
  /// When the value is in force; negative before it has arrived.
  int DoneMs = -1;
  LargeAnswers Given;
};

} // namespace

static constexpr EnumNames<SpreadWay, 3> SpreadWayNames = {{
    {SpreadWay::FromWatchers, "from-watchers"},
    {SpreadWay::PassedOn, "passed-on"},
    {SpreadWay::FarBehind, "far-behind"},
}};

/// Size of a route in bytes, the factors by which base64 and packing change it,
/// and the times in milliseconds that packing and taking a route need on a
/// tenth of a core.
static constexpr double BytesPerRoute = 155;
static constexpr double StoreFormFactor = 4.0 / 3;
static constexpr double PackedFraction = 0.147;
static constexpr double PackMsPerRoute = 10 * 7.0 / 2800;
static constexpr double TakeMsPerRoute = 10 * 10.0 / 2800;

/// How long it takes until others know that a daemon has the value.
static constexpr int NewsMs = 50;

/// How long a daemon waits that found no room, in milliseconds.
static constexpr int MinWaitMs = 50;
static constexpr int MaxWaitMs = 200;

static constexpr size_t Watchers = 2;

namespace {

/// Runs one case in virtual time.
class SpreadRun {
public:
  explicit SpreadRun(const SpreadCase &Given)
      : Case(Given), Daemons(Given.Daemons), Random(Given.Daemons) {
    const double Bytes = Given.Routes * BytesPerRoute * StoreFormFactor;
    for (size_t I = 0; I < Watchers; ++I)
      this->finish(this->Daemons[I], static_cast<int>(Bytes / Given.Link));
  }

  /// Returns when the value is in force at each daemon, in order.
  std::vector<int> run() {
    for (int Now = 0; this->Done < this->Daemons.size(); ++Now) {
      this->ask(Now);
      this->transfer(Now);
    }
    std::vector<int> Times;
    for (const SpreadDaemon &Each : this->Daemons)
      Times.push_back(Each.DoneMs);
    std::sort(Times.begin(), Times.end());
    return Times;
  }

private:
  void finish(SpreadDaemon &Daemon, int Now) {
    Daemon.DoneMs = Now + static_cast<int>(this->Case.Routes * TakeMsPerRoute);
    Daemon.Giver = SIZE_MAX;
    ++this->Done;
  }

  bool canGive(size_t Index, int Now) const {
    const SpreadDaemon &Daemon = this->Daemons[Index];
    const int PackMs = static_cast<int>(this->Case.Routes * PackMsPerRoute);
    return Daemon.DoneMs >= 0 && Now >= Daemon.DoneMs + PackMs + NewsMs &&
           (this->Case.Way == SpreadWay::PassedOn || Index < Watchers);
  }

  void ask(int Now) {
    std::vector<size_t> Givers;
    for (size_t I = 0; I < this->Daemons.size(); ++I)
      if (this->canGive(I, Now))
        Givers.push_back(I);
    if (Givers.empty())
      return;
    for (size_t I = 0; I < this->Daemons.size(); ++I)
      if (this->Daemons[I].DoneMs < 0 && this->Daemons[I].Giver == SIZE_MAX &&
          this->Daemons[I].AskAtMs <= Now)
        this->askOne(I, Givers[this->Random() % Givers.size()], Now);
  }

  void askOne(size_t Asker, size_t Giver, int Now) {
    SpreadDaemon &Daemon = this->Daemons[Asker];
    const TimePoint At = TimePoint{} + fromMillis(Now);
    if (this->Case.Way != SpreadWay::FromWatchers &&
        !this->Daemons[Giver].Given.tryBegin(Asker, At)) {
      Daemon.AskAtMs =
          Now + MinWaitMs +
          static_cast<int>(this->Random() % (MaxWaitMs - MinWaitMs));
      return;
    }
    Daemon.Giver = Giver;
    Daemon.LeftBytes = this->Case.Routes * BytesPerRoute * PackedFraction;
  }

  void transfer(int Now) {
    std::vector<double> Active(this->Daemons.size(), 0);
    for (const SpreadDaemon &Each : this->Daemons)
      if (Each.Giver != SIZE_MAX)
        ++Active[Each.Giver];
    for (size_t I = 0; I < this->Daemons.size(); ++I) {
      SpreadDaemon &Each = this->Daemons[I];
      if (Each.Giver == SIZE_MAX)
        continue;
      Each.LeftBytes -= this->Case.Link / Active[Each.Giver];
      if (Each.LeftBytes > 0)
        continue;
      this->Daemons[Each.Giver].Given.end(I);
      this->finish(Each, Now + 1);
    }
  }

  const SpreadCase Case;
  std::vector<SpreadDaemon> Daemons;
  std::mt19937_64 Random;
  size_t Done = 0;
};

} // namespace

std::string measureSpread() {
  std::string Csv =
      "daemons,routes,way,mbit_per_s,first_ms,median_ms,last_ms\n";
  for (const double Megabits : {10.0, 20.0})
    for (const size_t Daemons : {36, 72, 200, 400})
      for (const double Routes : {1400.0, 2800.0, 6700.0})
        for (const SpreadWay Way :
             {SpreadWay::FromWatchers, SpreadWay::PassedOn,
              SpreadWay::FarBehind}) {
          const std::vector<int> Times =
              SpreadRun({Daemons, Routes, Megabits * 125, Way}).run();
          Csv +=
              fmt::format("{},{},{},{},{},{},{}\n", Daemons, Routes,
                          getEnumName(SpreadWayNames, Way), Megabits,
                          Times.front(), Times[Times.size() / 2], Times.back());
        }
  return Csv;
}

} // namespace canvaswick
