//===- DirectoryCalls.h - The copy of the store between daemons -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One daemon asks another for what its copy of the store has that its own
/// lacks: followers do after each change, and a daemon that starts while the
/// store is away asks the daemons that its settings name. The calls carry no
/// signature: a machine keeps nothing, so there is no place for a key that a
/// daemon could have before it reaches the store. What is taken is checked item
/// by item like the store's own answers, and only moves the copy forward.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_DIRECTORYCALLS_H
#define CANVASWICK_DAEMON_DIRECTORYCALLS_H

#include "canvaswick/Directory/ItemTable.h"
#include "canvaswick/Rpc/PeerCaller.h"

#include <functional>
#include <map>
#include <mutex>

namespace canvaswick {

/// What a peer asks.
struct ChangesRequest {
  /// Its copy is complete up to here; none: it has none.
  StorePosition After;
  /// Whether it takes large values too.
  bool WantsLarge = true;
  /// The large items that it holds: their changes may be told as differences.
  /// All are of the epoch of After.
  ItemPositions Held;
  /// False: the peer knows no epochs. It is taken to be in the one of whom it
  /// asks.
  bool HasEpoch = true;
};

/// Returns what the peer lacks.
using ChangesSource = std::function<ItemChanges(const ChangesRequest &)>;

/// Answers peers that ask for the copy of the store. What is urgent is small (a
/// server that leaves) and never waits behind what is large (a configuration):
/// large values travel only if they are asked for and if this daemon has room
/// for that, whole copies likewise. Thread-safe.
class ChangesResponder {
public:
  /// HasRoom tells whether one more large answer may leave now.
  ChangesResponder(ChangesSource Source, std::function<bool()> HasRoom);

  Json::Value answer(const ChangesRequest &Request);

private:
  struct PackedAnswer {
    StorePosition AsOf;
    Json::Value Value;
  };

  Json::Value packOnce(const ItemChanges &Changes, const StorePosition &After);

  const ChangesSource Source;
  const std::function<bool()> HasRoom;
  /// Guards Recent; held for no packing.
  std::mutex Mutex;
  /// What was packed of late, by After: a hall asks for the same.
  std::map<StorePosition, PackedAnswer> Recent;
};

/// Adds the method that peers call. Answerer must outlive the dispatcher's
/// calls.
void addDirectoryMethod(JsonRpcDispatcher &Dispatcher,
                        ChangesResponder &Answerer);

/// Asks a peer. Errors as for PeerCaller::call; Unavailable also from one that
/// has no room for a whole copy.
Result<ItemChanges> fetchChanges(PeerCaller &Caller, const Endpoint &Peer,
                                 const ChangesRequest &Request,
                                 Duration Timeout);

Json::Value encodeRequest(const ChangesRequest &Request);

/// Fails with InvalidArgument on a wrong shape.
Result<ChangesRequest> decodeRequest(const Json::Value &Params);

Json::Value encodeChanges(const ItemChanges &Changes);

/// Replaces the items of encoded changes by their packed text if they are many.
Json::Value packChanges(Json::Value Encoded);

/// Takes both forms. Fails with InvalidArgument on a wrong shape.
Result<ItemChanges> decodeChanges(const Json::Value &Value);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_DIRECTORYCALLS_H
