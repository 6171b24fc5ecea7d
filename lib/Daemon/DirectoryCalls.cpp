//===- DirectoryCalls.cpp - The copy of the store between daemons ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// An item is a list of key, revision and value, and of its epoch where that is
/// not the epoch of the whole answer; without a value it is gone.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/DirectoryCalls.h"
#include "canvaswick/Json/JsonText.h"
#include "canvaswick/Support/Base64.h"
#include "canvaswick/Support/TextCompression.h"

#include <algorithm>

namespace canvaswick {

static constexpr const char *MethodName = "directory.changes";

/// Items whose text is longer than this are packed. Below it packing saves less
/// than one segment on the wire.
static constexpr size_t PackFromBytes = 2048;

/// Longest text that is unpacked: twenty times a copy of 720 servers, 443
/// daemons and 1,130 routes.
static constexpr size_t MostUnpackedBytes = 16 << 20;

/// Packed answers that are remembered.
static constexpr size_t AnswersKept = 8;

/// A difference as [key, revision, earlier revision, check, piece ...], a piece
/// being [from, count] or a text.
static Json::Value encodeDelta(const ItemDelta &Delta) {
  Json::Value Row(Json::arrayValue);
  Row.append(Delta.Key);
  Row.append(static_cast<Json::UInt64>(Delta.At.Revision));
  Row.append(static_cast<Json::UInt64>(Delta.Base.Revision));
  Row.append(static_cast<Json::UInt64>(Delta.Change.Checksum));
  for (const TextPiece &Piece : Delta.Change.Pieces) {
    Json::Value Place(Json::arrayValue);
    Place.append(static_cast<Json::UInt64>(Piece.From));
    Place.append(static_cast<Json::UInt64>(Piece.Count));
    Row.append(Place);
    if (!Piece.InsertedText.empty())
      Row.append(Piece.InsertedText);
  }
  return Row;
}

static Json::Value encodeItem(const StoreItem &Item, uint64_t EpochOfAll) {
  Json::Value Row(Json::arrayValue);
  Row.append(Item.Key);
  Row.append(static_cast<Json::UInt64>(Item.At.Revision));
  const bool HasEpoch = Item.At.Epoch != EpochOfAll;
  if (!Item.IsRemoved || HasEpoch)
    Row.append(Item.IsRemoved ? Json::Value() : Json::Value(Item.Value));
  if (HasEpoch)
    Row.append(static_cast<Json::UInt64>(Item.At.Epoch));
  return Row;
}

Json::Value encodeChanges(const ItemChanges &Changes) {
  Json::Value Value;
  Value["as-of"] = static_cast<Json::UInt64>(Changes.AsOf.Revision);
  Value["epoch"] = static_cast<Json::UInt64>(Changes.AsOf.Epoch);
  Value["all"] = Changes.IsFull;
  Value["partial"] = Changes.OmitsLarge;
  Value["items"] = Json::arrayValue;
  for (const StoreItem &Item : Changes.Items)
    Value["items"].append(encodeItem(Item, Changes.AsOf.Epoch));
  for (const ItemDelta &Delta : Changes.Deltas)
    Value["deltas"].append(encodeDelta(Delta));
  return Value;
}

/// Takes one piece of a difference. Returns false on a wrong shape.
static bool decodePiece(const Json::Value &Value, TextDelta &Change) {
  if (Value.isString()) {
    if (Change.Pieces.empty())
      return false;
    Change.Pieces.back().InsertedText += Value.asString();
    return true;
  }
  if (!Value.isArray() || Value.size() != 2 || !Value[0].isUInt64() ||
      !Value[1].isUInt64())
    return false;
  Change.Pieces.push_back({Value[0].asUInt64(), Value[1].asUInt64(), ""});
  return true;
}

static bool decodeDelta(const Json::Value &Row, uint64_t EpochOfAll,
                        ItemDelta &Delta) {
  constexpr Json::ArrayIndex FirstPiece = 4;
  if (!Row.isArray() || Row.size() < FirstPiece || !Row[0].isString() ||
      !Row[1].isUInt64() || !Row[2].isUInt64() || !Row[3].isUInt64())
    return false;
  Delta.Key = Row[0].asString();
  Delta.At = {EpochOfAll, Row[1].asUInt64()};
  Delta.Base = {EpochOfAll, Row[2].asUInt64()};
  Delta.Change.Checksum = Row[3].asUInt64();
  for (Json::ArrayIndex I = FirstPiece; I < Row.size(); ++I)
    if (!decodePiece(Row[I], Delta.Change))
      return false;
  return true;
}

static bool decodeRow(const Json::Value &Row, uint64_t EpochOfAll,
                      StoreItem &Item) {
  if (!Row.isArray() || Row.size() < 2 || Row.size() > 4 ||
      !Row[0].isString() || !Row[1].isUInt64())
    return false;
  const bool HasEpoch = Row.size() == 4;
  if (HasEpoch && !Row[3].isUInt64())
    return false;
  Item.Key = Row[0].asString();
  Item.At = {HasEpoch ? Row[3].asUInt64() : EpochOfAll, Row[1].asUInt64()};
  Item.IsRemoved = Row.size() == 2 || (HasEpoch && Row[2].isNull());
  if (Item.IsRemoved)
    return true;
  if (!Row[2].isString())
    return false;
  Item.Value = Row[2].asString();
  return true;
}

Json::Value packChanges(Json::Value Encoded) {
  const std::string Text = writeJson(Encoded["items"]);
  if (Text.size() <= PackFromBytes)
    return Encoded;
  Encoded.removeMember("items");
  Encoded["packed"] = encodeBase64(compressText(Text));
  return Encoded;
}

/// Returns the rows of either form.
static Result<Json::Value> readRows(const Json::Value &Value) {
  if (Value["items"].isArray())
    return Value["items"];
  if (!Value["packed"].isString())
    return makeError(ErrorKind::InvalidArgument, "no items");
  BOOST_OUTCOME_TRY(std::string Packed,
                    decodeBase64(Value["packed"].asString()));
  BOOST_OUTCOME_TRY(std::string Text,
                    decompressText(Packed, MostUnpackedBytes));
  Json::Value Rows;
  if (!parseJson(Text, Rows) || !Rows.isArray())
    return makeError(ErrorKind::InvalidArgument, "packed items are no list");
  return Rows;
}

Result<ItemChanges> decodeChanges(const Json::Value &Value) {
  if (!Value.isObject() || !Value["as-of"].isUInt64() ||
      (Value.isMember("epoch") && !Value["epoch"].isUInt64()) ||
      !Value["all"].isBool() ||
      (Value.isMember("partial") && !Value["partial"].isBool()) ||
      (Value.isMember("deltas") && !Value["deltas"].isArray()))
    return makeError(ErrorKind::InvalidArgument, "not changes of a directory");
  ItemChanges Changes;
  // A daemon that knows of no epochs is behind all that do.
  const uint64_t Epoch = Value["epoch"].asUInt64();
  Changes.AsOf = {Epoch, Value["as-of"].asUInt64()};
  Changes.IsFull = Value["all"].asBool();
  Changes.OmitsLarge = Value["partial"].asBool();
  BOOST_OUTCOME_TRY(Json::Value Rows, readRows(Value));
  for (const Json::Value &Row : Rows) {
    StoreItem Item;
    if (!decodeRow(Row, Epoch, Item))
      return makeError(ErrorKind::InvalidArgument, "not an item");
    Changes.Items.push_back(std::move(Item));
  }
  for (const Json::Value &Row : Value["deltas"]) {
    ItemDelta Delta;
    if (!decodeDelta(Row, Epoch, Delta))
      return makeError(ErrorKind::InvalidArgument, "not a difference");
    Changes.Deltas.push_back(std::move(Delta));
  }
  return Changes;
}

ChangesResponder::ChangesResponder(ChangesSource Source,
                                   std::function<bool()> HasRoom)
    : Source(std::move(Source)), HasRoom(std::move(HasRoom)) {}

Json::Value ChangesResponder::answer(const ChangesRequest &Request) {
  ItemChanges Changes = this->Source(Request);
  StorePosition After = Request.After;
  if (!Request.HasEpoch)
    After.Epoch = Changes.AsOf.Epoch;
  const bool IsWhole = After.isNone() || After.Epoch != Changes.AsOf.Epoch;
  if (IsWhole && !this->HasRoom())
    return makeCallError({ErrorKind::Unavailable, "no room for a whole copy"});
  const bool HasLarge =
      std::any_of(Changes.Items.begin(), Changes.Items.end(), isLarge);
  if (HasLarge && !(Request.WantsLarge && this->HasRoom())) {
    std::erase_if(Changes.Items, isLarge);
    Changes.OmitsLarge = true;
    return packChanges(encodeChanges(Changes));
  }
  // Differences depend on what the peer holds.
  if (!Changes.Deltas.empty())
    return packChanges(encodeChanges(Changes));
  return this->packOnce(Changes, After);
}

/// Encodes and packs, or returns what was packed for the same question before.
Json::Value ChangesResponder::packOnce(const ItemChanges &Changes,
                                       const StorePosition &After) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const auto Found = this->Recent.find(After);
    if (Found != this->Recent.end() && Found->second.AsOf == Changes.AsOf)
      return Found->second.Value;
  }
  Json::Value Value = packChanges(encodeChanges(Changes));
  if (!Value.isMember("packed"))
    return Value;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  // Whole copies come first in the order, later questions behind them.
  if (this->Recent.size() >= AnswersKept)
    this->Recent.erase(std::prev(this->Recent.end()));
  this->Recent[After] = {Changes.AsOf, Value};
  return Value;
}

void addDirectoryMethod(JsonRpcDispatcher &Dispatcher,
                        ChangesResponder &Answerer) {
  Dispatcher.add(MethodName, [&Answerer](const Json::Value &Params) {
    const Result<ChangesRequest> Request = decodeRequest(Params);
    return Request ? Answerer.answer(Request.value())
                   : makeCallError(Request.error());
  });
}

Json::Value encodeRequest(const ChangesRequest &Request) {
  Json::Value Params;
  Params["after"] = static_cast<Json::UInt64>(Request.After.Revision);
  Params["epoch"] = static_cast<Json::UInt64>(Request.After.Epoch);
  Params["large"] = Request.WantsLarge;
  Params["held"] = Json::objectValue;
  for (const auto &[Key, At] : Request.Held)
    if (At.Epoch == Request.After.Epoch)
      Params["held"][Key] = static_cast<Json::UInt64>(At.Revision);
  return Params;
}

Result<ChangesRequest> decodeRequest(const Json::Value &Params) {
  ChangesRequest Request;
  if (!Params.isObject() || !Params["after"].isUInt64() ||
      (Params.isMember("epoch") && !Params["epoch"].isUInt64()) ||
      (Params.isMember("large") && !Params["large"].isBool()) ||
      (Params.isMember("held") && !Params["held"].isObject()))
    return makeError(ErrorKind::InvalidArgument, "not a request for changes");
  Request.HasEpoch = Params.isMember("epoch");
  Request.After = {Params["epoch"].asUInt64(), Params["after"].asUInt64()};
  Request.WantsLarge = !Params.isMember("large") || Params["large"].asBool();
  const Json::Value &Held = Params["held"];
  for (const std::string &Key : Held.getMemberNames()) {
    if (!Held[Key].isUInt64())
      return makeError(ErrorKind::InvalidArgument, "held: not a revision");
    Request.Held[Key] = {Request.After.Epoch, Held[Key].asUInt64()};
  }
  return Request;
}

Result<ItemChanges> fetchChanges(PeerCaller &Caller, const Endpoint &Peer,
                                 const ChangesRequest &Request,
                                 Duration Timeout) {
  BOOST_OUTCOME_TRY(
      Json::Value Answer,
      Caller.call(Peer, MethodName, encodeRequest(Request), Timeout));
  return decodeChanges(Answer);
}

} // namespace canvaswick
