//===- StorePosition.h - A place in the order of the store ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The store may lose what it has acknowledged and give the same revisions out
/// again. It then counts a new epoch. So a revision alone orders nothing: what
/// is compared or kept is a position, and no place compares anything else.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_STOREPOSITION_H
#define CANVASWICK_DIRECTORY_STOREPOSITION_H

#include <fmt/format.h>

#include <compare>
#include <cstdint>

namespace canvaswick {

/// A revision of the store in one of its epochs. What was read in a later epoch
/// comes after all that was read in an earlier one.
struct StorePosition {
  /// 0: the store does not tell its epoch.
  uint64_t Epoch = 0;
  /// 0: nothing was read, or the item does not exist.
  uint64_t Revision = 0;

  constexpr StorePosition() = default;
  /// Both are told, so that no number is taken for a position.
  constexpr StorePosition(uint64_t Epoch, uint64_t Revision)
      : Epoch(Epoch), Revision(Revision) {}

  bool isNone() const { return this->Revision == 0; }

  // The linter names a variable of the compiler's own.
  // NOLINTBEGIN(readability-identifier-naming)
  friend auto operator<=>(const StorePosition &,
                          const StorePosition &) = default;
  // NOLINTEND(readability-identifier-naming)
};

/// How an answer of the store goes with the copy for which it was asked.
enum class AnswerConsistency : uint8_t {
  /// It is as far as the copy, or further.
  Follows,
  /// It was made in an epoch that is over: what it says may be lost.
  Outdated,
  /// The store has lost something that the copy holds.
  HasLost,
};

/// Compares how far a copy was when the store was asked with how far the store
/// was as it answered. Holds for linearizable answers only.
inline AnswerConsistency compareAnswer(const StorePosition &Asked,
                                       const StorePosition &Answered) {
  if (Answered.Epoch < Asked.Epoch)
    return AnswerConsistency::Outdated;
  if (Asked.isNone())
    return AnswerConsistency::Follows;
  const bool Holds =
      Answered.Epoch == Asked.Epoch && Answered.Revision >= Asked.Revision;
  return Holds ? AnswerConsistency::Follows : AnswerConsistency::HasLost;
}

} // namespace canvaswick

/// Prints epoch and revision as logs show them.
template <>
struct fmt::formatter<canvaswick::StorePosition> : formatter<std::string_view> {
  template <typename Context>
  auto format(const canvaswick::StorePosition &Position, Context &Into) const {
    return fmt::format_to(Into.out(), "{}:{}", Position.Epoch,
                          Position.Revision);
  }
};

#endif // CANVASWICK_DIRECTORY_STOREPOSITION_H
