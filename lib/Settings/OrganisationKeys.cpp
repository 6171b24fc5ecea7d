//===- OrganisationKeys.cpp - Key digests in the settings tree ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Parses the setting that holds the digests of an organisation, separated by
/// spaces.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/OrganisationKeys.h"
#include "canvaswick/Settings/OrganisationDirectory.h"

#include <fmt/format.h>

#include <sstream>
#include <unordered_map>

namespace canvaswick {

namespace {

/// The space-separated texts of the key-digests setting of an organisation, and
/// the line of the setting.
struct DigestSetting {
  std::vector<std::string> Texts;
  int Line = 0;
};

/// Collects problem descriptions, one per line.
class ProblemList {
public:
  explicit ProblemList(const std::string &FileName) : FileName(FileName) {}

  void add(int Line, const std::string &Organisation, const char *What) {
    this->Text += fmt::format("{}{}:{}: [organisation {}] key-digests: {}",
                              this->Text.empty() ? "" : "\n", this->FileName,
                              Line, Organisation, What);
  }

  const std::string &getText() const { return this->Text; }

private:
  const std::string &FileName;
  std::string Text;
};

} // namespace

static DigestSetting readDigestSetting(const SettingNode &Organisation) {
  DigestSetting Setting;
  const SettingOverride *Given =
      Organisation.find(SettingKey::OrganisationKeys);
  if (!Given)
    return Setting;
  Setting.Line = Given->Line;
  std::istringstream Stream(std::get<std::string>(Given->Value));
  std::string DigestText;
  while (Stream >> DigestText)
    Setting.Texts.push_back(DigestText);
  return Setting;
}

std::vector<KeyDigest> listKeyDigests(const SettingNode &Organisation) {
  std::vector<KeyDigest> Digests;
  for (const std::string &DigestText : readDigestSetting(Organisation).Texts)
    if (const std::optional<KeyDigest> Digest = KeyDigest::parse(DigestText))
      Digests.push_back(*Digest);
  return Digests;
}

std::string checkOrganisationKeys(const SettingsTree &Tree,
                                  const std::string &FileName) {
  ProblemList Problems(FileName);
  std::unordered_map<KeyDigest, std::string, KeyDigestHash> OwnersByDigest;
  for (const auto &[Name, Node] : Tree.getNodes(SettingLevel::Organisation)) {
    const DigestSetting Setting = readDigestSetting(Node);
    if (!Setting.Texts.empty() && Name == DefaultOrganisation)
      Problems.add(Setting.Line, Name, "no caller can be told to be of it");
    for (const std::string &DigestText : Setting.Texts) {
      const std::optional<KeyDigest> Digest = KeyDigest::parse(DigestText);
      if (!Digest) {
        Problems.add(Setting.Line, Name,
                     "expected digests of 32 hexadecimal digits, as "
                     "'canvaswickctl digest-key' prints them");
        continue;
      }
      const auto [Owner, IsNew] = OwnersByDigest.emplace(*Digest, Name);
      if (!IsNew)
        Problems.add(Setting.Line, Name,
                     Owner->second == Name
                         ? "a key stands twice"
                         : "a key belongs to another organisation too");
    }
  }
  return Problems.getText();
}

} // namespace canvaswick
