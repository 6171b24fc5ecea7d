//===- ClaimGate.h - The way the data path asks for the right to run a request
// once -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A keyed request of the class once is run only after its claim is granted.
/// This interface keeps the data path apart from how claims are stored.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_CLAIMS_CLAIMGATE_H
#define CANVASWICK_CLAIMS_CLAIMGATE_H

#include "canvaswick/Support/Time.h"

#include <cstdint>
#include <string>

namespace canvaswick {

/// The kinds of answer to a claim.
enum class ClaimKind : uint8_t {
  /// Nobody has run it and nobody else will: run it.
  Granted,
  /// It ran; the first answer is here.
  FirstAnswer,
  /// Another try of the same request is under way.
  StillRunning,
  /// A try began and how it ended is not known. It will not be run again.
  NotKnown,
  /// The key was used for a different request.
  DifferentRequest,
  /// The claim could not be stored; nothing was run.
  Unavailable,
};

/// Returns the name of a kind as reports print it.
const char *getName(ClaimKind Kind);

/// The stored answer of a request that ran.
struct FirstAnswer {
  int Status = 0;
  std::string ContentType;
  std::string Body;
  /// False if the body was too long to keep.
  bool HasBody = true;
};

/// What came of asking.
struct ClaimVerdict {
  ClaimKind Kind = ClaimKind::Unavailable;
  FirstAnswer Answer;
  /// Names the granted claim.
  uint64_t Claim = 0;
};

/// How a claimed request ended.
enum class ClaimEnd : uint8_t { Ran, NotRun, NotKnown };

/// Grants claims and takes their ends. Thread-safe.
class ClaimGate {
public:
  virtual ~ClaimGate() = default;

  /// Asks for the right to run the request that Key names. Fingerprint is the
  /// same for the same request only. Waits until Deadline at most.
  virtual ClaimVerdict begin(const std::string &Key,
                             const std::string &Fingerprint,
                             TimePoint Deadline) = 0;

  /// Tells how a granted claim ended.
  virtual void finish(const std::string &Key, uint64_t Claim, ClaimEnd End,
                      const FirstAnswer &Answer) = 0;
};

} // namespace canvaswick

#endif // CANVASWICK_CLAIMS_CLAIMGATE_H
