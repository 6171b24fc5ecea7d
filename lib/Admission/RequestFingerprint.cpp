//===- RequestFingerprint.cpp - Fingerprints of equal requests ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each part is hashed with the hash of the parts before it as seed, so that
/// splitting the same bytes differently gives another fingerprint.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/RequestFingerprint.h"
#include "canvaswick/Support/Hash.h"

namespace canvaswick {

RequestFingerprint computeRequestFingerprint(const RequestParts &Parts) {
  RequestFingerprint Fingerprint = 0;
  for (const std::string_view Part :
       {Parts.Organisation, Parts.Method, Parts.Host, Parts.Target, Parts.Body})
    Fingerprint = hashText(Part, Fingerprint);
  return Fingerprint;
}

} // namespace canvaswick
