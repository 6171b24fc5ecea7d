//===- RequestFault.h - Faults of requests -------------------- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Finds what makes a request ambiguous.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_REQUESTFAULT_H
#define CANVASWICK_HTTP_REQUESTFAULT_H

#include <httplib.h>

namespace canvaswick {

/// Returns the name of the first fault in the framing or the headers of a
/// request, or null. A request with such a fault is ambiguous and must not be
/// forwarded.
const char *findRequestFault(const httplib::Request &Request);

} // namespace canvaswick

#endif // CANVASWICK_HTTP_REQUESTFAULT_H
