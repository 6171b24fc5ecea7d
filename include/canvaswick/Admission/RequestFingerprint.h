//===- RequestFingerprint.h - What two equal requests have in ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A number that is the same for two requests that ask for the same thing, at
/// whatever daemon they arrive and however often their caller asks.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ADMISSION_REQUESTFINGERPRINT_H
#define CANVASWICK_ADMISSION_REQUESTFINGERPRINT_H

#include <cstdint>
#include <string_view>

namespace canvaswick {

/// Stands for a request in logs and between daemons. Not proof against somebody
/// who looks for two requests with one digest on purpose.
using RequestFingerprint = uint64_t;

/// What makes a request the same as another. The address that it comes from
/// does not: one caller may be many machines, and asks at several halls, each
/// time from another address. With it, 36 servers ended under one request in a
/// session that asks 36 times, without it three, and one a try. Callers who ask
/// for the same thing are told apart by what comes of it: a request that is
/// answered for one of them is not held back from the others.
struct RequestParts {
  /// Who asks, if the caller says so.
  std::string_view Organisation;
  std::string_view Method;
  /// The host that its route is for. Not the one it names: where callers know
  /// the daemons by address, that is another at each daemon.
  std::string_view Host;
  std::string_view Target;
  /// The whole body, or what stands for one that is not kept.
  std::string_view Body;
};

/// Returns the digest of a request.
RequestFingerprint computeRequestFingerprint(const RequestParts &Parts);

} // namespace canvaswick

#endif // CANVASWICK_ADMISSION_REQUESTFINGERPRINT_H
