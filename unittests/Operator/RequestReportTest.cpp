//===- RequestReportTest.cpp - Tests of LogLines and RequestReport --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the parser of log lines and the report on one request.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/RequestReport.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace canvaswick;

static std::vector<LogLine> parseAll(const std::vector<std::string> &Texts) {
  std::vector<LogLine> Lines;
  for (const std::string &Text : Texts)
    if (const std::optional<LogLine> Line = parseLogLine(Text, "file"))
      Lines.push_back(*Line);
  return Lines;
}

TEST_CASE("a line is parsed with and without the name of a daemon before it") {
  const std::optional<LogLine> Alone = parseLogLine(
      R"(12.500 warning fetch-failed peer=1.2.3.4:5 what="no answer, \"late\"")",
      "d1.log");
  REQUIRE(Alone);
  CHECK(Alone->Seconds == doctest::Approx(12.5));
  CHECK(Alone->Source == "d1.log");
  CHECK(Alone->Level == "warning");
  CHECK(Alone->Event == "fetch-failed");
  CHECK(Alone->get("what") == R"("no answer, \"late\"")");
  const std::optional<LogLine> Mixed =
      parseLogLine("  0.1044 d2 17.104 info request id=a ms=2", "all.log");
  REQUIRE(Mixed);
  CHECK(Mixed->Source == "d2");
  CHECK(Mixed->getNumber("ms") == 2);
  CHECK(!parseLogLine("", "f"));
  CHECK(!parseLogLine("no line of a daemon", "f"));
  CHECK(!parseLogLine("x info y", "f"));
}

TEST_CASE("the end times of attempts are computed from their durations") {
  const LogLine Line = *parseLogLine(
      "10.0 info request id=a ms=500 "
      "tries=i-1:failed:100ms:share=0.250,i-2:good:400ms:share=1.000",
      "f");
  const std::vector<LoggedAttempt> Attempts = decodeAttempts(Line);
  REQUIRE(Attempts.size() == 2);
  CHECK(Attempts[0].Server == "i-1");
  CHECK(Attempts[0].Outcome == "failed");
  CHECK(Attempts[0].Share == doctest::Approx(0.25));
  CHECK(Attempts[0].Ended == doctest::Approx(9.6));
  CHECK(Attempts[1].Ended == doctest::Approx(10));
}

TEST_CASE("the report has the outcomes of other requests at the same server") {
  const std::vector<LogLine> Lines = parseAll({
      "1 d1 6.0 info settings-taken version=3",
      "1 d1 7.0 info settings-taken version=4",
      "1 d2 8.5 info request id=b ms=10 tries=i-1:good:10ms:share=0.900",
      "1 d2 9.0 info server-unlisted server=i-9",
      "1 d1 10.0 info request id=a status=500 ms=2 "
      "tries=i-1:failed:2ms:share=0.900",
      "1 d2 10.5 info request id=c ms=3 tries=i-1:failed:3ms:share=0.010",
      "1 d3 10.6 info request id=d ms=3 tries=i-2:good:3ms:share=0.9",
      "1 d3 19.0 info request id=e ms=3 tries=i-1:good:3ms:share=0.9",
  });
  const Result<std::string> Report = describeRequest("a", Lines);
  REQUIRE(Report);
  CHECK(Report.value() ==
        "10.000 d1 info request id=a status=500 ms=2 "
        "tries=i-1:failed:2ms:share=0.900\n"
        "attempt at i-1: failed after 2 ms, with 0.900 of its fair share\n"
        "  others there in the 2 s before: 1 good (daemons: 1)\n"
        "  others there in the 2 s after: 1 failed (daemons: 1)\n"
        "changes at d1 in the 5 s before:\n"
        "  4.000 s before: info settings-taken version=3\n"
        "  3.000 s before: info settings-taken version=4\n");
  CHECK(!describeRequest("nobody", Lines));
}

TEST_CASE("the report has the outcomes of requests with the same fingerprint") {
  const std::vector<LogLine> Lines = parseAll({
      "1 d1 10.0 info request id=a asks=7 ms=2 tries=i-1:cut-off:2ms:share=1",
      "1 d2 10.5 info request id=b asks=7 ms=2 tries=i-2:cut-off:2ms:share=1,"
      "i-3:cut-off:2ms:share=1",
      "1 d3 10.6 info request id=c asks=8 ms=3 tries=i-2:good:3ms:share=0.9",
  });
  const Result<std::string> Report = describeRequest("a", Lines);
  REQUIRE(Report);
  CHECK(Report.value().find("asked for 1 more times, attempts: 2 cut-off "
                            "(daemons: 1)\n") != std::string::npos);
}

TEST_CASE("malformed lines never make the parser crash") {
  CHECK(rc::check([](const std::string &Noise) {
    const std::string Text = "1.0 info request id=a ms=5 tries=" + Noise;
    if (const std::optional<LogLine> Line = parseLogLine(Text, "f"))
      decodeAttempts(*Line);
    parseLogLine(Noise, "f");
  }));
}
