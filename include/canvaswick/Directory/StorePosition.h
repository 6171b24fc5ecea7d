//===- StorePosition.h - Position in the history of the store ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The store may lose changes that it has acknowledged and reuse their
/// revisions. It then begins a new epoch. A revision alone therefore has no
/// order: always compare and keep a StorePosition.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_DIRECTORY_STOREPOSITION_H
#define CANVASWICK_DIRECTORY_STOREPOSITION_H

#include <fmt/format.h>

#include <compare>
#include <cstdint>

namespace canvaswick {

/// A revision of the store in one of its epochs. A position in a later epoch is
/// greater than all positions in earlier ones.
struct StorePosition {
  /// 0 if the store does not report its epoch.
  uint64_t Epoch = 0;
  /// 0 if nothing was read, or if the item does not exist.
  uint64_t Revision = 0;

  constexpr StorePosition() = default;
  /// Requires both, so that no plain number converts to a position.
  constexpr StorePosition(uint64_t Epoch, uint64_t Revision)
      : Epoch(Epoch), Revision(Revision) {}

  bool isNone() const { return this->Revision == 0; }

  // The check names a variable that the compiler generates.
  // NOLINTBEGIN(readability-identifier-naming)
  friend auto operator<=>(const StorePosition &,
                          const StorePosition &) = default;
  // NOLINTEND(readability-identifier-naming)
};

/// How an answer of the store relates to the replica for which it was
/// requested.
enum class AnswerConsistency : uint8_t {
  /// It is as recent as the replica, or more recent.
  Follows,
  /// It was made in an epoch that has ended: its contents may have been lost.
  Outdated,
  /// The store has lost changes that the replica holds.
  HasLost,
};

/// Compares the position of a replica when the request was sent (Asked) with
/// the position of the store when it answered (Answered). Valid for
/// linearizable answers only.
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

/// Formats a position as "epoch:revision" for logs.
template <>
struct fmt::formatter<canvaswick::StorePosition> : formatter<std::string_view> {
  template <typename Context>
  auto format(const canvaswick::StorePosition &Position, Context &Into) const {
    return fmt::format_to(Into.out(), "{}:{}", Position.Epoch,
                          Position.Revision);
  }
};

#endif // CANVASWICK_DIRECTORY_STOREPOSITION_H
