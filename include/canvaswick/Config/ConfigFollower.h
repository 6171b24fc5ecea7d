//===- ConfigFollower.h - Version of the settings in force ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tracks the version of the settings that is in force at a daemon. Accepts
/// only newer versions that pass validation, whichever source they come from,
/// and reports which parts are missing. Also decides which daemons read the
/// platform and when. Does no input or output; the daemon fetches the parts.
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

/// Holds the version of the settings in force at one daemon. Not thread-safe.
class ConfigFollower {
public:
  /// Returns the version in force, or 0 if no published version is in force.
  uint64_t getVersion() const { return this->Manifest.Version; }

  const ConfigManifest &getManifest() const { return this->Manifest; }

  /// Returns the text of a part of the version in force, or null.
  const std::string *findText(const std::string &Hash) const;

  /// Returns the hashes of the parts of Candidate whose text is not held.
  std::vector<std::string> findMissing(const ConfigManifest &Candidate) const;

  /// Puts a version in force. Fetched holds the parts that were missing. Fails
  /// with Conflict if Candidate is not newer than the version in force, with
  /// the error of joinTree if a part is missing or does not match its hash, and
  /// with InvalidArgument if the tree fails validation. After an error the
  /// version in force is unchanged.
  Result<FleetConfigRef> accept(const ConfigManifest &Candidate,
                                const ConfigTexts &Fetched);

  /// Compiles a tree from a local file as version 0. Fails with Conflict if a
  /// published version is in force.
  Result<FleetConfigRef> acceptLocal(const std::string &Text,
                                     const std::string &FileName);

private:
  ConfigManifest Manifest;
  ConfigTexts Texts;
};

/// Decides which daemons read the settings from the platform. A few elected
/// watchers read it for the whole fleet. The other daemons read it only if the
/// version in force has not been confirmed as the newest for some time, and
/// then with a probability that keeps the read rate of the fleet constant.
class ConfigWatchSchedule {
public:
  /// Reads per second of all daemons together while no watcher confirms.
  static constexpr double UnconfirmedReadsPerSecond = 3;

  /// Number of daemons that watch the platform for the fleet.
  static constexpr size_t Watchers = 3;

  /// Returns whether the daemon Self is a watcher. Working lists the members
  /// that share the work; if it is empty, every daemon is a watcher.
  static bool isWatcher(const std::string &Self,
                        const std::vector<std::string> &Working);

  /// Records that this daemon, or a peer that reported it, read the platform
  /// successfully Age before Now.
  void recordConfirmation(Duration Age, TimePoint Now);

  /// Returns the age of the newest known confirmation, or Duration::max() if
  /// there is none.
  Duration getConfirmationAge(TimePoint Now) const;

  /// Returns whether a daemon that is not a watcher should read the platform
  /// now. To be called once per second. Working is the number of members that
  /// share the work, and Draw is a uniform random number from 0 to 1.
  bool shouldReadPlatform(size_t Working, double Draw, TimePoint Now) const;

private:
  TimePoint Confirmed{};
  bool WasConfirmed = false;
};

} // namespace canvaswick

#endif // CANVASWICK_CONFIG_CONFIGFOLLOWER_H
