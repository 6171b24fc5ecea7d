//===- WorkPacer.h - Rests between pieces of heavy work ---------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Work whose cost grows with the fleet, and whose occasions do too, would take
/// all of a small VM's processor. Rests in proportion to what the work took
/// bound its part of the processor; occasions that come meanwhile are served
/// together.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_WORKPACER_H
#define CANVASWICK_SUPPORT_WORKPACER_H

#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// Decides when a piece of work may begin. Not thread-safe.
class WorkPacer {
public:
  /// A rest is RestFactor times as long as the work before it, at most MaxRest.
  WorkPacer(int RestFactor, Duration MaxRest)
      : RestFactor(RestFactor), MaxRest(MaxRest) {}

  /// Returns the time until the next piece of work may begin.
  Duration getWait(TimePoint Now) const {
    return Now < this->NextAt ? this->NextAt - Now : Duration::zero();
  }

  /// Records a piece of work that began at Began and has ended.
  void recordWork(TimePoint Began, TimePoint Now) {
    const Duration Rest = (Now - Began) * this->RestFactor;
    this->NextAt = Now + (Rest < this->MaxRest ? Rest : this->MaxRest);
  }

private:
  const int RestFactor;
  const Duration MaxRest;
  TimePoint NextAt{};
};

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_WORKPACER_H
