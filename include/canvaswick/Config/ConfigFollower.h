//===- ConfigFollower.h - Which version of the settings is in force at a daemon
//-*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Takes newer versions from wherever they come, never an older one, and never
/// one that fails the check. Says which parts are missing and when to look at
/// the platform. No sockets: the daemon fetches.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_CONFIG_CONFIGFOLLOWER_H
#define CANVASWICK_CONFIG_CONFIGFOLLOWER_H

#include "canvaswick/Config/ConfigManifest.h"
#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Support/Time.h"

#include <string>
#include <vector>

namespace canvaswick {

/// The settings of one daemon. Not thread-safe.
class ConfigFollower {
public:
  /// Returns the version in force, 0 for none.
  uint64_t getVersion() const { return this->Manifest.Version; }

  const ConfigManifest &getManifest() const { return this->Manifest; }

  /// Returns the text of a part in force, or null.
  const std::string *findText(const std::string &Hash) const;

  /// Returns the hashes of the parts of Candidate that are not here.
  std::vector<std::string> findMissing(const ConfigManifest &Candidate) const;

  /// Puts a version in force. Fetched holds the parts that were missing. Fails
  /// with Conflict if it is not newer, and with InvalidArgument if the tree
  /// fails its check; the version in force then stays.
  Result<FleetConfigRef> accept(const ConfigManifest &Candidate,
                                const ConfigTexts &Fetched);

  /// Puts a tree from a local file in force as version 0, while there is no
  /// other.
  Result<FleetConfigRef> acceptLocal(const std::string &Text,
                                     const std::string &FileName);

private:
  ConfigManifest Manifest;
  ConfigTexts Texts;
};

/// Decides which daemons look at the platform. A few watch it for all; the
/// others look only when nobody has confirmed for long that what they hold is
/// the newest, and then so rarely that the sum over the fleet stays the same.
class ConfigWatchSchedule {
public:
  /// Sum of looks a second over the fleet while nobody confirms.
  static constexpr double UnconfirmedReadsPerSecond = 3;

  /// How many daemons watch for all.
  static constexpr size_t Watchers = 3;

  /// Returns whether Self is one of those who watch.
  static bool isWatcher(const std::string &Self,
                        const std::vector<std::string> &Working);

  /// Notes that the platform was read successfully, by us or by someone who
  /// told us Age ago.
  void recordConfirmation(Duration Age, TimePoint Now);

  /// Returns how long ago the newest known confirmation was.
  Duration getConfirmationAge(TimePoint Now) const;

  /// Returns whether a daemon that does not watch should look now, when asked
  /// once a second. Draw is a random number from 0 to 1.
  bool shouldReadPlatform(size_t Working, double Draw, TimePoint Now) const;

private:
  TimePoint Confirmed{};
  bool WasConfirmed = false;
};

} // namespace canvaswick

#endif // CANVASWICK_CONFIG_CONFIGFOLLOWER_H
