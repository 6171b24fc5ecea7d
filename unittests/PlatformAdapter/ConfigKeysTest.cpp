//===- ConfigKeysTest.cpp - Tests of API keys in the configuration --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "platform/ConfigKeys.h"
#include "canvaswick/Support/Base64.h"
#include "canvaswick/Support/KeyDigest.h"
#include "platform/RecordDecoder.h"
#include "platform/StoreClient.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace canvaswick;
using namespace canvaswick::platform;

static std::string makeConfig(const std::string &Organisations) {
  return fmt::format(
      R"({{"version":7,"limits":{{}},{}"listeners":[{{"host":"h","rules":[)"
      R"({{"name":"r","kind":"idempotent","goalS":1,"public":true,)"
      R"("match":{{"pathPrefix":"/x/"}},"action":{{"service":"s",)"
      R"("timeoutS":2.5,"attempts":2}}}}]}}],)"
      R"("clusters":[{{"name":"s","healthPath":"/h","maxConns":3}}]}})",
      Organisations);
}

static const std::string TwoKeys =
    R"("tenants":[{"name":"acme","apiKeys":["alpha-key","beta-key"],)"
    R"("priority":1,"ratePerS":2.5,"burst":4},{"name":"free"}],)";

TEST_CASE("organisations are found by the digests of their keys") {
  const Result<RoutingRules> Rules =
      decodeRoutingRules(replaceKeysByDigests(makeConfig(TwoKeys)));
  REQUIRE(Rules);
  const OrganisationDirectory &Directory = *Rules.value().Organisations;
  CHECK(Directory.needsKeys());
  for (const char *Key : {"alpha-key", "beta-key"}) {
    const OrganisationConfig *Found = Directory.findByKey(KeyDigest::of(Key));
    REQUIRE(Found);
    CHECK(Found->Name == "acme");
    CHECK(Found->RequestsPerSecond == 2.5);
    CHECK(Found->Burst == 4);
    CHECK(Found->Priority == 1);
  }
  REQUIRE(Directory.findByName("free"));
  CHECK(Directory.findByName("free")->RequestsPerSecond == 0);
  CHECK_FALSE(Directory.findByName("free")->Priority);
  CHECK(Rules.value().Routes.at(0).IsPublic);
}

TEST_CASE("exchanged configurations hold no keys, and no digest is accepted as "
          "a key") {
  const std::string Kept = replaceKeysByDigests(makeConfig(TwoKeys));
  CHECK(Kept.find("alpha-key") == std::string::npos);
  CHECK(Kept.find("beta-key") == std::string::npos);
  // A caller that has seen the digest cannot present it in place of the key.
  const Result<RoutingRules> Rules = decodeRoutingRules(Kept);
  REQUIRE(Rules);
  CHECK(Rules.value().Organisations->findByKey(
            KeyDigest::of(KeyDigest::of("alpha-key").format())) == nullptr);
}

TEST_CASE("an item decoded from an answer holds digests only") {
  Json::Value Item;
  Item["tlsKey"] = "op/config";
  Item["revision"] = 5;
  Item["value"] = encodeBase64(makeConfig(TwoKeys));
  const Result<StoreItem> Decoded = decodeItem(Item, 0);
  REQUIRE(Decoded);
  CHECK(Decoded.value().Value == replaceKeysByDigests(makeConfig(TwoKeys)));
  CHECK(Decoded.value().Value.find("alpha-key") == std::string::npos);
}

TEST_CASE("a configuration without organisations is unchanged") {
  const std::string Plain = makeConfig("");
  CHECK(replaceKeysByDigests(Plain) == Plain);
  const Result<RoutingRules> Rules = decodeRoutingRules(Plain);
  REQUIRE(Rules);
  CHECK_FALSE(Rules.value().Organisations->needsKeys());
}

TEST_CASE("organisations without any key still require one") {
  const Result<RoutingRules> Rules = decodeRoutingRules(replaceKeysByDigests(
      makeConfig(R"("tenants":[{"name":"acme","apiKeys":[]}],)")));
  REQUIRE(Rules);
  CHECK(Rules.value().Organisations->needsKeys());
}

TEST_CASE("malformed organisations are refused without printing keys") {
  for (const char *Wrong : {R"("tenants":[{"apiKeys":[]}],)",
                            R"("tenants":[{"name":"a","ratePerS":-1}],)",
                            R"("tenants":[{"name":"a","ratePerS":"x"}],)",
                            R"("tenants":[{"name":"a\nb"}],)"}) {
    const Result<RoutingRules> Rules =
        decodeRoutingRules(replaceKeysByDigests(makeConfig(Wrong)));
    CHECK_FALSE(Rules);
  }
  // Plain keys in place of digests, as another program could have written them.
  const Result<RoutingRules> Plain = decodeRoutingRules(makeConfig(TwoKeys));
  REQUIRE_FALSE(Plain);
  CHECK(Plain.error().Message.find("alpha") == std::string::npos);
  CHECK(replaceKeysByDigests("{\"tenants\": cut").empty());
}
