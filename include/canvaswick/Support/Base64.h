//===- Base64.h - Base64 encoding -------------------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Store values are transmitted as standard base64 with padding.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_BASE64_H
#define CANVASWICK_SUPPORT_BASE64_H

#include "canvaswick/Support/Error.h"

#include <string>

namespace canvaswick {

/// Encodes arbitrary bytes.
std::string encodeBase64(const std::string &Bytes);

/// Decodes Text. Fails with InvalidArgument if Text is not valid base64.
Result<std::string> decodeBase64(const std::string &Text);

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_BASE64_H
