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

namespace canvaswick {

/// Returns what a table that is complete up to a revision lacks.
using ChangesSource = std::function<ItemChanges(uint64_t After)>;

/// Adds the method that peers call.
void addDirectoryMethod(JsonRpcDispatcher &Dispatcher, ChangesSource Source);

/// Asks a peer. Errors as for PeerCaller::call.
Result<ItemChanges> fetchChanges(PeerCaller &Caller, const Endpoint &Peer,
                                 uint64_t After, Duration Timeout);

Json::Value encodeChanges(const ItemChanges &Changes);

/// Fails with InvalidArgument on a wrong shape.
Result<ItemChanges> decodeChanges(const Json::Value &Value);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_DIRECTORYCALLS_H
