//===- CallSignature.h - Signatures of calls --------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Calls between daemons and from operators are signed with a shared key. A
/// signature holds the name of the key, a timestamp, a nonce and an
/// HMAC-SHA-256 over these and the body. Two keys may be valid at once, so that
/// keys can be rotated without an interruption. A nonce is accepted once within
/// the time window.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_CALLSIGNATURE_H
#define CANVASWICK_SUPPORT_CALLSIGNATURE_H

#include "canvaswick/Support/Error.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace canvaswick {

/// A shared key. The secret must not appear in a log, a metric or an error.
struct CallKey {
  std::string Name;
  std::string Secret;
};

/// Returns the value of the signature header for Body, signed with Key.
/// NowMillis is the calendar time in milliseconds since the epoch. Nonce must
/// not repeat within the time window.
std::string signCall(const CallKey &Key, const std::string &Body,
                     int64_t NowMillis, uint64_t Nonce);

/// Reads keys from a file of "name = secret" lines. The first key signs. Fails
/// if anyone but the owner can access the file, if it holds no key or more than
/// two, or if a secret is shorter than 16 bytes.
Result<std::vector<CallKey>> loadCallKeys(const std::string &Path);

/// Verifies signatures and stores the accepted nonces. Not thread-safe.
class CallVerifier {
public:
  explicit CallVerifier(std::vector<CallKey> Keys);

  /// Accepts each signature once. Errors have the kind Unauthorized and tell
  /// whether the format, the key, the time, the HMAC or the nonce was wrong.
  Result<void> verify(const std::string &Signature, const std::string &Body,
                      int64_t NowMillis);

private:
  void removeExpiredNonces(int64_t NowMillis);

  std::vector<CallKey> Keys;
  std::set<std::pair<int64_t, std::string>> SeenNonces;
};

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_CALLSIGNATURE_H
