//===- RetryTableTest.cpp - Tests of the table of retries -----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/RetryTable.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static LogLine parse(const std::string &Text) {
  return *parseLogLine(Text, "f");
}

TEST_CASE("retries are counted by service and by the outcome before") {
  const std::string Table = makeRetryTable({
      parse("1.0 info request id=a service=s outcome=relayed ms=1 "
            "tries=i-1:misdirected:1ms:share=1:sick=0.0:load=0,"
            "i-2:shed:1ms:share=1:sick=0.0:load=0:paid,"
            "i-3:good:1ms:share=1:sick=0.0:load=0:kept:paid"),
      parse("2.0 info request id=b service=s outcome=not-run ms=1 "
            "tries=i-1:unreachable:1ms:share=1:sick=0.0:load=0,"
            "i-2:shed:1ms:share=1:sick=0.0:load=0"),
      parse("3.0 info request id=c service=q outcome=not-run ms=1 tries=-"),
      parse("4.0 info server-listed server=i-1"),
  });
  CHECK(Table == "service s: 2 requests, 2 retries, 1 unanswered\n"
                 "  after misdirected       1  served      0\n"
                 "  after shed              1  served      1\n"
                 "service q: 1 requests, 0 retries, 0 unanswered\n");
}
