//===- LossTableTest.cpp - Tests of LossTable -----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests how attempts are classified, and the format of the table.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/LossTable.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static LogLine parse(const std::string &Text) {
  return *parseLogLine(Text, "f");
}

TEST_CASE("attempts are classified by the estimates in the log line") {
  const LogLine Line =
      parse("10.0 info request id=a ms=5 "
            "tries=i-1:good:1ms:share=0.900:sick=0.020:load=1.0,"
            "i-1:failed:1ms:share=0.900:sick=0.020:load=3.0,"
            "i-1:failed:1ms:share=0.100:sick=0.400:load=0.0,"
            "i-1:failed:1ms:share=0.600:sick=0.700:load=0.0:test,"
            "i-1:failed:1ms:share=0.600");
  std::vector<ServerKnowledge> Classified;
  for (const LoggedAttempt &Attempt : decodeAttempts(Line))
    Classified.push_back(classifyAttempt(Attempt));
  CHECK(Classified == std::vector<ServerKnowledge>{
                          ServerKnowledge::Unsuspected, ServerKnowledge::Loaded,
                          ServerKnowledge::Suspect, ServerKnowledge::Test,
                          ServerKnowledge::Unknown});
}

TEST_CASE("attempts are counted by route, order and knowledge of the server") {
  const std::string Table = makeLossTable({
      parse("1.0 info request id=a route=r ms=1 "
            "tries=i-1:slow:1ms:share=1:sick=0.0:load=0,"
            "i-2:good:1ms:share=1:sick=0.0:load=0"),
      parse("2.0 info request id=b route=r ms=1 "
            "tries=i-1:good:1ms:share=1:sick=0.0:load=0"),
      parse("3.0 info request id=c route=q ms=1 tries=-"),
      parse("4.0 info server-listed server=i-1"),
  });
  CHECK(Table == "route r: 2 requests\n"
                 "  first unsuspected      2  not good  50.0 %  1 good 1 slow\n"
                 "  later unsuspected      1  not good   0.0 %  1 good\n"
                 "route q: 1 requests\n");
}
