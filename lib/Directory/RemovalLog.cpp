//===- RemovalLog.cpp - Removals of items ---------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Removals may be recorded in any order, so they are kept by position.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Directory/RemovalLog.h"

#include <algorithm>

namespace canvaswick {

/// Number of removals that are remembered for peers that lag.
static constexpr size_t MaxRemovals = 1000;

void RemovalLog::record(const std::string &Key, const StorePosition &At) {
  if (this->find(Key) >= At)
    return;
  this->forget(Key);
  this->Latest[Key] = At;
  this->Ordered.emplace(At, Key);
}

void RemovalLog::forget(const std::string &Key) {
  const auto Found = this->Latest.find(Key);
  if (Found == this->Latest.end())
    return;
  this->Ordered.erase({Found->second, Key});
  this->Latest.erase(Found);
}

StorePosition RemovalLog::find(const std::string &Key) const {
  const auto Found = this->Latest.find(Key);
  return Found == this->Latest.end() ? StorePosition{} : Found->second;
}

void RemovalLog::restrictTo(const StorePosition &Position) {
  this->Since = std::max(this->Since, Position);
}

void RemovalLog::forgetUpTo(const StorePosition &Position) {
  this->restrictTo(Position);
  while (!this->Ordered.empty() && this->Ordered.begin()->first <= Position)
    this->forget(std::string(this->Ordered.begin()->second));
}

void RemovalLog::shrink(const StorePosition &Limit) {
  while (this->Latest.size() > MaxRemovals &&
         this->Ordered.begin()->first <= Limit)
    this->forgetUpTo(StorePosition(this->Ordered.begin()->first));
}

void RemovalLog::reset() {
  this->Latest.clear();
  this->Ordered.clear();
  this->Since = {};
}

void RemovalLog::visitAfter(
    const StorePosition &After,
    const std::function<void(const std::string &, const StorePosition &)>
        &Visit) const {
  for (auto Each = this->Ordered.upper_bound({After, std::string()});
       Each != this->Ordered.end(); ++Each)
    if (Each->first > After)
      Visit(Each->second, Each->first);
}

} // namespace canvaswick
