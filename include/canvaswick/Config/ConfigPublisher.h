//===- ConfigPublisher.h - Puts a change of the settings into force -*- C++
//-*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Checks the tree, writes its parts, then the manifest by compare-and-swap.
/// When an answer is lost it finds out by the change id whether the change
/// landed.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_CONFIG_CONFIGPUBLISHER_H
#define CANVASWICK_CONFIG_CONFIGPUBLISHER_H

#include "canvaswick/Config/ConfigManifest.h"
#include "canvaswick/Platform/PlatformClient.h"

#include <string>

namespace canvaswick {

/// A change as an operator asks for it.
struct ConfigRequest {
  std::string Text;
  std::string FileName;
  /// The version the operator read. 0: there must be none yet.
  uint64_t BaseVersion = 0;
  std::string ChangeId;
  std::string Author;
  std::string Note;
};

/// Publishes to the platform.
class ConfigPublisher {
public:
  explicit ConfigPublisher(PlatformClient &Platform);

  /// Publishes a change and returns its version. Errors: InvalidArgument (the
  /// check failed), Conflict (someone else changed the settings since; the
  /// message says who and when), OutcomeUnknown (it may have landed; ask again
  /// with findChange), others from the platform.
  Result<uint64_t> publish(const ConfigRequest &Request, int64_t NowMillis);

  /// Returns the version that a change made, or NotFound if it did not land
  /// among the remembered ones.
  Result<uint64_t> findChange(const std::string &ChangeId);

  /// Reads the newest manifest.
  Result<ConfigManifest> readManifest();

  /// Reads the manifest of a past version.
  Result<ConfigManifest> readPastManifest(uint64_t Version);

  /// Reads the whole text of a version.
  Result<std::string> readTree(const ConfigManifest &Manifest);

private:
  Result<void> writeParts(const std::vector<ConfigPart> &Parts,
                          const ConfigTexts &Texts);

  PlatformClient &Platform;
};

} // namespace canvaswick

#endif // CANVASWICK_CONFIG_CONFIGPUBLISHER_H
