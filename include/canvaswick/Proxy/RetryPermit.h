//===- RetryPermit.h - The right to send a request again --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A retry that was taken from a service's budget for one request. Sending the
/// request to a server uses it up; a permit that is dropped before goes back to
/// the budget.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_RETRYPERMIT_H
#define CANVASWICK_PROXY_RETRYPERMIT_H

#include "canvaswick/Proxy/ServiceRuntime.h"

#include <cassert>
#include <utility>

namespace canvaswick {

/// The right to one arrival of a request at a server after its first one.
/// Not thread-safe.
class RetryPermit {
public:
  /// Holds nothing.
  RetryPermit() = default;

  /// Holds a retry that was taken from the budget of Service.
  RetryPermit(ServiceRuntime &Service, const TakenRetry &Taken)
      : Service(&Service), Taken(Taken) {}

  RetryPermit(RetryPermit &&Other) noexcept = default;
  RetryPermit &operator=(RetryPermit &&Other) noexcept {
    std::swap(this->Service, Other.Service);
    std::swap(this->Taken, Other.Taken);
    return *this;
  }
  RetryPermit(const RetryPermit &) = delete;
  RetryPermit &operator=(const RetryPermit &) = delete;

  ~RetryPermit() {
    if (this->Service)
      this->Service->giveBackRetry(this->Taken);
  }

  bool isHeld() const { return this->Service != nullptr; }

  /// Uses up the permit for a request that is sent at Now.
  void consume(TimePoint Now) && {
    assert(this->isHeld() && "a retry without a permit");
    this->Service->recordRetrySent(this->Taken, Now);
    this->Service.reset();
  }

private:
  /// Null if nothing is held.
  ServiceRuntimeRef Service;
  TakenRetry Taken;
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_RETRYPERMIT_H
