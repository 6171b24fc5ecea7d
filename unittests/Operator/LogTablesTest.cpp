//===- LogTablesTest.cpp - Tests of tables built from logs ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the tables of rejected entries, poison requests and replicas on lines
/// as daemons log them.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Operator/LogTables.h"

#include <doctest/doctest.h>

using namespace canvaswick;

static std::vector<LogLine> parseAll(const std::vector<std::string> &Texts) {
  std::vector<LogLine> Lines;
  for (const std::string &Text : Texts)
    if (const std::optional<LogLine> Line = parseLogLine(Text, "file"))
      Lines.push_back(*Line);
  return Lines;
}

TEST_CASE("rejected entries are counted by their subject") {
  CHECK(makeEntryTable({}) == "no entry was refused\n");
  CHECK(makeEntryTable(parseAll({
            "1 d1 6.0 error server-refused server=\"i-1\" revision=3 "
            "what=\"slots: expected a whole number\"",
            "1 d2 6.1 error server-refused server=\"i-1\" revision=3 "
            "what=\"slots: expected a whole number\"",
            "1 d1 7.0 error daemon-refused daemon=\"d9\" what=\"not UTF-8\"",
            "1 d1 8.0 info settings-taken version=3",
        })) == "daemon \"d9\": refused 1 times by 1 daemons, last \"not "
               "UTF-8\"\n"
               "server \"i-1\": refused 2 times by 2 daemons, last \"slots: "
               "expected a whole number\"\n");
}

TEST_CASE(
    "poison requests are listed with their cut-offs, servers and answers") {
  CHECK(makePoisonRequestTable(parseAll({
            "1 d1 6.0 info request id=a asks=7 route=r ms=2 "
            "tries=i-1:cut-off:2ms:share=1,i-2:cut-off:2ms:share=1",
            "1 d2 6.1 info request id=b asks=7 route=r ms=2 "
            "tries=i-3:cut-off:2ms:share=1",
            "1 d2 6.2 warning request-held-back asks=7 ends=3",
            "1 d2 6.3 info request id=c asks=8 route=r ms=2 "
            "tries=i-3:cut-off:2ms:share=1,i-1:good:5ms:share=1",
        })) == "asks 7: route r, 2 requests, 3 cut off at 3 servers, 0 "
               "answered, held back at 1 daemons\n"
               "  i-1 i-2 i-3\n");
}

TEST_CASE(
    "the table of replicas has each daemon's epoch, revision and version") {
  const std::string Table = makeReplicaTable(parseAll(
      {"1 d1 6.0 info copy-advanced source=store call=read from=0:0 to=1:40 "
       "items=3",
       "1 d1 6.1 info settings-in-force version=7",
       "1 d1 9.0 warning store-restored from=1:40 to=2:21 items=3 "
       "servers-missing=1 daemons-missing=0 version-in-force=7",
       "1 d2 6.0 info copy-advanced source=peer from=0:0 to=1:40 items=3"}));
  CHECK(Table == "d1: copy of the store at 2:21 since 9.000, version 7 in "
                 "force, 1 restores of the store\n"
                 "d2: copy of the store at 1:40 since 6.000, version - in "
                 "force, 0 restores of the store\n");
}
