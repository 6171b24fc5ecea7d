//===- DaemonConfigFile.h - A settings file that may change ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The settings file of a daemon that runs. The file may change without a
/// signal, so it is read again now and then, and before a planned stop.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_SETTINGS_DAEMONCONFIGFILE_H
#define CANVASWICK_SETTINGS_DAEMONCONFIGFILE_H

#include "canvaswick/Settings/DaemonConfig.h"

#include <string>

namespace canvaswick {

/// Holds the configuration that was last loaded. Not thread-safe.
class DaemonConfigFile {
public:
  /// Loads the file at Path. Fails as loadDaemonConfig does.
  static Result<DaemonConfigFile> load(const std::string &Path);

  /// Loads the file if it has changed, or in any case if MustLoad is set. A
  /// file that cannot be used leaves the configuration as it is and is logged.
  /// Returns whether the file was loaded.
  bool refresh(bool MustLoad);

  const DaemonConfig &getConfig() const { return this->Config; }

private:
  DaemonConfigFile(std::string Path, std::string Content, DaemonConfig Config);

  std::string Path;
  /// What was last read, also if it could not be used. It is read before the
  /// file is loaded: a change in between is seen the next time.
  std::string Content;
  DaemonConfig Config;
};

} // namespace canvaswick

#endif // CANVASWICK_SETTINGS_DAEMONCONFIGFILE_H
