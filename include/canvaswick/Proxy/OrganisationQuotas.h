//===- OrganisationQuotas.h - Request quotas of organisations ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Guards the fleet quota object of a daemon with a mutex. Request threads ask
/// it for admission, and the peer exchange merges the usage that other daemons
/// report.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_ORGANISATIONQUOTAS_H
#define CANVASWICK_PROXY_ORGANISATIONQUOTAS_H

#include "canvaswick/Admission/FleetQuota.h"

#include <mutex>

namespace canvaswick {

/// The quotas of one daemon. Thread-safe; no other lock is taken while its
/// mutex is held.
class OrganisationQuotas {
public:
  OrganisationQuotas(QuotaBounds Bounds, TimePoint Started, double Draw)
      : Quota(Bounds, Started, Draw) {}

  /// Calls Work with the quotas while the mutex is held.
  template <typename Function> auto with(Function &&Work) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    return Work(this->Quota);
  }

  /// Decides whether a request of an organisation is admitted.
  QuotaAnswer admit(const std::string &Organisation, TimePoint Now) {
    return this->with(
        [&](FleetQuota &All) { return All.admit(Organisation, Now); });
  }

  /// Refunds an admitted request that was not run.
  void giveBack(const std::string &Organisation, TimePoint Now) {
    this->with([&](FleetQuota &All) { All.giveBack(Organisation, Now); });
  }

  /// Applies the organisations of a version of the settings.
  void configure(const OrganisationDirectoryRef &Directory, TimePoint Now) {
    this->with([&](FleetQuota &All) { All.configure(Directory, Now); });
  }

  /// Removes idle organisations whose state is no longer needed.
  void forgetIdle(TimePoint Now) {
    this->with([&](FleetQuota &All) { All.forgetIdle(Now); });
  }

private:
  std::mutex Mutex;
  FleetQuota Quota;
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_ORGANISATIONQUOTAS_H
