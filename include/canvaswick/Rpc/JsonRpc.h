//===- JsonRpc.h - Dispatches and makes JSON-RPC 2.0 calls ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Wraps the codec of libjson-rpc-cpp. The headers of that library compile only
/// as C++14, so this header doesn't include them; JsonRpc.cpp does, and is
/// built as C++14.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_RPC_JSONRPC_H
#define CANVASWICK_RPC_JSONRPC_H

#include <json/json.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace canvaswick {

/// Dispatches JSON-RPC 2.0 calls to handlers by method name. Thread-safe once
/// all methods are added.
class JsonRpcDispatcher {
public:
  /// Handles one call and returns its answer, a JSON object. A handler may let
  /// jsoncpp throw over parameters of a wrong type: the answer is then an error
  /// of the kind invalid-argument.
  using Handler = std::function<Json::Value(const Json::Value &Params)>;

  JsonRpcDispatcher();
  ~JsonRpcDispatcher();

  /// Adds a method. Must not be called once handle() is in use.
  void add(const std::string &Method, Handler Handler);

  /// Handles the text of one call and returns the text of its answer. Any text
  /// is answered: one that can't be parsed with an error of JSON-RPC.
  std::string handle(const std::string &Request) const;

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

/// Sends the text of a call to a peer and fills in the text of its answer.
/// Returns false if no answer arrived.
using JsonRpcTransport =
    std::function<bool(const std::string &Request, std::string &Answer)>;

/// Makes one call. On success returns an empty string and fills in Answer,
/// otherwise returns the error message.
std::string callJsonRpc(const JsonRpcTransport &Transport,
                        const std::string &Method, const Json::Value &Params,
                        Json::Value &Answer);

} // namespace canvaswick

#endif // CANVASWICK_RPC_JSONRPC_H
