//===- RequestFingerprint.cpp - What two equal requests have in common ----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each part is hashed with the hash of those before it as its seed, so that no
/// two divisions of the same bytes are alike.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/RequestFingerprint.h"
#include "canvaswick/Support/Hash.h"

namespace canvaswick {

RequestFingerprint computeRequestFingerprint(const RequestParts &Parts) {
  RequestFingerprint Digest = 0;
  for (const std::string_view Part :
       {Parts.Organisation, Parts.Method, Parts.Host, Parts.Target, Parts.Body})
    Digest = hashText(Part, Digest);
  return Digest;
}

} // namespace canvaswick
