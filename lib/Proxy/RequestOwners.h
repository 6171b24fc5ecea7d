//===- RequestOwners.h - Owners of what a request takes up ---- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A request that ends in an unforeseen way must not stay in the counts and
/// lists of its service. Private to this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_PROXY_REQUESTOWNERS_H
#define CANVASWICK_LIB_PROXY_REQUESTOWNERS_H

#include "canvaswick/Proxy/ServiceRuntime.h"

namespace canvaswick {

/// Owns the place that a service has given to a request. Ends the request as
/// failed unless it was ended before.
class AdmittedRequest {
public:
  AdmittedRequest() = default;
  ~AdmittedRequest() { this->finish(AnswerKind::Failed, readSteadyClock()); }
  AdmittedRequest(const AdmittedRequest &) = delete;
  AdmittedRequest &operator=(const AdmittedRequest &) = delete;

  /// Takes over a request that Service has admitted.
  void begin(const ServiceRuntimeRef &Service, TimePoint Now) {
    this->Service = Service;
    this->Began = Now;
  }

  /// Ends the request. Further calls have no effect.
  void finish(AnswerKind Kind, TimePoint Now) {
    if (this->Service)
      this->Service->finish(Kind, Now - this->Began, Now);
    this->Service.reset();
  }

private:
  ServiceRuntimeRef Service;
  TimePoint Began{};
};

/// Owns the link of an attempt that its service has begun. Ends the attempt as
/// canceled unless it was ended before.
class AttemptOwner {
public:
  AttemptOwner(ServiceRuntime &Service, Attempt &Owned)
      : Service(Service), Owned(Owned) {}
  ~AttemptOwner() {
    if (this->Owned.is_linked())
      this->Service.end(this->Owned, RequestOutcome::Canceled,
                        readSteadyClock());
  }
  AttemptOwner(const AttemptOwner &) = delete;
  AttemptOwner &operator=(const AttemptOwner &) = delete;

private:
  ServiceRuntime &Service;
  Attempt &Owned;
};

} // namespace canvaswick

#endif // CANVASWICK_LIB_PROXY_REQUESTOWNERS_H
