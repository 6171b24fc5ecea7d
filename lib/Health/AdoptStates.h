//===- AdoptStates.h - Copies server states between policies ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines a helper for policies that take over the state of the policy of an
/// earlier version of the settings. Private to this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_HEALTH_ADOPTSTATES_H
#define CANVASWICK_LIB_HEALTH_ADOPTSTATES_H

#include "canvaswick/Health/HealthPolicy.h"

#include <unordered_map>
#include <vector>

namespace canvaswick {

/// Copies the state of each server that is in both versions, except for its
/// Config, and calls Adopted with its new and its old index.
template <typename StateT, typename VisitorT>
void adoptStates(std::vector<StateT> &New, const std::vector<StateT> &Old,
                 const std::unordered_map<ServerId, size_t> &IndexOfOld,
                 const VisitorT &Adopted) {
  for (size_t I = 0; I < New.size(); ++I) {
    const auto Found = IndexOfOld.find(New[I].Config.Id);
    if (Found == IndexOfOld.end())
      continue;
    const PolicyServer Config = New[I].Config;
    New[I] = Old[Found->second];
    New[I].Config = Config;
    Adopted(I, Found->second);
  }
}

} // namespace canvaswick

#endif // CANVASWICK_LIB_HEALTH_ADOPTSTATES_H
