//===- CallSignature.cpp - Signatures of calls ----------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The format of a signature is "name:millis:nonce:hmac", with the nonce and
/// the HMAC in hexadecimal.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/CallSignature.h"
#include "canvaswick/Support/Text.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <sys/stat.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

namespace canvaswick {

/// Maximum difference between the clocks of sender and receiver.
static constexpr int64_t WindowMillis = 30000;
static constexpr size_t MinSecretBytes = 16;
static constexpr size_t MaxKeys = 2;

static std::string computeHmac(const CallKey &Key, const std::string &Text) {
  unsigned char Mac[EVP_MAX_MD_SIZE];
  unsigned Length = 0;
  HMAC(EVP_sha256(), Key.Secret.data(), static_cast<int>(Key.Secret.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(), Mac,
       &Length);
  std::string Hex;
  for (unsigned I = 0; I < Length; ++I)
    Hex += fmt::format("{:02x}", Mac[I]);
  return Hex;
}

std::string signCall(const CallKey &Key, const std::string &Body,
                     int64_t NowMillis, uint64_t Nonce) {
  const std::string Prefix =
      fmt::format("{}:{}:{:x}", Key.Name, NowMillis, Nonce);
  return Prefix + ":" + computeHmac(Key, Prefix + "\n" + Body);
}

Result<std::vector<CallKey>> loadCallKeys(const std::string &Path) {
  struct stat Status;
  if (::stat(Path.c_str(), &Status) != 0)
    return makeError(ErrorKind::Io,
                     fmt::format("{}: {}", Path, std::strerror(errno)));
  if ((Status.st_mode & (S_IRWXG | S_IRWXO)) != 0)
    return makeError(ErrorKind::InvalidArgument,
                     fmt::format("{}: mode must be 0600 or stricter", Path));
  std::vector<CallKey> Keys;
  std::ifstream File(Path);
  std::string Line;
  while (std::getline(File, Line)) {
    Line = trimText(Line);
    if (Line.empty() || Line[0] == '#')
      continue;
    const size_t Equals = Line.find('=');
    if (Equals == std::string::npos)
      return makeError(ErrorKind::InvalidArgument,
                       fmt::format("{}: expected 'name = secret'", Path));
    CallKey Key{trimText(Line.substr(0, Equals)),
                trimText(Line.substr(Equals + 1))};
    if (Key.Name.empty() || Key.Secret.size() < MinSecretBytes)
      return makeError(
          ErrorKind::InvalidArgument,
          fmt::format("{}: a key needs a name and a secret of {} bytes or more",
                      Path, MinSecretBytes));
    Keys.push_back(std::move(Key));
  }
  if (Keys.empty() || Keys.size() > MaxKeys)
    return makeError(ErrorKind::InvalidArgument,
                     fmt::format("{}: one or two keys expected", Path));
  return Keys;
}

CallVerifier::CallVerifier(std::vector<CallKey> Keys) : Keys(std::move(Keys)) {}

void CallVerifier::removeExpiredNonces(int64_t NowMillis) {
  while (!this->SeenNonces.empty() &&
         this->SeenNonces.begin()->first < NowMillis - WindowMillis)
    this->SeenNonces.erase(this->SeenNonces.begin());
}

static bool equalInConstantTime(const std::string &Left,
                                const std::string &Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

Result<void> CallVerifier::verify(const std::string &Signature,
                                  const std::string &Body, int64_t NowMillis) {
  std::vector<std::string> Parts;
  std::stringstream Stream(Signature);
  std::string Part;
  while (std::getline(Stream, Part, ':'))
    Parts.push_back(Part);
  if (Parts.size() != 4)
    return makeError(ErrorKind::Unauthorized, "signature missing or malformed");
  const int64_t Sent = std::strtoll(Parts[1].c_str(), nullptr, 10);
  if (Sent < NowMillis - WindowMillis || Sent > NowMillis + WindowMillis)
    return makeError(ErrorKind::Unauthorized, "signature too old or too new");
  const std::string Prefix = Parts[0] + ":" + Parts[1] + ":" + Parts[2];
  for (const CallKey &Key : this->Keys) {
    if (Key.Name != Parts[0])
      continue;
    if (!equalInConstantTime(Parts[3], computeHmac(Key, Prefix + "\n" + Body)))
      return makeError(ErrorKind::Unauthorized, "signature does not match");
    this->removeExpiredNonces(NowMillis);
    if (!this->SeenNonces.insert({Sent, Prefix}).second)
      return makeError(ErrorKind::Unauthorized, "signature used before");
    return outcome::success();
  }
  return makeError(ErrorKind::Unauthorized, "key not known");
}

} // namespace canvaswick
