//===- Hash.cpp - Stable hashes and rendezvous hashing --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Uses XXH64 for placement and SHA-256 for content addresses of stored parts.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/Hash.h"

#include <fmt/format.h>
#include <openssl/evp.h>
#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace canvaswick {

uint64_t hashText(std::string_view Text, uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

std::vector<size_t>
rankByRendezvous(std::string_view Key,
                 const std::vector<std::string> &Candidates) {
  const uint64_t KeyHash = hashText(Key);
  std::vector<uint64_t> Scores;
  Scores.reserve(Candidates.size());
  for (const std::string &Candidate : Candidates)
    Scores.push_back(hashText(Candidate, KeyHash));
  std::vector<size_t> Order(Candidates.size());
  std::iota(Order.begin(), Order.end(), 0);
  std::sort(Order.begin(), Order.end(), [&](size_t Left, size_t Right) {
    if (Scores[Left] != Scores[Right])
      return Scores[Left] > Scores[Right];
    return Candidates[Left] < Candidates[Right];
  });
  return Order;
}

std::string digestText(std::string_view Text) {
  unsigned char Digest[EVP_MAX_MD_SIZE];
  unsigned Length = 0;
  EVP_Digest(Text.data(), Text.size(), Digest, &Length, EVP_sha256(), nullptr);
  std::string Hex;
  for (unsigned I = 0; I < Length; ++I)
    Hex += fmt::format("{:02x}", Digest[I]);
  return Hex;
}

} // namespace canvaswick
