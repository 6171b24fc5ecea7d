//===- BenchObserver.cpp - Metrics of a policy benchmark run --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the metrics as docs/POLICY-BENCH.md defines them.
///
//===----------------------------------------------------------------------===//

#include "BenchObserver.h"

#include <algorithm>
#include <cmath>

namespace canvaswick {

/// A server with a lower share counts as removed.
static constexpr double RemovedShare = 0.05;

BenchObserver::BenchObserver(const Scenario &Spec, const FakeServers &Servers)
    : Spec(Spec), Servers(Servers), Watches(static_cast<size_t>(Spec.Servers)),
      Detection(Servers.getFaults().size(),
                std::vector<double>(static_cast<size_t>(Spec.Servers), -1)) {
  for (ServerWatch &Watch : this->Watches)
    Watch.WasRemoved.assign(static_cast<size_t>(Spec.Daemons), false);
}

/// Returns the mean share of a server over the marked daemons, or 1 if there
/// are none.
static double getMeanShare(const ShareTable &Shares, size_t Server,
                           const std::vector<bool> &Marked) {
  double Sum = 0;
  double Count = 0;
  for (size_t D = 0; D < Shares.size(); ++D) {
    if (!Marked[D])
      continue;
    Sum += Shares[D][Server];
    ++Count;
  }
  return Count > 0 ? Sum / Count : 1;
}

void BenchObserver::observeServer(size_t Server, const ShareTable &Shares,
                                  TimePoint Now, Duration Step) {
  if (this->Servers.isLeaving(Server, Now))
    return;
  ServerWatch &Watch = this->Watches[Server];
  const bool IsUnhealthy = this->Servers.isUnhealthy(Server, Now);
  bool IsRemovedAnywhere = false;
  for (size_t D = 0; D < Shares.size(); ++D) {
    const bool IsRemoved = Shares[D][Server] < RemovedShare;
    IsRemovedAnywhere = IsRemovedAnywhere || IsRemoved;
    if (IsRemoved && !Watch.WasRemoved[D] && !IsUnhealthy &&
        !Watch.IsInFalseEpisode) {
      Watch.IsInFalseEpisode = true;
      ++this->FalseEjections;
    }
    Watch.WasRemoved[D] = IsRemoved;
  }
  if (!IsRemovedAnywhere)
    Watch.IsInFalseEpisode = false;
  if (IsUnhealthy)
    return;
  const std::vector<bool> Everyone(Shares.size(), true);
  this->HealthySecondsLost +=
      (1 - getMeanShare(Shares, Server, Everyone)) * toSeconds(Step);
}

void BenchObserver::observeFloor(const ShareTable &Shares, TimePoint Now) {
  const double All = this->Spec.Servers * this->Spec.Slots;
  double NotLeaving = 0;
  for (size_t S = 0; S < this->Watches.size(); ++S)
    if (!this->Servers.isLeaving(S, Now))
      NotLeaving += this->Spec.Slots;
  const double Floor =
      std::min(NotLeaving, All * this->Spec.FloorPercent / 100);
  for (const std::vector<double> &Daemon : Shares) {
    double Usable = 0;
    for (const double Share : Daemon)
      Usable += this->Spec.Slots * Share;
    if (Usable < Floor - 1e-6)
      ++this->FloorViolations;
  }
}

void BenchObserver::observeDetection(const ShareTable &Shares, TimePoint Now) {
  const std::vector<ActiveFault> &Faults = this->Servers.getFaults();
  for (size_t F = 0; F < Faults.size(); ++F) {
    if (!Faults[F].isServerFault() || !Faults[F].isActive(Now))
      continue;
    for (size_t S = 0; S < this->Watches.size(); ++S) {
      if (!Faults[F].Servers[S] || this->Detection[F][S] >= 0)
        continue;
      if (getMeanShare(Shares, S, Faults[F].Daemons) < RemovedShare)
        this->Detection[F][S] =
            toSeconds(Now.time_since_epoch() - Faults[F].Description.Start);
    }
  }
}

void BenchObserver::observe(const ShareTable &Shares, TimePoint Now,
                            Duration Step) {
  for (size_t S = 0; S < this->Watches.size(); ++S)
    this->observeServer(S, Shares, Now, Step);
  this->observeFloor(Shares, Now);
  this->observeDetection(Shares, Now);
}

/// Returns whether the removal of the affected servers mitigates the fault,
/// which requires that they are fewer than half of the servers.
static bool isRemovable(const ActiveFault &Each) {
  const auto Hit = std::count(Each.Servers.begin(), Each.Servers.end(), true);
  return Each.isServerFault() &&
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

void BenchObserver::summarize(BenchResult &Into) const {
  Into.FalseEjections = this->FalseEjections;
  Into.FloorViolations = this->FloorViolations;
  Into.HealthySecondsLost = this->HealthySecondsLost;
  std::vector<double> Times;
  const std::vector<ActiveFault> &Faults = this->Servers.getFaults();
  for (size_t F = 0; F < Faults.size(); ++F) {
    if (!isRemovable(Faults[F]))
      continue;
    for (size_t S = 0; S < this->Watches.size(); ++S) {
      if (!Faults[F].Servers[S])
        continue;
      ++Into.Faults;
      const bool IsDetected = this->Detection[F][S] >= 0;
      Into.Detected += IsDetected ? 1 : 0;
      Times.push_back(IsDetected ? this->Detection[F][S]
                                 : toSeconds(Faults[F].Description.End -
                                             Faults[F].Description.Start));
    }
  }
  Into.DetectionP50 = pickQuantile(Times, 0.5);
  Into.DetectionP99 = pickQuantile(Times, 0.99);
}

} // namespace canvaswick
