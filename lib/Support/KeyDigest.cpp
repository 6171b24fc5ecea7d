//===- KeyDigest.cpp - Digest of a caller key -----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Uses the SHA-256 of OpenSSL, truncated to its first half.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/KeyDigest.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace canvaswick {

/// Number of hexadecimal digits per byte.
static constexpr size_t HexDigitsPerByte = 2;

KeyDigest KeyDigest::of(std::string_view Key) {
  unsigned char Whole[SHA256_DIGEST_LENGTH];
  ::SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
           Whole);
  KeyDigest Digest;
  std::copy_n(Whole, Size, Digest.Bytes.begin());
  return Digest;
}

std::optional<KeyDigest> KeyDigest::parse(std::string_view Text) {
  if (Text.size() != Size * HexDigitsPerByte)
    return std::nullopt;
  KeyDigest Digest;
  for (size_t I = 0; I < Size; ++I) {
    const char *First = Text.data() + I * HexDigitsPerByte;
    const char *End = First + HexDigitsPerByte;
    const auto [Rest, Code] = std::from_chars(First, End, Digest.Bytes[I], 16);
    if (Code != std::errc() || Rest != End)
      return std::nullopt;
  }
  return Digest;
}

std::string KeyDigest::format() const {
  std::string Text;
  for (const uint8_t Byte : this->Bytes)
    Text += fmt::format("{:02x}", Byte);
  return Text;
}

bool KeyDigest::operator==(const KeyDigest &Other) const {
  return ::CRYPTO_memcmp(this->Bytes.data(), Other.Bytes.data(), Size) == 0;
}

size_t KeyDigest::hash() const {
  size_t Value = 0;
  std::memcpy(&Value, this->Bytes.data(), sizeof(Value));
  return Value;
}

} // namespace canvaswick
