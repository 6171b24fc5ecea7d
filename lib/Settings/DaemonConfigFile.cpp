//===- DaemonConfigFile.cpp - A settings file that may change -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Compares the file's content with what was last read.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/DaemonConfigFile.h"
#include "canvaswick/Settings/IniDocument.h"
#include "canvaswick/Support/Log.h"

#include <utility>

namespace canvaswick {

DaemonConfigFile::DaemonConfigFile(std::string Path, std::string Content,
                                   DaemonConfig Config)
    : Path(std::move(Path)), Content(std::move(Content)),
      Config(std::move(Config)) {}

Result<DaemonConfigFile> DaemonConfigFile::load(const std::string &Path) {
  Result<std::string> Text = readFile(Path);
  BOOST_OUTCOME_TRY(DaemonConfig Loaded, loadDaemonConfig(Path));
  return DaemonConfigFile(Path, Text ? std::move(Text.value()) : std::string(),
                          std::move(Loaded));
}

bool DaemonConfigFile::refresh(bool MustLoad) {
  Result<std::string> Text = readFile(this->Path);
  const bool IsChanged = Text && Text.value() != this->Content;
  if (!MustLoad && !IsChanged)
    return false;
  if (Text)
    this->Content = std::move(Text.value());
  Result<DaemonConfig> Loaded = loadDaemonConfig(this->Path);
  if (!Loaded) {
    logError("reload-refused", "what={:?}", Loaded.error().Message);
    return false;
  }
  this->Config = std::move(Loaded.value());
  logInfo("reloaded", "file={} grace-ms={} floor-percent={}", this->Path,
          toMillis(this->Config.Grace), this->Config.FloorPercent);
  return true;
}

} // namespace canvaswick
