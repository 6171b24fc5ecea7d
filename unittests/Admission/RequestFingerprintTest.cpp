//===- RequestFingerprintTest.cpp - Tests of what equal requests share ----===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Equal requests have one digest; a difference in any part makes another.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Admission/RequestFingerprint.h"

#include <doctest/doctest.h>

#include <set>

using namespace canvaswick;

TEST_CASE("a request has one digest wherever it arrives, and no other shares "
          "it") {
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

TEST_CASE("where one part ends and the next begins makes a difference") {
  CHECK(computeRequestFingerprint({"", "GET", "a", "/x", ""}) !=
        computeRequestFingerprint({"", "GET", "a/", "x", ""}));
}
