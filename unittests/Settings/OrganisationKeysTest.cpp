//===- OrganisationKeysTest.cpp - Tests of organisations and keys ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests the validation of key digests and the look-up of organisations by key.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/OrganisationKeys.h"
#include "canvaswick/Settings/FleetConfig.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <chrono>

using namespace canvaswick;

static std::string digest(const std::string &Key) {
  return KeyDigest::of(Key).format();
}

TEST_CASE("an organisation is found by each of its keys and by no other key") {
  const std::string Text =
      fmt::format("[organisation a]\nkey-digests = {} {}\nburst = 7\n"
                  "[organisation b]\nkey-digests = {}\n",
                  digest("a1"), digest("a2"), digest("b1"));
  const Result<SettingsTree> Tree = SettingsTree::parse(Text, "t.ini");
  REQUIRE(Tree);
  const FleetConfigRef Config = compileFleetConfig(Tree.value(), 1);
  const OrganisationDirectory &Directory = *Config->Organisations;
  CHECK(Directory.needsKeys());
  for (const char *Key : {"a1", "a2"}) {
    REQUIRE(Directory.findByKey(KeyDigest::of(Key)));
    CHECK(Directory.findByKey(KeyDigest::of(Key))->Name == "a");
  }
  CHECK(Directory.findByKey(KeyDigest::of("b1"))->Name == "b");
  CHECK(Directory.findByKey(KeyDigest::of("a")) == nullptr);
  REQUIRE(Directory.findByName("a"));
  CHECK(Directory.findByName("a")->Burst == 7);
}

TEST_CASE("callers need no key if no organisation has a key digest") {
  const Result<SettingsTree> Tree =
      SettingsTree::parse("[organisation a]\nburst = 7\n", "t.ini");
  REQUIRE(Tree);
  CHECK_FALSE(compileFleetConfig(Tree.value(), 1)->Organisations->needsKeys());
}

TEST_CASE(
    "a problem with keys is reported with file and line but without the key") {
  struct Case {
    std::string Setting;
    std::string Expected;
  };
  const std::string A = digest("a1");
  const Case Cases[] = {
      {"[organisation a]\nkey-digests = my-secret\n",
       "t.ini:2: [organisation a] key-digests: expected digests"},
      {fmt::format("[organisation a]\nkey-digests = {} {}\n", A, A),
       "t.ini:2: [organisation a] key-digests: a key stands twice"},
      {fmt::format("[organisation a]\nkey-digests = {}\n"
                   "[organisation b]\nkey-digests = {}\n",
                   A, A),
       "t.ini:4: [organisation b] key-digests: a key belongs to another"},
      {fmt::format("[organisation default]\nkey-digests = {}\n", A),
       "t.ini:2: [organisation default] key-digests: no caller"},
      {"[organisation a]\nkey-digests = " + std::string(151, 's') + "\n",
       "t.ini:2: [organisation a] key-digests = (not shown): expected a text"},
  };
  for (const Case &Each : Cases) {
    const Result<SettingsTree> Tree =
        SettingsTree::parse(Each.Setting, "t.ini");
    REQUIRE_FALSE(Tree);
    const std::string &Message = Tree.error().Message;
    CAPTURE(Message);
    CHECK(Message.find(Each.Expected) != std::string::npos);
    CHECK(Message.find("my-secret") == std::string::npos);
    CHECK(Message.find("sss") == std::string::npos);
    CHECK(Message.find(A) == std::string::npos);
  }
}

TEST_CASE(
    "a key of several organisations belongs to the first and is counted") {
  const OrganisationDirectoryRef Directory = makeOrganisationDirectory(
      {{"a", 0, 0, {}, {KeyDigest::of("k")}},
       {"b", 0, 0, {}, {KeyDigest::of("k"), KeyDigest::of("l")}}},
      true);
  CHECK(Directory->countDisputedKeys() == 1);
  CHECK(Directory->findByKey(KeyDigest::of("k"))->Name == "a");
  CHECK(Directory->findByKey(KeyDigest::of("l"))->Name == "b");
}

/// Uses the size that the operators plan for. Prints durations but does not
/// check them, because they depend on the machine.
TEST_CASE(
    "a directory of 1,000 organisations with 70,000 keys finds every key") {
  constexpr int Organisations = 1000;
  constexpr int KeysEach = 70;
  std::vector<OrganisationConfig> All;
  for (int I = 0; I < Organisations; ++I) {
    OrganisationConfig Each;
    Each.Name = fmt::format("o{}", I);
    for (int K = 0; K < KeysEach; ++K)
      Each.Keys.push_back(KeyDigest::of(fmt::format("key-{}-{}", I, K)));
    All.push_back(std::move(Each));
  }
  using Clock = std::chrono::steady_clock;
  const auto Began = Clock::now();
  const OrganisationDirectoryRef Directory =
      makeOrganisationDirectory(std::move(All), true);
  const auto Built = Clock::now();
  constexpr int Rounds = 200000;
  size_t Found = 0;
  for (int I = 0; I < Rounds; ++I) {
    const std::string Key = fmt::format("key-{}-{}", I % Organisations, I % 70);
    Found += Directory->findByKey(KeyDigest::of(Key)) != nullptr;
  }
  const auto Ended = Clock::now();
  CHECK(Found == Rounds);
  const auto Micros = [](auto Span) {
    return std::chrono::duration<double, std::micro>(Span).count();
  };
  MESSAGE("directory of 70,000 keys: built in "
          << Micros(Built - Began) / 1000 << " ms; digest and look-up "
          << Micros(Ended - Built) / Rounds << " us");
}
