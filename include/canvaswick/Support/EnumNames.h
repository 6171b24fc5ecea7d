//===- EnumNames.h - Tables of enumerator names -----------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// An enumeration that appears in text has one table of names, which is used
/// for both printing and parsing.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SUPPORT_ENUMNAMES_H
#define CANVASWICK_SUPPORT_ENUMNAMES_H

#include <array>
#include <cassert>
#include <cstddef>
#include <optional>
#include <string_view>

namespace canvaswick {

/// One row of a name table.
template <typename EnumT> struct EnumName {
  EnumT Value;
  const char *Name;
};

/// A name table for EnumT.
template <typename EnumT, size_t Count>
using EnumNames = std::array<EnumName<EnumT>, Count>;

/// Returns the name of Value. Every enumerator must be in the table.
template <typename EnumT, size_t Count>
const char *getEnumName(const EnumNames<EnumT, Count> &Table, EnumT Value) {
  for (const EnumName<EnumT> &Row : Table)
    if (Row.Value == Value)
      return Row.Name;
  assert(false && "enumerator without a name");
  return "?";
}

/// Returns the enumerator called Name, or nullopt if there is none.
template <typename EnumT, size_t Count>
std::optional<EnumT> findEnumValue(const EnumNames<EnumT, Count> &Table,
                                   std::string_view Name) {
  for (const EnumName<EnumT> &Row : Table)
    if (Name == Row.Name)
      return Row.Value;
  return std::nullopt;
}

} // namespace canvaswick

#endif // CANVASWICK_SUPPORT_ENUMNAMES_H
