//===- ResponseWriter.h - Responses of handlers --------------- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Writes responses that a handler has put together. Responses of backend
/// servers are relayed by ResponseRelay.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_RESPONSEWRITER_H
#define CANVASWICK_HTTP_RESPONSEWRITER_H

#include "canvaswick/Http/SocketStream.h"

#include <httplib.h>

namespace canvaswick {

/// What the connection and the request decide about a response.
struct ResponseForm {
  /// Whether the connection is closed after it.
  bool IsLast = false;
  /// Whether its body is only described, as for HEAD.
  bool IsHeadOnly = false;
};

/// Writes a response with the length of its body. Without a status it is 200.
/// Returns false if that failed.
bool writeResponse(SocketStream &Stream, const httplib::Response &Response,
                   const ResponseForm &Form);

} // namespace canvaswick

#endif // CANVASWICK_HTTP_RESPONSEWRITER_H
