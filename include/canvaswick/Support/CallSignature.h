//===- CallSignature.h - Keyed checks on calls between daemons and from
// operators -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A call carries the key's name, a time, a nonce and an HMAC-SHA-256 over
/// these and the body. Two keys may be valid at once, so that a key can be
/// changed without a gap. A nonce is accepted once within the window of times.
///
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

/// One shared key. The secret must never reach a log, a metric or an error.
struct CallKey {
  std::string Name;
  std::string Secret;
};

/// Returns the value of the signature header for Body, signed with Key at the
/// calendar time NowMillis. Nonce must not repeat within the window.
std::string signCall(const CallKey &Key, const std::string &Body,
                     int64_t NowMillis, uint64_t Nonce);

/// Reads keys from a file of "name = secret" lines. The first is used to sign.
/// Fails if others than the owner may read the file, if it holds no key or more
/// than two, or if a secret is shorter than 16 bytes.
Result<std::vector<CallKey>> loadCallKeys(const std::string &Path);

/// Checks signatures and remembers the nonces it has accepted.
class CallVerifier {
public:
  explicit CallVerifier(std::vector<CallKey> Keys);

  /// Accepts a signature once. Errors are of the kind Unauthorized and say
  /// whether the key, the time, the mark or the nonce was wrong.
  Result<void> verify(const std::string &Signature, const std::string &Body,
                      int64_t NowMillis);

private:
  void forgetOldNonces(int64_t NowMillis);

  std::vector<CallKey> Keys;
  std::set<std::pair<int64_t, std::string>> SeenNonces;
};

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_CALLSIGNATURE_H
