//===- RequestExchange.h - One request and its response ------- -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Sends one request on a connection and receives its response. Private to this
/// library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_HTTP_REQUESTEXCHANGE_H
#define CANVASWICK_LIB_HTTP_REQUESTEXCHANGE_H

#include "canvaswick/Http/BodyReader.h"
#include "canvaswick/Http/HttpClient.h"

namespace canvaswick {

/// One request and its response on a connection.
class RequestExchange {
public:
  /// The response goes to Sink, or its headers and body to the result if Sink
  /// is null. All references must outlive the exchange.
  RequestExchange(SocketStream &Stream, const Endpoint &Server,
                  const OutgoingRequest &Outgoing, const AnswerSink *Sink)
      : Stream(Stream), Server(Server), Outgoing(Outgoing), Sink(Sink) {}

  /// Sends the request and receives the response into Result.
  void run(ExchangeResult &Result);

  /// Returns the head of the response, as far as it has arrived.
  const httplib::Response &getResponse() const { return this->Response; }

  /// Returns whether the response is complete and the connection may carry
  /// another request.
  bool allowsReuse() const;

private:
  ExchangeEnd exchange(ExchangeResult &Result);
  ExchangeEnd receive(ExchangeResult &Result);
  ExchangeEnd receiveBody(ExchangeResult &Result);
  bool sendRequest();
  bool sendHead();
  bool sendStreamedBody();
  bool receiveHead(ExchangeResult &Result);
  bool takeBody(const char *Data, size_t Size, ExchangeResult &Result);
  BodyFraming findFraming() const;
  ExchangeEnd classifyFailure() const;

  SocketStream &Stream;
  const Endpoint &Server;
  const OutgoingRequest &Outgoing;
  const AnswerSink *const Sink;
  httplib::Response Response;
  BodyFraming Framing = BodyFraming::Ambiguous;
  bool IsWhole = false;
};

} // namespace canvaswick

#endif // CANVASWICK_LIB_HTTP_REQUESTEXCHANGE_H
