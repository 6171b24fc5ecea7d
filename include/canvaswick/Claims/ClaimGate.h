//===- ClaimGate.h - Interface that grants claims on requests ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A request with an idempotency key on a route of the class once is run only
/// after its claim is granted. This interface separates the data path from the
/// storage of claims.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_CLAIMS_CLAIMGATE_H
#define CANVASWICK_CLAIMS_CLAIMGATE_H

#include "canvaswick/Support/Time.h"

#include <cstdint>
#include <string>

namespace canvaswick {

/// The outcome of asking for a claim.
enum class ClaimKind : uint8_t {
  /// The key was free and now belongs to this claim. Its holder alone may run
  /// the request.
  Granted,
  /// The request ran before, and the verdict holds its stored response.
  FirstAnswer,
  /// Another attempt at the same request is in progress.
  StillRunning,
  /// An earlier attempt started and its outcome is unknown. The request is not
  /// run again.
  NotKnown,
  /// The key was used before for a different request.
  DifferentRequest,
  /// The claim could not be stored, so the request was not run.
  Unavailable,
};

/// Returns the name of an outcome as it appears in reports.
const char *getName(ClaimKind Kind);

/// The stored response of a request that ran.
struct FirstAnswer {
  int Status = 0;
  std::string ContentType;
  std::string Body;
  /// Is false if the body was too long to store.
  bool HasBody = true;
};

/// The reply to a request for a claim.
struct ClaimVerdict {
  ClaimKind Kind = ClaimKind::Unavailable;
  /// The stored response if Kind is FirstAnswer.
  FirstAnswer Answer;
  /// Identifies the claim that holds the key.
  uint64_t Claim = 0;
};

/// How a request that was granted a claim ended.
enum class ClaimEnd : uint8_t { Ran, NotRun, NotKnown };

/// Grants claims and records how their requests ended. Thread-safe.
class ClaimGate {
public:
  virtual ~ClaimGate() = default;

  /// Asks for the right to run the request with the idempotency key Key.
  /// Fingerprint tells whether two requests with one key are the same request.
  /// Blocks until Deadline at most.
  virtual ClaimVerdict begin(const std::string &Key,
                             const std::string &Fingerprint,
                             TimePoint Deadline) = 0;

  /// Records how the request of a granted claim ended.
  virtual void finish(const std::string &Key, uint64_t Claim, ClaimEnd End,
                      const FirstAnswer &Answer) = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_CLAIMS_CLAIMGATE_H
