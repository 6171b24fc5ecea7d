//===- Hash.h - Stable hashes and rendezvous hashing ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Every daemon must compute the same value for the same text, so the algorithm
/// is fixed (XXH64) instead of left to the standard library.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_HASH_H
#define CANVASWICK_SUPPORT_HASH_H

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace canvaswick {

/// Returns the XXH64 hash of Text.
uint64_t hashText(std::string_view Text, uint64_t Seed = 0);

/// Returns the indexes of Candidates ordered by their rendezvous hash for Key,
/// best first. Adding or removing a candidate does not change the relative
/// order of the others.
std::vector<size_t>
rankByRendezvous(std::string_view Key,
                 const std::vector<std::string> &Candidates);

/// Returns the SHA-256 of Text in hexadecimal.
std::string digestText(std::string_view Text);

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_HASH_H
