//===- ClaimIndexTest.cpp - Stateful tests of the claim index -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Applies random sequences of begins and ends to the claim index and compares
/// its verdicts with a simple model. Guards against granting a key to a second
/// claim while another one holds it.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Claims/ClaimIndex.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <map>
#include <set>

using namespace canvaswick;

namespace {

/// The expected state of one key. Holder 0 means that the key is free.
struct ModelKey {
  uint64_t Holder = 0;
  std::string Body;
  bool IsEnded = false;
  bool HasAnswer = false;
  bool WasRun = false;
};

struct ClaimModel {
  std::map<std::string, ModelKey> Keys;
  uint64_t NextClaim = 1;
};

struct IndexUnderTest {
  ClaimIndex Claims;
};

using Command = rc::state::Command<ClaimModel, IndexUnderTest>;

std::string drawKey() {
  return std::string(1, *rc::gen::inRange<char>('a', 'd'));
}

/// One attempt at a request, by any daemon.
struct BeginCommand : Command {
  std::string Key = drawKey();
  std::string Body = *rc::gen::element<std::string>("x", "y");

  void apply(ClaimModel &State) const override {
    ModelKey &Known = State.Keys[this->Key];
    const uint64_t Claim = State.NextClaim++;
    if (Known.Holder == 0)
      Known = {Claim, this->Body, false, false, true};
  }

  void run(const ClaimModel &State, IndexUnderTest &Real) const override {
    const uint64_t Claim = State.NextClaim;
    ClaimEntry Entry;
    Entry.Key = this->Key;
    Entry.Claim = Claim;
    Entry.Fingerprint = this->Body;
    Real.Claims.apply(Entry);
    const ClaimVerdict Verdict =
        Real.Claims.evaluate(this->Key, this->Body, Claim);
    const auto Found = State.Keys.find(this->Key);
    const bool IsFree = Found == State.Keys.end() || Found->second.Holder == 0;
    // A key must never be granted while another claim holds it.
    RC_ASSERT((Verdict.Kind == ClaimKind::Granted) == IsFree);
    if (IsFree)
      return;
    const ModelKey &Known = Found->second;
    if (Known.Body != this->Body)
      RC_ASSERT(Verdict.Kind == ClaimKind::DifferentRequest);
    else if (!Known.IsEnded)
      RC_ASSERT(Verdict.Kind == ClaimKind::StillRunning);
    else if (Known.HasAnswer)
      RC_ASSERT(Verdict.Kind == ClaimKind::FirstAnswer);
    else
      RC_ASSERT(Verdict.Kind == ClaimKind::NotKnown);
  }

  void show(std::ostream &Out) const override {
    Out << "begin " << this->Key << " " << this->Body;
  }
};

/// The end of an attempt. It may name a claim that does not hold the key.
struct EndCommand : Command {
  std::string Key = drawKey();
  uint64_t Claim = *rc::gen::inRange<uint64_t>(1, 30);
  ClaimEntryKind Kind = *rc::gen::element(
      ClaimEntryKind::Ran, ClaimEntryKind::NotRun, ClaimEntryKind::NotKnown);

  void apply(ClaimModel &State) const override {
    ModelKey &Known = State.Keys[this->Key];
    if (Known.Holder != this->Claim || Known.IsEnded)
      return;
    if (this->Kind == ClaimEntryKind::NotRun)
      Known = ModelKey();
    else
      Known.IsEnded = true;
    Known.HasAnswer = this->Kind == ClaimEntryKind::Ran;
  }

  void run(const ClaimModel &, IndexUnderTest &Real) const override {
    ClaimEntry Entry;
    Entry.Kind = this->Kind;
    Entry.Key = this->Key;
    Entry.Claim = this->Claim;
    Real.Claims.apply(Entry);
  }

  void show(std::ostream &Out) const override {
    Out << "end " << this->Key << " " << this->Claim;
  }
};

} // namespace

TEST_CASE("the claim index agrees with the model") {
  CHECK(rc::check([] {
    IndexUnderTest Real;
    rc::state::check(
        ClaimModel(), Real,
        rc::state::gen::execOneOfWithArgs<BeginCommand, EndCommand>());
  }));
}

TEST_CASE("decoding an encoded chunk restores it") {
  ClaimChunk Chunk;
  Chunk.IsSealed = true;
  ClaimEntry Begin;
  Begin.Key = "k";
  Begin.Claim = 18446744073709551615u;
  Begin.Fingerprint = "f";
  Begin.Holder = "d1#123";
  Begin.TimeMillis = 1700000000000;
  ClaimEntry Ran = Begin;
  Ran.Kind = ClaimEntryKind::Ran;
  Ran.Answer = {201, "text/plain", "a \"quoted\" body\n", true};
  Chunk.Entries = {Begin, Ran};
  Result<ClaimChunk> Read = decodeChunk(encodeChunk(Chunk));
  REQUIRE(Read);
  CHECK(Read.value().IsSealed);
  REQUIRE(Read.value().Entries.size() == 2);
  CHECK(Read.value().Entries[0].Claim == Begin.Claim);
  CHECK(Read.value().Entries[0].Holder == "d1#123");
  CHECK(Read.value().Entries[1].Answer.Body == Ran.Answer.Body);
  CHECK(!decodeChunk("{\"entries\":[{\"k\":\"no-such\"}]}"));
  CHECK(!decodeChunk("[]"));
}

TEST_CASE("keys are forgotten when their claim is too old") {
  ClaimIndex Index;
  ClaimEntry Old;
  Old.Key = "old";
  Old.Claim = 1;
  Old.TimeMillis = 1000;
  ClaimEntry New = Old;
  New.Key = "new";
  New.TimeMillis = 2000;
  Index.apply(Old);
  Index.apply(New);
  Index.forgetBefore(1500);
  CHECK(Index.isFree("old"));
  CHECK(!Index.isFree("new"));
}
