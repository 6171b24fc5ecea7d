//===- RemovalLog.h - Removals of items ------------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A removed item leaves nothing behind in a replica, so that whoever lags can
/// learn of the removal only from this list.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_REMOVALLOG_H
#define CANVASWICK_DIRECTORY_REMOVALLOG_H

#include "canvaswick/Directory/StorePosition.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace canvaswick {

/// The last removals of keys that do not exist, whether or not the replica ever
/// held them. Not thread-safe.
class RemovalLog {
public:
  /// Records that a key was removed. An older removal of it is forgotten.
  void record(const std::string &Key, const StorePosition &At);

  /// Forgets the removal of a key that was created again.
  void forget(const std::string &Key);

  /// Returns the position at which a key was last removed, or none.
  StorePosition find(const std::string &Key) const;

  /// Records that removals up to Position may be missing.
  void restrictTo(const StorePosition &Position);

  /// Forgets the removals up to Position, which are missing from now on.
  void forgetUpTo(const StorePosition &Position);

  /// Forgets the oldest removals up to Limit, as far as there are too many.
  void shrink(const StorePosition &Limit);

  /// Forgets everything, because positions have lost their meaning.
  void reset();

  /// Returns the position after which no removal is missing, as far as the
  /// replica is complete.
  const StorePosition &getSince() const { return this->Since; }

  /// Calls Visit for each removal after a position, in the order of positions.
  void visitAfter(
      const StorePosition &After,
      const std::function<void(const std::string &Key, const StorePosition &At)>
          &Visit) const;

  size_t size() const { return this->Latest.size(); }

private:
  std::map<std::string, StorePosition> Latest;
  std::set<std::pair<StorePosition, std::string>> Ordered;
  StorePosition Since;
};

} // namespace canvaswick

#endif // CANVASWICK_DIRECTORY_REMOVALLOG_H
