//===- DirectoryCalls.cpp - Replication of the store between daemons ------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Small answers are never refused. Large ones are bounded by what the link of
/// this daemon carries.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/DirectoryCalls.h"
#include "canvaswick/Json/JsonText.h"
#include "canvaswick/Support/Base64.h"
#include "canvaswick/Support/Log.h"
#include "canvaswick/Support/TextCompression.h"

#include <algorithm>

namespace canvaswick {

static constexpr const char *MethodName = "directory.changes";
static constexpr const char *ReceiptMethodName = "directory.received";

/// The maximum number of large answers on their way to peers. Those who have
/// one pass it on, so that few at a time reach a hall sooner than all at once.
static constexpr size_t MaxLargeAnswers = 2;

/// A large answer that was not confirmed stops counting after this time: its
/// peer has ended or is cut off.
static constexpr Duration ReceiptTimeout = fromMillis(1000);

/// Timeout of a confirmation, during which the received value is not in force.
static constexpr Duration ConfirmTimeout = fromMillis(100);

/// The number of packed responses that are cached.
static constexpr size_t MaxCachedResponses = 8;

ChangesResponder::ChangesResponder(ChangesSource Source,
                                   std::function<bool()> HasCapacity)
    : Source(std::move(Source)), HasCapacity(std::move(HasCapacity)) {}

bool LargeAnswers::tryBegin(uint64_t Receipt, TimePoint Now) {
  std::erase_if(this->Until,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  if (this->Until.size() >= MaxLargeAnswers)
    return false;
  this->Until[Receipt] = Now + ReceiptTimeout;
  return true;
}

/// Returns whether a peer that confirms its answers may be sent a large one.
bool ChangesResponder::tryBeginLarge(const ChangesRequest &Request,
                                     TimePoint Now) {
  std::lock_guard<std::mutex> Lock(this->LargeMutex);
  return this->Large.tryBegin(Request.Receipt, Now);
}

void ChangesResponder::confirmReceipt(uint64_t Receipt) {
  std::lock_guard<std::mutex> Lock(this->LargeMutex);
  this->Large.end(Receipt);
}

/// Leaves out the large items, and lists them instead.
static void omitLarge(ItemChanges &Changes) {
  Changes.Omitted.emplace();
  std::erase_if(Changes.Items, [&Changes](const StoreItem &Item) {
    if (isLarge(Item))
      Changes.Omitted->emplace(Item.Key, Item.At);
    return isLarge(Item);
  });
  Changes.Extent = ChangesExtent::Small;
}

Json::Value ChangesResponder::answer(const ChangesRequest &Request,
                                     TimePoint Now) {
  if (Request.WantsLarge && Request.Receipt != 0 &&
      !this->tryBeginLarge(Request, Now))
    return makeCallError({ErrorKind::Unavailable, "no room for large values"});
  ItemChanges Changes = this->Source(Request);
  if (Request.Scope == ChangesScope::Departures)
    return packChanges(encodeChanges(Changes));
  StorePosition After = Request.After;
  if (!Request.HasEpoch)
    After.Epoch = Changes.AsOf.Epoch;
  const bool IsFullReplica =
      After.isNone() || After.Epoch != Changes.AsOf.Epoch;
  // Whoever confirms its answers has been counted by them already.
  const bool HasRoom = Request.Receipt != 0 || this->HasCapacity();
  if (IsFullReplica && !HasRoom)
    return makeCallError({ErrorKind::Unavailable, "no room for a whole copy"});
  const bool HasLarge =
      std::any_of(Changes.Items.begin(), Changes.Items.end(), isLarge);
  // Neither cached nor complete.
  if (Request.Scope == ChangesScope::Settings)
    return this->encodeLarge(std::move(Changes));
  if (HasLarge && !(Request.WantsLarge && HasRoom)) {
    omitLarge(Changes);
    return packChanges(encodeChanges(Changes));
  }
  if (HasLarge && !IsFullReplica && Request.AcceptsPackedValues)
    return this->encodeLarge(std::move(Changes));
  // Deltas depend on what the peer holds, so they are not cached.
  if (!Changes.Deltas.empty())
    return packChanges(encodeChanges(Changes));
  return this->packCached(Changes, After);
}

/// Returns the packed value of a large item, which is packed once.
std::string ChangesResponder::packValue(const StoreItem &Item) {
  std::lock_guard<std::mutex> Lock(this->PackMutex);
  PackedValue &Packed = this->PackedValues[Item.Key];
  if (Packed.At != Item.At || Packed.Text.empty())
    Packed = {Item.At, encodeBase64(compressText(Item.Value))};
  return Packed.Text;
}

/// Encodes changes whose large values are packed one by one.
Json::Value ChangesResponder::encodeLarge(ItemChanges Changes) {
  Json::Value Values(Json::arrayValue);
  std::erase_if(Changes.Items, [&](StoreItem &Item) {
    if (!isLarge(Item))
      return false;
    Item.Value = this->packValue(Item);
    Values.append(encodeItem(Item, Changes.AsOf.Epoch));
    return true;
  });
  Json::Value Encoded = packChanges(encodeChanges(Changes));
  Encoded["values"] = std::move(Values);
  return Encoded;
}

/// Encodes and packs changes, or returns the cached response to the same
/// request.
Json::Value ChangesResponder::packCached(const ItemChanges &Changes,
                                         const StorePosition &After) {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const auto Found = this->Cache.find(After);
    if (Found != this->Cache.end() && Found->second.AsOf == Changes.AsOf)
      return Found->second.Value;
  }
  Json::Value Value = packChanges(encodeChanges(Changes));
  if (!Value.isMember("packed"))
    return Value;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  // Full replicas sort first and are kept; the request with the latest position
  // is evicted.
  if (this->Cache.size() >= MaxCachedResponses)
    this->Cache.erase(std::prev(this->Cache.end()));
  this->Cache[After] = {Changes.AsOf, Value};
  return Value;
}

void addDirectoryMethod(JsonRpcDispatcher &Dispatcher,
                        ChangesResponder &Responder) {
  Dispatcher.add(MethodName, [&Responder](const Json::Value &Params) {
    const Result<ChangesRequest> Request = decodeRequest(Params);
    return Request ? Responder.answer(Request.value(), readSteadyClock())
                   : makeCallError(Request.error());
  });
  Dispatcher.add(ReceiptMethodName, [&Responder](const Json::Value &Params) {
    if (!Params.isObject() || !Params["receipt"].isUInt64())
      return makeCallError({ErrorKind::InvalidArgument, "not a receipt"});
    Responder.confirmReceipt(Params["receipt"].asUInt64());
    return Json::Value(Json::objectValue);
  });
}

Result<ItemChanges> fetchChanges(PeerCaller &Caller, const Endpoint &Peer,
                                 const ChangesRequest &Request,
                                 const CallLimits &Limits,
                                 CallTraffic *Traffic) {
  BOOST_OUTCOME_TRY(
      Json::Value Answer,
      Caller.call(Peer, MethodName, encodeRequest(Request), Limits, Traffic));
  BOOST_OUTCOME_TRY(ItemChanges Changes, decodeChanges(Answer));
  Changes.After = Request.After;
  if (Request.Scope == ChangesScope::Settings)
    Changes.Extent = ChangesExtent::Excerpt;
  if (Request.Scope == ChangesScope::Departures)
    Changes.Extent = ChangesExtent::Departures;
  return Changes;
}

void confirmReceipt(PeerCaller &Caller, const Endpoint &Peer,
                    uint64_t Receipt) {
  Json::Value Params;
  Params["receipt"] = static_cast<Json::UInt64>(Receipt);
  const Result<Json::Value> Confirmed =
      Caller.call(Peer, ReceiptMethodName, Params, ConfirmTimeout);
  if (!Confirmed)
    logInfo("receipt-lost", "peer={} what={:?}", Peer.format(),
            Confirmed.error().Message);
}

} // namespace canvaswick
