//===- DirectoryCalls.cpp - The copy of the store between daemons ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// An item is a list of key, revision and value; without a value it is gone.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/DirectoryCalls.h"

namespace canvaswick {

static constexpr const char *MethodName = "directory.changes";

Json::Value encodeChanges(const ItemChanges &Changes) {
  Json::Value Value;
  Value["as-of"] = static_cast<Json::UInt64>(Changes.AsOf);
  Value["all"] = Changes.IsAll;
  Value["items"] = Json::arrayValue;
  for (const StoreItem &Item : Changes.Items) {
    Json::Value Row(Json::arrayValue);
    Row.append(Item.Key);
    Row.append(static_cast<Json::UInt64>(Item.Revision));
    if (!Item.IsGone)
      Row.append(Item.Value);
    Value["items"].append(Row);
  }
  return Value;
}

static bool decodeRow(const Json::Value &Row, StoreItem &Item) {
  if (!Row.isArray() || Row.size() < 2 || Row.size() > 3 ||
      !Row[0].isString() || !Row[1].isUInt64())
    return false;
  Item.Key = Row[0].asString();
  Item.Revision = Row[1].asUInt64();
  Item.IsGone = Row.size() == 2;
  if (Item.IsGone)
    return true;
  if (!Row[2].isString())
    return false;
  Item.Value = Row[2].asString();
  return true;
}

Result<ItemChanges> decodeChanges(const Json::Value &Value) {
  if (!Value.isObject() || !Value["as-of"].isUInt64() ||
      !Value["all"].isBool() || !Value["items"].isArray())
    return makeError(ErrorKind::InvalidArgument, "not changes of a directory");
  ItemChanges Changes;
  Changes.AsOf = Value["as-of"].asUInt64();
  Changes.IsAll = Value["all"].asBool();
  for (const Json::Value &Row : Value["items"]) {
    StoreItem Item;
    if (!decodeRow(Row, Item))
      return makeError(ErrorKind::InvalidArgument, "not an item");
    Changes.Items.push_back(std::move(Item));
  }
  return Changes;
}

void addDirectoryMethod(JsonRpcDispatcher &Dispatcher, ChangesSource Source) {
  Dispatcher.add(MethodName,
                 [Source = std::move(Source)](const Json::Value &Params) {
                   return encodeChanges(Source(Params["after"].asUInt64()));
                 });
}

Result<ItemChanges> fetchChanges(PeerCaller &Caller, const Endpoint &Peer,
                                 uint64_t After, Duration Timeout) {
  Json::Value Params;
  Params["after"] = static_cast<Json::UInt64>(After);
  BOOST_OUTCOME_TRY(Json::Value Answer,
                    Caller.call(Peer, MethodName, Params, Timeout));
  return decodeChanges(Answer);
}

} // namespace canvaswick
