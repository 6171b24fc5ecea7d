//===- CallSignatureTest.cpp - Tests for call signatures ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests that wrong, old and replayed signatures are refused and that two keys
/// are valid at once.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/CallSignature.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <sys/stat.h>
#include <unistd.h>

using namespace canvaswick;

static const CallKey OldKey{"old", "an-old-secret-of-some-length"};
static const CallKey NewKey{"new", "a-new-secret-of-some-length"};
static constexpr int64_t Now = 1700000000000;

TEST_CASE("a signature is accepted once") {
  CallVerifier Verifier({NewKey, OldKey});
  const std::string Signature = signCall(NewKey, "body", Now, 7);
  CHECK(Verifier.verify(Signature, "body", Now));
  Result<void> Again = Verifier.verify(Signature, "body", Now);
  REQUIRE(!Again);
  CHECK(Again.error().Message == "signature used before");
}

TEST_CASE("both keys are valid during a key rotation") {
  CallVerifier Verifier({NewKey, OldKey});
  CHECK(Verifier.verify(signCall(OldKey, "body", Now, 1), "body", Now));
  CHECK(Verifier.verify(signCall(NewKey, "body", Now, 1), "body", Now));
}

TEST_CASE("signatures that do not match are refused") {
  CallVerifier Verifier({NewKey});
  const std::string Signature = signCall(NewKey, "body", Now, 1);
  CHECK(!Verifier.verify(Signature, "another body", Now));
  CHECK(!Verifier.verify(signCall(OldKey, "body", Now, 2), "body", Now));
  CHECK(!Verifier.verify("", "body", Now));
  CHECK(!Verifier.verify("new:1:2", "body", Now));
}

TEST_CASE("a signature outside the time window is refused") {
  CallVerifier Verifier({NewKey});
  const std::string Signature = signCall(NewKey, "body", Now, 1);
  CHECK(!Verifier.verify(Signature, "body", Now + 30001));
  CHECK(!Verifier.verify(Signature, "body", Now - 30001));
  CHECK(Verifier.verify(Signature, "body", Now + 30000));
}

TEST_CASE("errors do not contain the secret") {
  CallVerifier Verifier({NewKey});
  Result<void> Refused =
      Verifier.verify(signCall(OldKey, "body", Now, 2), "body", Now);
  REQUIRE(!Refused);
  CHECK(Refused.error().Message.find(OldKey.Secret) == std::string::npos);
  CHECK(Refused.error().Message.find(NewKey.Secret) == std::string::npos);
}

TEST_CASE("a key file that others may access is refused") {
  char Path[] = "/tmp/canvaswick-key-XXXXXX";
  ::close(::mkstemp(Path));
  std::ofstream(Path) << "# two keys\nnew = 0123456789abcdef\n"
                      << "old = fedcba9876543210\n";
  ::chmod(Path, 0600);
  Result<std::vector<CallKey>> Keys = loadCallKeys(Path);
  REQUIRE(Keys);
  CHECK(Keys.value().size() == 2);
  CHECK(Keys.value()[0].Name == "new");
  ::chmod(Path, 0640);
  CHECK(!loadCallKeys(Path));
  ::chmod(Path, 0600);
  std::ofstream(Path) << "short = 123\n";
  CHECK(!loadCallKeys(Path));
  std::remove(Path);
}
