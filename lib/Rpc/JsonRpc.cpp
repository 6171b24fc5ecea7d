//===- JsonRpc.cpp - Dispatches and makes JSON-RPC 2.0 calls --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// This is the only file that includes libjson-rpc-cpp. It is built as C++14.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Rpc/JsonRpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <exception>

namespace canvaswick {

/// The answer to a call that can't be parsed, as JSON-RPC 2.0 specifies it.
static const char *const UnreadableAnswer =
    R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,)"
    R"("message":"JSON_PARSE_ERROR"}})";

class JsonRpcDispatcher::Impl final
    : public jsonrpc::IProcedureInvokationHandler {
public:
  Impl()
      : Protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void add(const std::string &Method, Handler Handler) {
    this->Handlers[Method] = std::move(Handler);
    jsonrpc::Procedure Procedure(Method, jsonrpc::PARAMS_BY_NAME,
                                 jsonrpc::JSON_OBJECT, NULL);
    this->Protocol->AddProcedure(Procedure);
  }

  std::string handle(const std::string &Request) {
    std::string Answer;
    // The parser of jsoncpp throws if values are nested too deeply.
    try {
      this->Protocol->HandleRequest(Request, Answer);
    } catch (const Json::Exception &) {
      return UnreadableAnswer;
    }
    return Answer;
  }

  void HandleMethodCall(jsonrpc::Procedure &Procedure,
                        const Json::Value &Params,
                        Json::Value &Answer) override {
    const auto Found = this->Handlers.find(Procedure.GetProcedureName());
    if (Found == this->Handlers.end())
      return;
    try {
      Answer = Found->second(Params);
    } catch (const std::exception &Failure) {
      Answer = Json::Value(Json::objectValue);
      Answer["error"] = "invalid-argument";
      Answer["message"] = Failure.what();
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure &,
                              const Json::Value &) override {}

private:
  std::map<std::string, Handler> Handlers;
  std::unique_ptr<jsonrpc::IProtocolHandler> Protocol;
};

JsonRpcDispatcher::JsonRpcDispatcher() : Implementation(new Impl) {}

JsonRpcDispatcher::~JsonRpcDispatcher() = default;

void JsonRpcDispatcher::add(const std::string &Method, Handler Handler) {
  this->Implementation->add(Method, std::move(Handler));
}

std::string JsonRpcDispatcher::handle(const std::string &Request) const {
  return this->Implementation->handle(Request);
}

namespace {

/// Passes the messages of libjson-rpc-cpp to a JsonRpcTransport.
class TransportConnector final : public jsonrpc::IClientConnector {
public:
  explicit TransportConnector(const JsonRpcTransport &Transport)
      : Transport(Transport) {}

  void SendRPCMessage(const std::string &Message, std::string &Answer) throw(
      jsonrpc::JsonRpcException) override {
    if (!this->Transport(Message, Answer))
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      "no answer");
  }

private:
  const JsonRpcTransport &Transport;
};

} // namespace

std::string callJsonRpc(const JsonRpcTransport &Transport,
                        const std::string &Method, const Json::Value &Params,
                        Json::Value &Answer) {
  TransportConnector Connector(Transport);
  jsonrpc::Client Client(Connector);
  try {
    Client.CallMethod(Method, Params, Answer);
  } catch (const jsonrpc::JsonRpcException &Failure) {
    return Failure.GetMessage();
  } catch (const std::exception &Failure) {
    return Failure.what();
  }
  return "";
}

} // namespace canvaswick
