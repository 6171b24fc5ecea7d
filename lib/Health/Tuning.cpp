//===- Tuning.cpp - The numbers behind the one weighing setting -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One row a preset.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/Tuning.h"

#include <cassert>

namespace canvaswick {

HealthTuning getTuning(Weighing Preference) {
  switch (Preference) {
  case Weighing::Detection:
    return {11.0,           5.0, 2, 0.5, 0.7, fromSeconds(4), fromSeconds(120),
            fromMillis(500)};
  case Weighing::Balanced:
    return {14.0,          6.0, 3, 0.4, 0.6, fromSeconds(5), fromSeconds(120),
            fromSeconds(1)};
  case Weighing::FalseEjections:
    return {18.0,          8.0, 3, 0.34, 0.6, fromSeconds(5), fromSeconds(120),
            fromSeconds(1)};
  }
  assert(false && "weighing without a tuning");
  return {};
}

} // namespace canvaswick
