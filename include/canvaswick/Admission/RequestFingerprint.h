//===- RequestFingerprint.h - Fingerprints of equal requests ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A number that is the same for two requests for the same thing, whichever
/// daemon they reach and however often a caller sends them.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ADMISSION_REQUESTFINGERPRINT_H
#define CANVASWICK_ADMISSION_REQUESTFINGERPRINT_H

#include <cstdint>
#include <string_view>

namespace canvaswick {

/// Identifies a request in logs and between daemons. Not collision-resistant:
/// an attacker can find two requests with the same fingerprint.
using RequestFingerprint = uint64_t;

/// The parts of a request that make up its identity. The caller's address is
/// not one of them: one caller may run many VMs and send the same request in
/// several halls, each time from another address. With the address, a request
/// sent 36 times ended 36 servers; without it, it ended three, and one with
/// each probe. Callers that send the same request are told apart by its
/// outcome: a request that is answered for one of them is not quarantined for
/// the others.
struct RequestParts {
  /// The organisation that the caller names, if any.
  std::string_view Organisation;
  std::string_view Method;
  /// The host of the route, not the one in the Host header: callers that
  /// address daemons by IP address send a different one to each daemon.
  std::string_view Host;
  std::string_view Target;
  /// The whole body, or a substitute for a body that is not kept.
  std::string_view Body;
};

/// Returns the fingerprint of a request.
RequestFingerprint computeRequestFingerprint(const RequestParts &Parts);

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_REQUESTFINGERPRINT_H
