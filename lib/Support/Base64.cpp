//===- Base64.cpp - Base64 encoding ---------------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Uses OpenSSL, and adds the length check and padding removal that OpenSSL
/// does not do.
//===----------------------------------------------------------------------===//

#include "canvaswick/Support/Base64.h"

#include <openssl/evp.h>

namespace canvaswick {

std::string encodeBase64(const std::string &Bytes) {
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<size_t>(Length));
  return Text;
}

Result<std::string> decodeBase64(const std::string &Text) {
  if (Text.size() % 4 != 0)
    return makeError(ErrorKind::InvalidArgument,
                     "base64 length is not a multiple of 4");
  std::string Bytes(Text.size() / 4 * 3 + 1, '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0)
    return makeError(ErrorKind::InvalidArgument, "invalid base64");
  size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Bytes.resize(static_cast<size_t>(Length) - Padding);
  return Bytes;
}

} // namespace canvaswick
