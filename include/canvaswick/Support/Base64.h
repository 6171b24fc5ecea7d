//===- Base64.h - Bytes as text ---------------------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The values of the store travel as standard base64 with padding.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_BASE64_H
#define CANVASWICK_SUPPORT_BASE64_H

#include "canvaswick/Support/Error.h"

#include <string>

namespace canvaswick {

/// Encodes any bytes.
std::string encodeBase64(const std::string &Bytes);

/// Decodes. Fails with InvalidArgument if Text is no base64.
Result<std::string> decodeBase64(const std::string &Text);

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_BASE64_H
