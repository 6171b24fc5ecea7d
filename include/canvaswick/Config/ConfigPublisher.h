//===- ConfigPublisher.h - Publishes changes of the settings ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Validates a settings tree, writes its parts and then its manifest by
/// compare-and-swap. If the response of the platform is lost, the publisher
/// reads the manifest and looks for the change ID to find out whether the
/// change took effect.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_CONFIG_CONFIGPUBLISHER_H
#define CANVASWICK_CONFIG_CONFIGPUBLISHER_H

#include "canvaswick/Config/ConfigManifest.h"
#include "canvaswick/Platform/PlatformClient.h"

#include <string>

namespace canvaswick {

/// A change of the settings that an operator requests.
struct ConfigRequest {
  std::string Text;
  /// Name of the file in validation errors.
  std::string FileName;
  /// The version that the change is based on. 0 means that no version may have
  /// been published yet.
  uint64_t BaseVersion = 0;
  /// Identifies the change. Publishing a change again has no further effect.
  std::string ChangeId;
  std::string Author;
  std::string Note;
};

/// Publishes settings to the platform and reads them back.
class ConfigPublisher {
public:
  explicit ConfigPublisher(PlatformClient &Platform);

  /// Publishes a change and returns its version. Fails with InvalidArgument if
  /// the tree fails validation, with Conflict if the settings have changed
  /// since BaseVersion (the message names the author and the note of that
  /// change), with OutcomeUnknown if the change may have taken effect
  /// (findChange then tells), and with the errors of the platform.
  Result<uint64_t> publish(const ConfigRequest &Request, int64_t NowMillis);

  /// Returns the version that a change made. Fails with NotFound if the change
  /// is not among the recent changes in the manifest.
  Result<uint64_t> findChange(const std::string &ChangeId);

  /// Reads the manifest of the newest version.
  Result<ConfigManifest> readManifest();

  /// Reads the manifest of a past version.
  Result<ConfigManifest> readPastManifest(uint64_t Version);

  /// Reads the parts of a version and returns the text of its tree.
  Result<std::string> readTree(const ConfigManifest &Manifest);

private:
  Result<void> writeParts(const std::vector<ConfigPart> &Parts,
                          const ConfigTexts &Texts);

  PlatformClient &Platform;
};

} // namespace canvaswick

#endif // CANVASWICK_CONFIG_CONFIGPUBLISHER_H
