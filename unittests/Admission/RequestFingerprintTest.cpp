//===- RequestFingerprintTest.cpp - Tests of request fingerprints ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Equal requests have the same fingerprint; a difference in any part changes
/// it.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/RequestFingerprint.h"

#include <doctest/doctest.h>

#include <set>

using namespace canvaswick;

TEST_CASE(
    "equal requests have one fingerprint, different ones do not share it") {
  const RequestParts Asked{"org", "GET", "a.example", "/x/1", "b"};
  CHECK(computeRequestFingerprint(Asked) ==
        computeRequestFingerprint(RequestParts(Asked)));
  std::set<RequestFingerprint> All{computeRequestFingerprint(Asked)};
  for (const auto Part :
       {&RequestParts::Organisation, &RequestParts::Method, &RequestParts::Host,
        &RequestParts::Target, &RequestParts::Body}) {
    RequestParts Other = Asked;
    Other.*Part = "other";
    All.insert(computeRequestFingerprint(Other));
  }
  CHECK(All.size() == 6);
}

TEST_CASE("the boundaries between parts affect the fingerprint") {
  CHECK(computeRequestFingerprint({"", "GET", "a", "/x", ""}) !=
        computeRequestFingerprint({"", "GET", "a/", "x", ""}));
}
