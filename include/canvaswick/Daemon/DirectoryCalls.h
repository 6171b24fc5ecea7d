//===- DirectoryCalls.h - Replication of the store --------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One daemon asks another for the items of the store that its own replica
/// lacks. Followers do so after each change; a daemon that starts while the
/// store is unavailable asks the daemons that its settings name.
///
/// The calls carry no signature: a VM keeps no state across restarts, so a
/// daemon has nowhere to get a key from before it reaches the store. Received
/// items are validated one by one like the store's own answers, and can only
/// move the replica forward.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DAEMON_DIRECTORYCALLS_H
#define CANVASWICK_DAEMON_DIRECTORYCALLS_H

#include "canvaswick/Daemon/DirectoryEncoding.h"
#include "canvaswick/Rpc/PeerCaller.h"

#include <functional>
#include <map>
#include <mutex>

namespace canvaswick {

/// Returns the changes that the peer lacks.
using ChangesSource = std::function<ItemChanges(const ChangesRequest &)>;

/// The large answers on their way to peers. An answer that was written is not
/// sent yet: it waits in buffers for the link, with whatever is written after
/// it. So it counts until its peer confirms it, or until ReceiptTimeout. Not
/// thread-safe.
class LargeAnswers {
public:
  /// Counts an answer unless MaxLargeAnswers are on their way. Returns whether
  /// it may be sent.
  bool tryBegin(uint64_t Receipt, TimePoint Now);

  /// Ends an answer; an unknown receipt is ignored.
  void end(uint64_t Receipt) { this->Until.erase(Receipt); }

private:
  /// When each answer stops counting.
  std::map<uint64_t, TimePoint> Until;
};

/// Answers peers' requests for changes. Urgent changes are small (a server that
/// leaves) and must not wait behind large ones (a configuration): large values
/// are sent only if the peer requests them and this daemon has the capacity;
/// the same holds for full replicas. Thread-safe.
class ChangesResponder {
public:
  /// HasCapacity returns whether another large response may be sent now.
  ChangesResponder(ChangesSource Source, std::function<bool()> HasCapacity);

  /// Fails with Unavailable if the request wants a large answer, for which
  /// there is no capacity.
  Json::Value answer(const ChangesRequest &Request, TimePoint Now);

  /// Records that a peer has received the answer with this receipt.
  void confirmReceipt(uint64_t Receipt);

private:
  struct CachedResponse {
    StorePosition AsOf;
    Json::Value Value;
  };

  /// A large value, compressed and encoded as text.
  struct PackedValue {
    StorePosition At;
    std::string Text;
  };

  bool tryBeginLarge(const ChangesRequest &Request, TimePoint Now);
  Json::Value packCached(const ItemChanges &Changes,
                         const StorePosition &After);
  Json::Value encodeLarge(ItemChanges Changes);
  std::string packValue(const StoreItem &Item);

  const ChangesSource Source;
  const std::function<bool()> HasCapacity;
  /// Guards Cache. Not held while a response is packed.
  std::mutex Mutex;
  /// Recently packed responses, by After: the daemons of a hall make the same
  /// request at about the same time.
  std::map<StorePosition, CachedResponse> Cache;
  std::mutex LargeMutex;
  /// Guarded by LargeMutex.
  LargeAnswers Large;
  /// Guards PackedValues, also while a value is packed: several peers ask for
  /// the same one, and packing it twice at once would take longer for all.
  std::mutex PackMutex;
  /// The last packed value of each large item. It outlasts changes of other
  /// items, which come several times a second.
  std::map<std::string, PackedValue> PackedValues;
};

/// Adds the method that peers call. Responder must outlive the dispatcher.
void addDirectoryMethod(JsonRpcDispatcher &Dispatcher,
                        ChangesResponder &Responder);

/// Requests changes from a peer. Fails like PeerCaller::call, and with
/// Unavailable if the peer has no capacity for a full replica. Fills in Traffic
/// unless it is null.
Result<ItemChanges> fetchChanges(PeerCaller &Caller, const Endpoint &Peer,
                                 const ChangesRequest &Request,
                                 const CallLimits &Limits,
                                 CallTraffic *Traffic = nullptr);

/// Tells a peer that its large answer has arrived, so that it may send another
/// one. A failure is ignored: the peer stops counting the answer after a while.
void confirmReceipt(PeerCaller &Caller, const Endpoint &Peer, uint64_t Receipt);

} // namespace canvaswick

#endif // CANVASWICK_DAEMON_DIRECTORYCALLS_H
