//===- PolicySwitches.cpp - Switches for optional mechanisms --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines the names of the mechanisms and parses section [policy].
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/PolicySwitches.h"
#include "canvaswick/Support/EnumNames.h"

#include <fmt/format.h>

#include <charconv>
#include <string_view>

namespace canvaswick {

static constexpr EnumNames<Mechanism, MechanismCount> MechanismNames = {{
    {Mechanism::PooledObservations, "pooled-observations"},
    {Mechanism::HallEstimates, "hall-estimates"},
    {Mechanism::SharedInFlight, "shared-in-flight"},
    {Mechanism::LoadFactor, "load-factor"},
    {Mechanism::ElapsedEvidence, "elapsed-evidence"},
    {Mechanism::LearnedTimes, "learned-times"},
    {Mechanism::LearnedRates, "learned-rates"},
    {Mechanism::WeighedRetries, "weighed-repeats"},
    {Mechanism::RetryLoans, "repeat-loans"},
    {Mechanism::Floor, "floor"},
    {Mechanism::Tests, "tests"},
    {Mechanism::SameHallFirst, "near-first"},
    {Mechanism::FreshConnections, "fresh-connections"},
    {Mechanism::StartupEstimates, "newcomer-estimates"},
    {Mechanism::Placing, "placing"},
    {Mechanism::RecentConnections, "recent-connections"},
    {Mechanism::LearnedConnectTimes, "learned-connect-times"},
    {Mechanism::WaitingRoom, "waiting-room"},
    {Mechanism::EvidenceAtArrival, "evidence-at-arrival"},
    {Mechanism::LearnedOutcomes, "learned-outcomes"},
    {Mechanism::UrgentFailures, "failures-first"},
    {Mechanism::GoneServers, "gone-servers"},
}};

const char *getName(Mechanism Which) {
  return getEnumName(MechanismNames, Which);
}

/// The key of the number of servers from which a service has many.
static constexpr std::string_view ManyServersKey = "many-servers";

/// Reads a positive number. Returns false if Text is none.
static bool readCount(const std::string &Text, size_t &Count) {
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data(), End, Count);
  return Read.ec == std::errc() && Read.ptr == End && Count > 0;
}

Result<PolicySwitches> readPolicySwitches(const IniSection &Section,
                                          const std::string &FileName) {
  PolicySwitches Switches;
  for (const IniEntry &Entry : Section.Entries) {
    if (Entry.Key == ManyServersKey) {
      size_t Count = 0;
      if (!readCount(Entry.Value, Count))
        return makeError(ErrorKind::InvalidArgument,
                         fmt::format("{}:{}: [policy] {} = {}: expected a "
                                     "number above 0",
                                     FileName, Entry.Line, Entry.Key,
                                     Entry.Value));
      Switches.setManyServers(Count);
      continue;
    }
    const auto Which = findEnumValue(MechanismNames, Entry.Key);
    if (!Which)
      return makeError(ErrorKind::InvalidArgument,
                       fmt::format("{}:{}: [policy]: {} is no mechanism",
                                   FileName, Entry.Line, Entry.Key));
    if (Entry.Value != "on" && Entry.Value != "off")
      return makeError(
          ErrorKind::InvalidArgument,
          fmt::format("{}:{}: [policy] {} = {}: expected on or off", FileName,
                      Entry.Line, Entry.Key, Entry.Value));
    Switches.set(*Which, Entry.Value == "on");
  }
  return Switches;
}

} // namespace canvaswick
