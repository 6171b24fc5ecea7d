//===- KeyDigest.h - Digest of a caller key ---------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The key of a caller is a secret that a daemon must recognise but never needs
/// to reveal. Only its digest is kept, compared, stored and transmitted.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_KEYDIGEST_H
#define CANVASWICK_SUPPORT_KEYDIGEST_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace canvaswick {

/// The first half of the SHA-256 of a key. For randomly generated keys it is as
/// hard to invert as the full hash, and it is no longer in the settings than
/// such a key.
class KeyDigest {
public:
  static constexpr size_t Size = 16;

  /// Computes the digest of Key.
  static KeyDigest of(std::string_view Key);

  /// Parses the output of format. Returns nullopt if Text has another form.
  static std::optional<KeyDigest> parse(std::string_view Text);

  /// Returns the digest as 32 hexadecimal digits.
  std::string format() const;

  /// Compares in constant time, so that the time does not reveal how many bytes
  /// are equal.
  bool operator==(const KeyDigest &Other) const;

  /// Returns a uniformly distributed hash value.
  size_t hash() const;

private:
  std::array<uint8_t, Size> Bytes{};
};

/// Hash function object for standard containers.
struct KeyDigestHash {
  size_t operator()(const KeyDigest &Digest) const { return Digest.hash(); }
};

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_KEYDIGEST_H
