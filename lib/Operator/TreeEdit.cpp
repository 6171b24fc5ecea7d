//===- TreeEdit.cpp - Edits of the published settings ---------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements edits on top of ConfigPublisher.
///
//===----------------------------------------------------------------------===//

#include "TreeEdit.h"

#include <fmt/format.h>

#include <random>

namespace canvaswick {

/// The maximum number of attempts to apply an edit to the newest tree while
/// others publish.
static constexpr int MaxEditAttempts = 5;

Result<Endpoint> parsePlatform(const OperatorOptions &Options) {
  Result<Endpoint> Address = parseEndpoint(Options.Platform);
  if (!Address)
    return makeError(ErrorKind::InvalidArgument,
                     "--platform: " + Address.error().Message);
  return Address;
}

static std::string makeChangeId() {
  std::random_device Random;
  return fmt::format("{:08x}{:08x}", Random(), Random());
}

ConfigRequest makeRequest(const OperatorOptions &Options) {
  ConfigRequest Request;
  Request.Author = Options.Author;
  Request.Note = Options.Note;
  Request.ChangeId =
      Options.ChangeId.empty() ? makeChangeId() : Options.ChangeId;
  return Request;
}

Error addRecoveryHint(Error Failure, const ConfigRequest &Request) {
  if (Failure.Kind == ErrorKind::OutcomeUnknown)
    Failure.Message += fmt::format(
        "; the change may have landed: ask 'canvaswickctl landed --change {}'",
        Request.ChangeId);
  return Failure;
}

Result<uint64_t> publishEdit(const OperatorOptions &Options,
                             const std::string &Note, const TreeEdit &Edit) {
  BOOST_OUTCOME_TRY(Endpoint Address, parsePlatform(Options));
  PlatformClient Platform(Address, nullptr);
  ConfigPublisher Publisher(Platform);
  ConfigRequest Request = makeRequest(Options);
  Request.FileName = "platform";
  Request.Note = Note;
  for (int Attempt = 0; Attempt < MaxEditAttempts; ++Attempt) {
    BOOST_OUTCOME_TRY(ConfigManifest Manifest, Publisher.readManifest());
    BOOST_OUTCOME_TRY(std::string Text, Publisher.readTree(Manifest));
    BOOST_OUTCOME_TRY(Request.Text, Edit(Text));
    Request.BaseVersion = Manifest.Version;
    Result<uint64_t> Version = Publisher.publish(Request, readCalendarMillis());
    if (Version)
      return Version;
    if (Version.error().Kind != ErrorKind::Conflict)
      return outcome::failure(addRecoveryHint(Version.error(), Request));
  }
  return makeError(ErrorKind::Conflict, "others keep changing the settings");
}

} // namespace canvaswick
