//===- DirectoryEncoding.h - Changes of replicas as JSON --------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The requests by which daemons ask each other for changes, and the answers.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_DIRECTORYENCODING_H
#define CANVASWICK_DAEMON_DIRECTORYENCODING_H

#include "canvaswick/Directory/ItemTable.h"
#include "canvaswick/Support/Error.h"

#include <json/json.h>

namespace canvaswick {

/// Which changes a peer asks for.
enum class ChangesScope : uint8_t {
  All,
  /// The operators' settings alone. They do not complete the peer's replica.
  Settings,
  /// What has left, whatever else was written.
  Departures,
};

/// A peer's request for changes.
struct ChangesRequest {
  /// The position up to which the peer's replica is complete; none if it has no
  /// replica.
  StorePosition After;
  /// Whether the peer accepts large values, too.
  bool WantsLarge = true;
  /// The large items that the peer holds: they are not sent again, and their
  /// changes may be sent as deltas. All positions have the epoch of After.
  ItemPositions Held;
  /// Whether the request names an epoch. A peer of a version without epochs
  /// names none; its request is then read as one in the responder's epoch.
  bool HasEpoch = true;
  /// Whether the peer decodes large values that are packed one by one. A peer
  /// of an earlier version does not.
  bool AcceptsPackedValues = true;
  /// Names the answer for confirmReceipt; 0 if the peer does not confirm.
  uint64_t Receipt = 0;
  ChangesScope Scope = ChangesScope::All;
};

Json::Value encodeRequest(const ChangesRequest &Request);

/// Fails with InvalidArgument if the request is malformed.
Result<ChangesRequest> decodeRequest(const Json::Value &Params);

/// Encodes an item, or its key and position alone if it is a removal. An epoch
/// that is not DefaultEpoch is encoded too.
Json::Value encodeItem(const StoreItem &Item, uint64_t DefaultEpoch);

Json::Value encodeChanges(const ItemChanges &Changes);

/// Replaces the items of encoded changes by their compressed text if that text
/// is long.
Json::Value packChanges(Json::Value Encoded);

/// Accepts both forms. The position after which the changes begin is not part
/// of them: it is that of the request. Fails with InvalidArgument if the value
/// is malformed.
Result<ItemChanges> decodeChanges(const Json::Value &Value);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_DIRECTORYENCODING_H
