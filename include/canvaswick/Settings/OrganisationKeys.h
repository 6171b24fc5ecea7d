//===- OrganisationKeys.h - Key digests in the settings tree ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Reads and validates the key digests of the organisations of a settings tree.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SETTINGS_ORGANISATIONKEYS_H
#define CANVASWICK_SETTINGS_ORGANISATIONKEYS_H

#include "canvaswick/Settings/SettingsTree.h"
#include "canvaswick/Support/KeyDigest.h"

#include <string>
#include <vector>

namespace canvaswick {

/// Returns the key digests of an organisation of a validated tree.
std::vector<KeyDigest> listKeyDigests(const SettingNode &Organisation);

/// Returns the problems with the key digests of a tree's organisations, one per
/// line, with file, line and section. The result never contains the value of
/// the setting, because a text that is not a digest may be a key that was
/// pasted by mistake.
std::string checkOrganisationKeys(const SettingsTree &Tree,
                                  const std::string &FileName);

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_ORGANISATIONKEYS_H
