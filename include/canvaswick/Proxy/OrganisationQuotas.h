//===- OrganisationQuotas.h - What organisations may send -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// FleetQuota behind a mutex: threads of requests ask it, the link to peers
/// feeds it.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_ORGANISATIONQUOTAS_H
#define CANVASWICK_PROXY_ORGANISATIONQUOTAS_H

#include "canvaswick/Admission/FleetQuota.h"

#include <mutex>

namespace canvaswick {

/// The allowances of one daemon. Thread-safe; no other lock is taken under its
/// mutex.
class OrganisationQuotas {
public:
  OrganisationQuotas(QuotaBounds Bounds, TimePoint Started, double Draw)
      : Allowance(Bounds, Started, Draw) {}

  /// Runs Work on the allowances while nobody else does anything with them.
  template <typename Function> auto with(Function &&Work) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return Work(this->Allowance);
  }

  /// Decides on one request.
  QuotaAnswer admit(const std::string &Organisation, TimePoint Now) {
    return this->with(
        [&](FleetQuota &All) { return All.admit(Organisation, Now); });
  }

  /// Takes back that a request was admitted: it was not run after all.
  void giveBack(const std::string &Organisation, TimePoint Now) {
    this->with([&](FleetQuota &All) { All.giveBack(Organisation, Now); });
  }

  /// Takes the organisations of a version of the settings.
  void configure(const OrganisationDirectoryRef &Directory, TimePoint Now) {
    this->with([&](FleetQuota &All) { All.configure(Directory, Now); });
  }

  /// Forgets organisations of which nothing need be remembered.
  void forgetIdle(TimePoint Now) {
    this->with([&](FleetQuota &All) { All.forgetIdle(Now); });
  }

private:
  std::mutex Mutex;
  FleetQuota Allowance;
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_ORGANISATIONQUOTAS_H
