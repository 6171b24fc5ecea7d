//===- NoContentTest.cpp - Tests of answers without content ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Such an answer has no body, and states no length of one.
///
//===----------------------------------------------------------------------===//

#include "SpoiltAnswers.h"

using namespace canvaswick;

TEST_CASE("an answer without content passes without a length") {
  for (const std::string Fields : {"", "Content-Length: 0\r\n"}) {
    SpoiltAnswers Server;
    Server.setAnswer(makeHead(Fields, "204 No Content"));
    const SeenAnswer Seen = Server.ask("/a");
    CHECK(Seen.Head.starts_with("HTTP/1.1 204"));
    CHECK(countFields(Seen.Head, "content-length") == 0);
  }
}
