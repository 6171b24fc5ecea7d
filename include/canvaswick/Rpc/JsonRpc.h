//===- JsonRpc.h - JSON-RPC codec behind a plain interface ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// libjson-rpc-cpp writes and reads the calls. Its headers compile as C++14
/// only, so they stay inside this library's C++14 part.
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

/// Serves JSON-RPC 2.0 calls by name. Thread-safe once all methods are added.
class JsonRpcDispatcher {
public:
  /// Handles one call. The answer is an object. It may throw the exceptions of
  /// jsoncpp for parameters of a wrong type; the caller then reads an error.
  using Handler = std::function<Json::Value(const Json::Value &Params)>;

  JsonRpcDispatcher();
  ~JsonRpcDispatcher();

  /// Adds a method. Call before handle.
  void add(const std::string &Method, Handler Handler);

  /// Handles the text of one call and returns the text of its answer.
  std::string handle(const std::string &Request) const;

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

/// Carries the text of a call to a peer. Returns false if no answer came.
using JsonRpcTransport =
    std::function<bool(const std::string &Request, std::string &Answer)>;

/// Makes one call. Returns an empty text and fills Answer, or returns what went
/// wrong.
std::string callJsonRpc(const JsonRpcTransport &Transport,
                        const std::string &Method, const Json::Value &Params,
                        Json::Value &Answer);

} // namespace canvaswick

#endif // CANVASWICK_RPC_JSONRPC_H
