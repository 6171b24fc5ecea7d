//===- HeadGrammar.h - What a message's head may hold --------- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The one grammar of heads, for requests, answers, interim answers and
/// trailers alike (RFC 9110, 5 and RFC 9112). What two readers could read in
/// two ways has a fault, and is never passed on.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_HEADGRAMMAR_H
#define CANVASWICK_HTTP_HEADGRAMMAR_H

#include <httplib.h>

#include <string>

namespace canvaswick {

/// Returns whether a text is a token: the name of a field, or a method.
bool isToken(const std::string &Text);

/// Returns whether a text holds a control byte other than a tab. No field's
/// value and no first line of a message may.
bool hasControlByte(const std::string &Text);

/// Returns whether a text is a length of a body as headers state it.
bool isBodyLength(const std::string &Text);

/// Returns whether the Connection header lists an option, in any case of its
/// letters.
bool hasConnectionOption(const httplib::Headers &Headers,
                         const std::string &Option);

/// Returns the name of the first fault in what delimits a message and in what
/// belongs to its connection only, or null.
const char *findFramingFault(const httplib::Headers &Headers);

/// Returns the name of the first fault in a request whose header fields are
/// well-formed, or null. A request with a fault must not be forwarded.
const char *findRequestFault(const httplib::Request &Request);

/// Returns the name of the first fault in a final or interim response whose
/// header fields are well-formed, or null. A response with a fault must not be
/// forwarded, and nothing that follows it on its connection must be read.
const char *findResponseFault(const httplib::Response &Response);

} // namespace canvaswick

#endif // CANVASWICK_HTTP_HEADGRAMMAR_H
