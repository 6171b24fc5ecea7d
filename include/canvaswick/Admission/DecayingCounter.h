//===- DecayingCounter.h - Rates of events, by means that fade --*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// How often something happens: one mean that follows at once, and one that
/// follows only what lasts.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ADMISSION_DECAYINGCOUNTER_H
#define CANVASWICK_ADMISSION_DECAYINGCOUNTER_H

#include "canvaswick/Support/Time.h"

namespace canvaswick {

/// A count that fades with time: its value falls to 1/e within Fade.
class DecayingCounter {
public:
  explicit DecayingCounter(Duration Fade) : Fade(Fade) {}

  /// Returns the value at an instant not before the last change.
  double get(TimePoint Now) const;

  /// Returns what the value comes to in a second.
  double getRate(TimePoint Now) const {
    return this->get(Now) / toSeconds(this->Fade);
  }

  /// Adds to the value, which does not fall below zero.
  void add(double Amount, TimePoint Now);

private:
  Duration Fade;
  double Value = 0;
  TimePoint At{};
};

/// A rate that follows what happens only after a while: a mean of a fading
/// mean. Within the first fifth of its time a tenfold rise shows by a fifth.
class SmoothedRate {
public:
  explicit SmoothedRate(Duration Fade) : Fade(Fade) {}

  /// Returns events a second at an instant not before the last one. Since is
  /// when they began to be noted: what was before is not taken for none.
  double get(TimePoint Now, TimePoint Since) const;

  /// Notes events.
  void add(double Amount, TimePoint Now);

private:
  double getSettled(double Steps) const;

  Duration Fade;
  double Fresh = 0;
  double Settled = 0;
  TimePoint At{};
};

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_DECAYINGCOUNTER_H
