//===- DirectoryEncoding.cpp - Changes of replicas as JSON ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// An item is encoded as [key, revision, value, epoch]. The epoch is omitted if
/// it is the epoch of the whole answer. An item without a value has been
/// deleted. Large values may be listed apart, each compressed and in base64.
/// Large items that are left out are listed as [key, revision].
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/DirectoryEncoding.h"
#include "canvaswick/Json/JsonText.h"
#include "canvaswick/Support/Base64.h"
#include "canvaswick/Support/TextCompression.h"

#include <utility>

namespace canvaswick {

/// Items are packed if their text is longer than this. For shorter texts
/// packing saves less than one network segment.
static constexpr size_t MinPackedBytes = 2048;

/// The maximum size of an unpacked text: twenty times a replica of 720 servers,
/// 443 daemons and 1,130 routes.
static constexpr size_t MaxUnpackedBytes = 16 << 20;

/// Encodes a delta as [key, revision, earlier revision, checksum, piece ...],
/// where a piece is [offset, length] in the earlier value or a literal text.
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

Json::Value encodeItem(const StoreItem &Item, uint64_t DefaultEpoch) {
  Json::Value Row(Json::arrayValue);
  Row.append(Item.Key);
  Row.append(static_cast<Json::UInt64>(Item.At.Revision));
  const bool HasEpoch = Item.At.Epoch != DefaultEpoch;
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
  if (Changes.NewestAt > Changes.AsOf) {
    Value["newest"].append(static_cast<Json::UInt64>(Changes.NewestAt.Epoch));
    Value["newest"].append(
        static_cast<Json::UInt64>(Changes.NewestAt.Revision));
  }
  Value["partial"] = Changes.Extent != ChangesExtent::All;
  Value["items"] = Json::arrayValue;
  for (const StoreItem &Item : Changes.Items)
    Value["items"].append(encodeItem(Item, Changes.AsOf.Epoch));
  for (const ItemDelta &Delta : Changes.Deltas)
    Value["deltas"].append(encodeDelta(Delta));
  if (!Changes.Omitted)
    return Value;
  Value["omitted"] = Json::arrayValue;
  for (const auto &[Key, At] : *Changes.Omitted)
    Value["omitted"].append(
        encodeItem({Key, "", At, true}, Changes.AsOf.Epoch));
  return Value;
}

/// Decodes one piece of a delta. Returns false if it is malformed.
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

static bool decodeDelta(const Json::Value &Row, uint64_t DefaultEpoch,
                        ItemDelta &Delta) {
  constexpr Json::ArrayIndex FirstPiece = 4;
  if (!Row.isArray() || Row.size() < FirstPiece || !Row[0].isString() ||
      !Row[1].isUInt64() || !Row[2].isUInt64() || !Row[3].isUInt64())
    return false;
  Delta.Key = Row[0].asString();
  Delta.At = {DefaultEpoch, Row[1].asUInt64()};
  Delta.Base = {DefaultEpoch, Row[2].asUInt64()};
  Delta.Change.Checksum = Row[3].asUInt64();
  for (Json::ArrayIndex I = FirstPiece; I < Row.size(); ++I)
    if (!decodePiece(Row[I], Delta.Change))
      return false;
  return true;
}

static bool decodeItem(const Json::Value &Row, uint64_t DefaultEpoch,
                       StoreItem &Item) {
  if (!Row.isArray() || Row.size() < 2 || Row.size() > 4 ||
      !Row[0].isString() || !Row[1].isUInt64())
    return false;
  const bool HasEpoch = Row.size() == 4;
  if (HasEpoch && !Row[3].isUInt64())
    return false;
  Item.Key = Row[0].asString();
  Item.At = {HasEpoch ? Row[3].asUInt64() : DefaultEpoch, Row[1].asUInt64()};
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
  if (Text.size() <= MinPackedBytes)
    return Encoded;
  Encoded.removeMember("items");
  Encoded["packed"] = encodeBase64(compressText(Text));
  return Encoded;
}

/// Returns the rows of either form, packed or not.
static Result<Json::Value> readRows(const Json::Value &Value) {
  if (Value["items"].isArray())
    return Value["items"];
  if (!Value["packed"].isString())
    return makeError(ErrorKind::InvalidArgument,
                     "changes contain neither items nor packed items");
  BOOST_OUTCOME_TRY(std::string Packed,
                    decodeBase64(Value["packed"].asString()));
  BOOST_OUTCOME_TRY(std::string Text, decompressText(Packed, MaxUnpackedBytes));
  Json::Value Rows;
  if (!parseJson(Text, Rows) || !Rows.isArray())
    return makeError(ErrorKind::InvalidArgument, "packed items are not a list");
  return Rows;
}

/// Decodes the large values that are packed one by one, if there are any.
static Result<void> decodePackedValues(const Json::Value &Rows, uint64_t Epoch,
                                       std::vector<StoreItem> &Items) {
  for (const Json::Value &Row : Rows) {
    StoreItem Item;
    if (!decodeItem(Row, Epoch, Item) || Item.IsRemoved)
      return makeError(ErrorKind::InvalidArgument, "malformed packed value");
    BOOST_OUTCOME_TRY(std::string Packed, decodeBase64(Item.Value));
    BOOST_OUTCOME_TRY(Item.Value, decompressText(Packed, MaxUnpackedBytes));
    Items.push_back(std::move(Item));
  }
  return outcome::success();
}

/// Returns whether a value is [epoch, revision].
static bool isPosition(const Json::Value &Value) {
  return Value.isArray() && Value.size() == 2 && Value[0].isUInt64() &&
         Value[1].isUInt64();
}

/// Decodes the list of the large items that are left out, if there is one.
static Result<std::optional<ItemPositions>>
decodeOmitted(const Json::Value &Rows, uint64_t Epoch) {
  if (Rows.isNull())
    return std::optional<ItemPositions>();
  ItemPositions Omitted;
  for (const Json::Value &Row : Rows) {
    StoreItem Item;
    if (!decodeItem(Row, Epoch, Item))
      return makeError(ErrorKind::InvalidArgument, "malformed omitted item");
    Omitted[Item.Key] = Item.At;
  }
  return std::optional<ItemPositions>(std::move(Omitted));
}

Result<ItemChanges> decodeChanges(const Json::Value &Value) {
  if (!Value.isObject() || !Value["as-of"].isUInt64() ||
      (Value.isMember("epoch") && !Value["epoch"].isUInt64()) ||
      !Value["all"].isBool() ||
      (Value.isMember("partial") && !Value["partial"].isBool()) ||
      (Value.isMember("values") && !Value["values"].isArray()) ||
      (Value.isMember("omitted") && !Value["omitted"].isArray()) ||
      (Value.isMember("deltas") && !Value["deltas"].isArray()))
    return makeError(ErrorKind::InvalidArgument,
                     "malformed changes of the store");
  ItemChanges Changes;
  // A daemon of a version without epochs counts as epoch 0, before all others.
  const uint64_t Epoch = Value["epoch"].asUInt64();
  Changes.AsOf = {Epoch, Value["as-of"].asUInt64()};
  Changes.IsFull = Value["all"].asBool();
  Changes.Extent =
      Value["partial"].asBool() ? ChangesExtent::Small : ChangesExtent::All;
  if (isPosition(Value["newest"]))
    Changes.NewestAt = {Value["newest"][0].asUInt64(),
                        Value["newest"][1].asUInt64()};
  BOOST_OUTCOME_TRY(Changes.Omitted, decodeOmitted(Value["omitted"], Epoch));
  BOOST_OUTCOME_TRY(Json::Value Rows, readRows(Value));
  for (const Json::Value &Row : Rows) {
    StoreItem Item;
    if (!decodeItem(Row, Epoch, Item))
      return makeError(ErrorKind::InvalidArgument, "malformed item");
    Changes.Items.push_back(std::move(Item));
  }
  BOOST_OUTCOME_TRYV(decodePackedValues(Value["values"], Epoch, Changes.Items));
  for (const Json::Value &Row : Value["deltas"]) {
    ItemDelta Delta;
    if (!decodeDelta(Row, Epoch, Delta))
      return makeError(ErrorKind::InvalidArgument, "malformed delta");
    Changes.Deltas.push_back(std::move(Delta));
  }
  return Changes;
}

Json::Value encodeRequest(const ChangesRequest &Request) {
  Json::Value Params;
  Params["after"] = static_cast<Json::UInt64>(Request.After.Revision);
  Params["epoch"] = static_cast<Json::UInt64>(Request.After.Epoch);
  Params["large"] = Request.WantsLarge;
  Params["packed-values"] = Request.AcceptsPackedValues;
  if (Request.Scope == ChangesScope::Settings)
    Params["only-settings"] = true;
  if (Request.Scope == ChangesScope::Departures)
    Params["only-departures"] = true;
  if (Request.Receipt != 0)
    Params["receipt"] = static_cast<Json::UInt64>(Request.Receipt);
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
      (Params.isMember("receipt") && !Params["receipt"].isUInt64()) ||
      (Params.isMember("packed-values") && !Params["packed-values"].isBool()) ||
      (Params.isMember("only-settings") && !Params["only-settings"].isBool()) ||
      (Params.isMember("only-departures") &&
       !Params["only-departures"].isBool()) ||
      (Params.isMember("held") && !Params["held"].isObject()))
    return makeError(ErrorKind::InvalidArgument, "not a request for changes");
  Request.HasEpoch = Params.isMember("epoch");
  Request.After = {Params["epoch"].asUInt64(), Params["after"].asUInt64()};
  Request.WantsLarge = !Params.isMember("large") || Params["large"].asBool();
  Request.AcceptsPackedValues = Params["packed-values"].asBool();
  Request.Receipt = Params["receipt"].asUInt64();
  if (Params["only-settings"].asBool())
    Request.Scope = ChangesScope::Settings;
  if (Params["only-departures"].asBool())
    Request.Scope = ChangesScope::Departures;
  const Json::Value &Held = Params["held"];
  for (const std::string &Key : Held.getMemberNames()) {
    if (!Held[Key].isUInt64())
      return makeError(ErrorKind::InvalidArgument, "held: not a revision");
    Request.Held[Key] = {Request.After.Epoch, Held[Key].asUInt64()};
  }
  return Request;
}

} // namespace canvaswick
