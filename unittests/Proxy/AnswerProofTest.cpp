//===- AnswerProofTest.cpp - Tests of what proves an answer ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A success shows by one stamp and one id that a server gave it to this
/// request.
///
//===----------------------------------------------------------------------===//

#include "SpoiltAnswers.h"

using namespace canvaswick;

/// Returns a head with these lines in place of the id and the proof.
static std::string makeUnprovedHead(const std::string &Lines) {
  return "HTTP/1.1 200 OK\r\n" + Lines + "Content-Length: 40\r\n\r\n";
}

/// Returns answers that do not show that a server gave them to this request.
static std::vector<HeadCase> makeUnprovedAnswers() {
  std::vector<HeadCase> Kinds;
  const std::string Id = std::string("Caller-Id: ") + CallerId + "\r\n";
  for (const std::string &Lines :
       {Id + "Proof: \r\n", Id + "Proof: p\r\nProof: q\r\n",
        Id + "Proof: p\r\nProof: \r\n", Id, std::string("Proof: p\r\n"),
        std::string("Proof: p\r\nCaller-Id: \r\n"),
        Id + "Proof: p\r\nCaller-Id: r-2\r\n",
        "Caller-Id: r-2\r\nProof: p\r\n" + Id,
        Id + "Proof: p\r\nConnection: Proof\r\n",
        Id + "Proof: p\r\nConnection: keep-alive,\tcaller-id\r\n",
        Id + "Proof: p\r\nContent-Encoding: gzip\r\n"})
    Kinds.push_back({"lines " + Lines, makeUnprovedHead(Lines), Body});
  return Kinds;
}

// Guards against successes without a proof, or with two of them (MIXED).
TEST_CASE("an answer that does not prove whose it is is never passed on") {
  for (const HeadCase &Each : makeUnprovedAnswers())
    for (const std::string Target : {"/a", "/once"})
      checkNeverPasses(Each, Target, makeProvedOptions());
}
