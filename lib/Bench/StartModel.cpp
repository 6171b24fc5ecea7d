//===- StartModel.cpp - Model of a fleet that starts at once --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A fluid model of network links in steps of 1 ms. The bandwidth of a source
/// is shared evenly by its readers, and no reader exceeds the bandwidth of its
/// own link. CPU time is not modeled.
///
//===----------------------------------------------------------------------===//

#include "CapacityTables.h"

#include <algorithm>

namespace canvaswick {

namespace {

/// Where a daemon that starts reads its state from: pages of the store, the
/// snapshot in the store, or seed daemons.
enum class StartSource : uint8_t { Pages, Copy, Seeds };

/// The download of one daemon.
struct Download {
  int BeganMs = 0;
  /// Bytes that are still to be received.
  double Left = 0;
  /// Negative while the download is not complete.
  int DoneMs = -1;
};

/// The result of one start of a fleet.
struct StartResult {
  int MedianMs = 0;
  int LastMs = 0;
  double StoreMegabytes = 0;
  double CallsEach = 0;
};

} // namespace

static constexpr const char *getName(StartSource Source) {
  switch (Source) {
  case StartSource::Pages:
    return "pages";
  case StartSource::Copy:
    return "copy";
  case StartSource::Seeds:
    return "seeds";
  }
  return "";
}

/// Bandwidth of the store's link (1,000 Mbit/s) and of a daemon's link
/// (20 Mbit/s), in bytes per millisecond.
static constexpr double StoreLink = 125000;
static constexpr double DaemonLink = 2500;

/// All daemons start within this time.
static constexpr int SpreadMs = 300;

/// Response time of the store.
static constexpr int AnswerMs = 4;

/// Number of servers per daemon, as with 720 servers and 443 daemons.
static constexpr double ServersPerDaemon = 1.625;

/// Bytes per entry in a page of the store, which has it as base64 with its
/// fields, and in a packed snapshot, taken from a snapshot of 1,163 entries
/// (unit test DirectoryCalls).
static constexpr double PageBytesPerEntry = 330;
static constexpr double CopyBytesPerEntry = 26;

static constexpr double EntriesPerPage = 500;

/// Number of seed daemons, whose addresses are in the settings.
static constexpr double Seeds = 3;

/// Cost of a read that accepts a stale value, in calls.
static constexpr double CheapRead = 0.1;

/// Simulates Daemons downloads of Bytes each from a source with a bandwidth of
/// Link bytes per millisecond.
static std::vector<Download> run(size_t Daemons, double Bytes, double Link) {
  std::vector<Download> All(Daemons);
  for (size_t I = 0; I < Daemons; ++I)
    All[I] = {static_cast<int>(I * SpreadMs / Daemons) + AnswerMs, Bytes, -1};
  size_t Done = 0;
  for (int Now = 0; Done < Daemons; ++Now) {
    const auto IsActive = [Now](const Download &Each) {
      return Each.BeganMs <= Now && Each.DoneMs < 0;
    };
    const auto Active =
        static_cast<double>(std::count_if(All.begin(), All.end(), IsActive));
    for (Download &Each : All) {
      if (!IsActive(Each))
        continue;
      Each.Left -= std::min(DaemonLink, Link / Active);
      if (Each.Left > 0)
        continue;
      Each.DoneMs = Now + 1;
      ++Done;
    }
  }
  return All;
}

static StartResult startFleet(size_t Daemons, StartSource Source) {
  const double Entries = static_cast<double>(Daemons) * (1 + ServersPerDaemon);
  const double Pages = std::max(1.0, Entries / EntriesPerPage);
  const double Bytes =
      Entries *
      (Source == StartSource::Pages ? PageBytesPerEntry : CopyBytesPerEntry);
  const bool IsFromSeeds = Source == StartSource::Seeds;
  std::vector<int> Waits;
  for (const Download &Each :
       run(Daemons, Bytes, IsFromSeeds ? Seeds * DaemonLink : StoreLink))
    Waits.push_back(Each.DoneMs - Each.BeganMs + AnswerMs);
  std::sort(Waits.begin(), Waits.end());
  StartResult Result;
  Result.MedianMs = Waits[Waits.size() / 2];
  Result.LastMs = Waits.back();
  if (!IsFromSeeds) {
    Result.StoreMegabytes = Bytes * static_cast<double>(Daemons) / 1e6;
    Result.CallsEach = Source == StartSource::Pages ? Pages : CheapRead;
  }
  return Result;
}

std::string measureStarts() {
  std::string Csv = "daemons,way,median_wait_ms,last_wait_ms,store_mb,"
                    "reading_calls_a_start\n";
  for (const size_t Daemons : {36, 100, 443, 1000})
    for (const StartSource Source :
         {StartSource::Pages, StartSource::Copy, StartSource::Seeds}) {
      const StartResult Result = startFleet(Daemons, Source);
      Csv += fmt::format("{},{},{},{},{:.1f},{:.1f}\n", Daemons,
                         getName(Source), Result.MedianMs, Result.LastMs,
                         Result.StoreMegabytes, Result.CallsEach);
    }
  return Csv;
}

} // namespace canvaswick
