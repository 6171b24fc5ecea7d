//===- ConnectTimes.cpp - How long new connections take -------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements ConnectTimes.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/ConnectTimes.h"

#include <algorithm>

namespace canvaswick {

/// The weights of a new sample in the mean and in the deviation, and the number
/// of deviations that the limit lies above the mean, as in RFC 6298.
static constexpr int MeanDivisor = 8;
static constexpr int DeviationDivisor = 4;
static constexpr int LimitDeviations = 4;

/// Lower limit: a server or a link may hold up a packet for tens of
/// milliseconds, and each of the two connection attempts gets half of it.
static constexpr Duration MinLimit = fromMillis(120);

/// Timeouts in a row that do not lengthen the limit. Several servers may be
/// behind the same cut.
static constexpr int FreeTimeouts = 3;

/// Keeps the shift within the range of int; Max is reached much earlier.
static constexpr int MaxDoublings = 10;

void ConnectEstimate::recordConnected(Duration Took) {
  this->TimeoutsInRow = 0;
  if (!this->HasSample) {
    this->HasSample = true;
    this->Mean = Took;
    this->Deviation = Took / 2;
    return;
  }
  const Duration Error = Took - this->Mean;
  this->Deviation +=
      (std::max(Error, -Error) - this->Deviation) / DeviationDivisor;
  this->Mean += Error / MeanDivisor;
}

Duration ConnectEstimate::getLimit(Duration Max) const {
  if (!this->HasSample)
    return Max;
  const int Doublings =
      std::clamp(this->TimeoutsInRow - FreeTimeouts, 0, MaxDoublings);
  const Duration Usual =
      std::max(MinLimit, this->Mean + LimitDeviations * this->Deviation);
  return std::min(Max, Usual * (1 << Doublings));
}

Duration ConnectTimes::getLimit(const std::string &Hall, Duration Max) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Halls.find(Hall);
  return Found == this->Halls.end() ? Max : Found->second.getLimit(Max);
}

void ConnectTimes::recordConnected(const std::string &Hall, Duration Took) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Halls[Hall].recordConnected(Took);
}

void ConnectTimes::recordTimeout(const std::string &Hall) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Halls[Hall].recordTimeout();
}

} // namespace canvaswick
