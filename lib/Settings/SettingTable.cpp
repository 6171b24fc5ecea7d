//===- SettingTable.cpp - Table of all settings ---------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines the table and the parsing, validation and formatting that use it.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Settings/SettingTable.h"
#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Support/EnumNames.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cmath>
#include <limits>
#include <sstream>
#include <vector>

namespace canvaswick {

static constexpr EnumNames<SettingLevel, 7> SettingLevelNames = {{
    {SettingLevel::Default, "default"},
    {SettingLevel::Region, "region"},
    {SettingLevel::Service, "service"},
    {SettingLevel::Server, "server"},
    {SettingLevel::Route, "route"},
    {SettingLevel::Organisation, "organisation"},
    {SettingLevel::Daemon, "daemon"},
}};

const char *getName(SettingLevel Level) {
  return getEnumName(SettingLevelNames, Level);
}

/// The levels at which settings of the different kinds may be set.
static constexpr SettingLevels RegionOnly = levelBit(SettingLevel::Region);
static constexpr SettingLevels Service =
    levelBit(SettingLevel::Region) | levelBit(SettingLevel::Service);
static constexpr SettingLevels Inherited =
    Service | levelBit(SettingLevel::Server);
static constexpr SettingLevels ServiceOnly = levelBit(SettingLevel::Service);
static constexpr SettingLevels ServerOnly = levelBit(SettingLevel::Server);
static constexpr SettingLevels RouteOnly = levelBit(SettingLevel::Route);
static constexpr SettingLevels OrganisationOnly =
    levelBit(SettingLevel::Organisation);
static constexpr SettingLevels DaemonOnly = levelBit(SettingLevel::Daemon);

static constexpr int64_t HourMs = 3600 * 1000;
static constexpr int64_t TebiByte = int64_t(1) << 40;

// clang-format off
static constexpr SettingSpec Table[] = {
    {SettingKey::FloorPercent, "floor-percent", Service, SettingType::Integer, 0, 100, "50", "%", nullptr,
     "Share of a service's slots that ejecting must leave in use."},
    {SettingKey::EjectionPreference, "weighing", Service, SettingType::Choice, 0, 2, "balanced", "", "detection|balanced|false-ejections",
     "Which error to avoid first: a sick backend server kept, or a healthy one removed."},
    {SettingKey::Slots, "slots", Inherited, SettingType::Integer, 1, 10000, "3", "requests", nullptr,
     "Requests that one backend server works on at once."},
    {SettingKey::Connections, "connections", Inherited, SettingType::Integer, 1, 100000, "200", "connections", nullptr,
     "Connections that one backend server accepts from the whole fleet."},
    {SettingKey::DeadlineMs, "deadline-ms", Service, SettingType::Integer, 1, HourMs, "10000", "ms", nullptr,
     "Time within which a request must be answered when its caller states none."},
    {SettingKey::StallMs, "stall-ms", Service, SettingType::Integer, 1, HourMs, "5000", "ms", nullptr,
     "Time without a byte of an answer after which another backend server is asked for it, or for the rest, if that is "
     "possible and a repeat is left."},
    {SettingKey::SlowAfterMs, "slow-after-ms", Service, SettingType::Integer, 0, HourMs, "0", "ms", nullptr,
     "An answer later than this counts as slow. 0: three times the service's usual time."},
    {SettingKey::ColdStartMs, "cold-start-ms", Service, SettingType::Integer, 0, HourMs, "10000", "ms", nullptr,
     "Time over which a new backend server is given its full share."},
    {SettingKey::MaxInFlight, "max-in-flight", Service, SettingType::Integer, 1, 100000, "256", "requests", nullptr,
     "Requests of a service that one daemon holds at once; more are refused."},
    {SettingKey::RetryPercent, "retry-percent", Service, SettingType::Integer, 0, 100, "10", "%", nullptr,
     "Repeats that one daemon may add to a service's requests."},
    {SettingKey::ObjectivePercent, "objective-percent", Service, SettingType::Integer, 1, 100, "99", "%", nullptr,
     "Share of requests that must be answered well, for the burn report."},
    {SettingKey::ObjectiveMs, "objective-ms", Service, SettingType::Integer, 1, HourMs, "1000", "ms", nullptr,
     "An answer later than this is not a good one, for the burn report."},
    {SettingKey::ProbePath, "probe-path", Inherited, SettingType::Text, 0, 1024, "/health", "", nullptr,
     "Path that a probe asks a backend server for."},
    {SettingKey::MaxBodyBytes, "max-body-bytes", Service, SettingType::Integer, 0, TebiByte, "1073741824", "bytes", nullptr,
     "Longest request body that is taken."},
    {SettingKey::DrainedHalls, "drained-halls", RegionOnly, SettingType::Text, 0, 1024, "", "", nullptr,
     "Halls of the region whose backend servers receive no requests, separated by spaces."},
    {SettingKey::RegionOfService, "region", ServiceOnly, SettingType::Text, 1, 64, "", "", nullptr,
     "Region the service belongs to and inherits from."},
    {SettingKey::Hall, "hall", ServerOnly, SettingType::Text, 1, 64, "", "", nullptr,
     "Hall the backend server stands in."},
    {SettingKey::State, "state", ServerOnly, SettingType::Choice, 0, 1, "active", "", "active|draining",
     "A draining backend server receives no new work."},
    {SettingKey::ServerAddress, "address", ServerOnly, SettingType::Address, 0, 0, "", "", nullptr,
     "IP number and port of the backend server."},
    {SettingKey::RouteHost, "host", RouteOnly, SettingType::Text, 0, 255, "", "", nullptr,
     "Host header the route takes. Empty: any host."},
    {SettingKey::RoutePrefix, "prefix", RouteOnly, SettingType::Text, 1, 1024, "/", "", nullptr,
     "Path prefix the route takes; the longest one wins."},
    {SettingKey::RouteService, "service", RouteOnly, SettingType::Text, 1, 64, "", "", nullptr,
     "Service that answers the route."},
    {SettingKey::RouteClass, "class", RouteOnly, SettingType::Choice, 0, 2, "repeatable", "", "repeatable|once|download",
     "Whether a request may be run more than once; downloads may, and have large answers."},
    {SettingKey::RoutePublic, "public", RouteOnly, SettingType::Choice, 0, 1, "no", "", "no|yes",
     "Whether callers need no key, where organisations have keys."},
    {SettingKey::OrganisationRate, "requests-per-second", OrganisationOnly, SettingType::Integer, 1, 1000000, "40000", "requests/s", nullptr,
     "Requests a second that all daemons together take of the organisation."},
    {SettingKey::OrganisationBurst, "burst", OrganisationOnly, SettingType::Integer, 1, 1000000, "80000", "requests", nullptr,
     "Requests that they take of the organisation at once, when it has sent less before."},
    {SettingKey::OrganisationKeys, "key-digests", OrganisationOnly, SettingType::Text, 0, 150, "", "", nullptr,
     "What `canvaswickctl digest-key` makes of the organisation's keys, separated by spaces. Where any organisation has one, callers show a key."},
    {SettingKey::DaemonName, "name", DaemonOnly, SettingType::Text, 1, 64, "", "", nullptr,
     "Name of this daemon, unique in the fleet."},
    {SettingKey::DaemonRegion, "region", DaemonOnly, SettingType::Text, 1, 64, "", "", nullptr,
     "Region this daemon stands in."},
    {SettingKey::DaemonHall, "hall", DaemonOnly, SettingType::Text, 1, 64, "", "", nullptr,
     "Hall this daemon stands in."},
    {SettingKey::CallerAddress, "caller-address", DaemonOnly, SettingType::Address, 0, 0, "", "", nullptr,
     "IP number and port that callers reach."},
    {SettingKey::ControlAddress, "control-address", DaemonOnly, SettingType::Address, 0, 0, "", "", nullptr,
     "IP number and port for peers, operators and the balancer's checks."},
    {SettingKey::PlatformAddress, "platform-address", DaemonOnly, SettingType::Address, 0, 0, "", "", nullptr,
     "IP number and port of the platform's key-value service."},
    {SettingKey::KeyFile, "key-file", DaemonOnly, SettingType::Text, 1, 4096, "", "", nullptr,
     "File with the keys that sign calls between daemons; mode 0600."},
    {SettingKey::Workers, "workers", DaemonOnly, SettingType::Integer, 1, 4096, "64", "threads", nullptr,
     "Requests that the daemon works on at once."},
    {SettingKey::KeptWorkers, "kept-workers", DaemonOnly, SettingType::Integer, 0, 4096, "1", "threads", nullptr,
     "Threads for requests that stay when there is nothing to do; at most workers."},
    {SettingKey::WorkerIdleSeconds, "worker-idle-s", DaemonOnly, SettingType::Decimal, 100, 600000, "5", "s", nullptr,
     "Time after which a thread beyond these ends if it has had nothing to do."},
    {SettingKey::MaxConnections, "max-connections", DaemonOnly, SettingType::Integer, 1, 1000000, "4096", "connections", nullptr,
     "Callers' connections that the daemon keeps; more are refused."},
    {SettingKey::IdleSeconds, "idle-s", DaemonOnly, SettingType::Integer, 1, 86400, "75", "s", nullptr,
     "Time after which an idle caller's connection is closed."},
    {SettingKey::StopSeconds, "stop-s", DaemonOnly, SettingType::Integer, 0, 86400, "60", "s", nullptr,
     "Longest time a planned stop waits for requests in flight."},
    {SettingKey::SettingsFile, "settings-file", DaemonOnly, SettingType::Text, 0, 4096, "", "", nullptr,
     "Settings tree to start from while the platform holds none."},
    {SettingKey::ExpectedDaemons, "expected-daemons", DaemonOnly, SettingType::Integer, 1, 100000, "40", "daemons", nullptr,
     "Daemons to share a backend server's connections with, at least."},
    {SettingKey::Seeds, "seeds", DaemonOnly, SettingType::Text, 0, 150, "", "", nullptr,
     "Control addresses of some daemons, separated by spaces, to begin with."},
    {SettingKey::ClaimMemorySeconds, "claim-memory-s", DaemonOnly, SettingType::Integer, 60, 604800, "21600", "s", nullptr,
     "How long an Idempotency-Key is remembered."},
    {SettingKey::Source, "source", DaemonOnly, SettingType::Choice, 0, 1, "own", "", "own|platform",
     "Where settings and servers come from: the fleet's own tree, or the users' platform."},
    {SettingKey::ReadyAddress, "ready-address", DaemonOnly, SettingType::Address, 0, 0, "", "", nullptr,
     "IP number and port for the balancer's checks and metrics, with source = platform."},
    {SettingKey::MetricsAddress, "metrics-address", DaemonOnly, SettingType::Address, 0, 0, "", "", nullptr,
     "IP number and port for counters and histograms alone, with source = platform."},
    {SettingKey::PeerPort, "peer-port", DaemonOnly, SettingType::Integer, 0, 65535, "0", "port", nullptr,
     "UDP port for evidence between daemons, the same on all. 0: none is shared."},
    {SettingKey::GraceSeconds, "grace-s", DaemonOnly, SettingType::Decimal, 500, HourMs, "6", "s", nullptr,
     "Time from the stop signal until the platform kills the process."},
    {SettingKey::FloorShare, "floor-share", DaemonOnly, SettingType::Decimal, 0, 1000, "0.7", "part of 1", nullptr,
     "Part of a service's backend servers that stay in use whatever they show."},
    {SettingKey::RepeatShare, "repeat-share", DaemonOnly, SettingType::Decimal, 0, 1000, "0.2", "part of 1", nullptr,
     "Repeats that the fleet may add to a service's requests within the window."},
    {SettingKey::RepeatWindowSeconds, "repeat-window-s", DaemonOnly, SettingType::Decimal, 1, HourMs, "10", "s", nullptr,
     "Sliding window of the fleet's repeats."},
    {SettingKey::RepeatReserve, "repeat-reserve", DaemonOnly, SettingType::Integer, 0, 1000000, "0", "requests", nullptr,
     "Repeats that the fleet may make in a window whatever the rate."},
    {SettingKey::AllowanceWindowSeconds, "allowance-window-s", DaemonOnly, SettingType::Decimal, 100, HourMs, "5", "s", nullptr,
     "Sliding window over which the fleet's excess above an organisation's rate is judged."},
    {SettingKey::AllowanceExcess, "allowance-excess", DaemonOnly, SettingType::Decimal, 0, 10000, "0", "part of 1", nullptr,
     "Part of an organisation's rate and burst that the fleet may admit above them within the window."},
    {SettingKey::AllowanceSlack, "allowance-slack", DaemonOnly, SettingType::Integer, 0, 1000000, "0", "requests", nullptr,
     "Requests of an organisation that the fleet may admit above that within the window."},
    {SettingKey::LeaseSeconds, "lease-s", DaemonOnly, SettingType::Decimal, 1, HourMs, "60", "s", nullptr,
     "Lease of this daemon's entry among the daemons at the platform."},
    {SettingKey::AloneWaitSeconds, "alone-wait-s", DaemonOnly, SettingType::Decimal, 0, 60000, "0.5", "s", nullptr,
     "The longest time that a daemon which has just started and knows no other of its hall waits for these to register, before it watches the store itself. Most wait nearly as long, a few are early, seeds do not wait."},
    {SettingKey::DrainSeconds, "drain-s", DaemonOnly, SettingType::Decimal, 1, HourMs, "2", "s", nullptr,
     "Time within which a backend server that leaves receives no new work."},
};
// clang-format on

std::span<const SettingSpec> getSettingTable() { return Table; }

const SettingSpec &getSettingSpec(SettingKey Key) {
  const SettingSpec &Spec = Table[static_cast<size_t>(Key)];
  assert(Spec.Key == Key && "table order differs from the enumeration");
  return Spec;
}

const SettingSpec *findSettingSpec(const std::string &Name,
                                   SettingLevel Level) {
  for (const SettingSpec &Spec : Table)
    if ((Spec.Levels & levelBit(Level)) != 0 && Name == Spec.Name)
      return &Spec;
  return nullptr;
}

/// Returns the Levenshtein distance of two texts.
static size_t computeEditDistance(const std::string &Left,
                                  const std::string &Right) {
  std::vector<size_t> Row(Right.size() + 1);
  for (size_t J = 0; J < Row.size(); ++J)
    Row[J] = J;
  for (size_t I = 1; I <= Left.size(); ++I) {
    size_t Diagonal = Row[0];
    Row[0] = I;
    for (size_t J = 1; J <= Right.size(); ++J) {
      const size_t Above = Row[J];
      const size_t Change = Diagonal + (Left[I - 1] == Right[J - 1] ? 0 : 1);
      Row[J] = std::min({Change, Above + 1, Row[J - 1] + 1});
      Diagonal = Above;
    }
  }
  return Row.back();
}

std::string suggestSettingName(const std::string &Name, SettingLevel Level) {
  std::string Best;
  size_t BestDistance = std::numeric_limits<size_t>::max();
  for (const SettingSpec &Spec : Table) {
    if ((Spec.Levels & levelBit(Level)) == 0)
      continue;
    const size_t Distance = computeEditDistance(Name, Spec.Name);
    if (Distance >= BestDistance)
      continue;
    BestDistance = Distance;
    Best = Spec.Name;
  }
  return Best;
}

/// Returns the names of the choices of a setting in order.
static std::vector<std::string> splitChoices(const SettingSpec &Spec) {
  std::vector<std::string> Names;
  std::istringstream Stream(Spec.Choices);
  std::string Name;
  while (std::getline(Stream, Name, '|'))
    Names.push_back(Name);
  return Names;
}

static Result<SettingValue> parseInteger(const SettingSpec &Spec,
                                         const std::string &Text) {
  int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Code] = std::from_chars(Text.data(), End, Value);
  if (Code == std::errc() && Rest == End && Value >= Spec.Min &&
      Value <= Spec.Max)
    return SettingValue(Value);
  return makeError(ErrorKind::InvalidArgument,
                   fmt::format("expected a whole number from {} to {}{}{}",
                               Spec.Min, Spec.Max, *Spec.Unit ? " " : "",
                               Spec.Unit));
}

/// Parses a decimal such as "0.25" and rounds it to three decimal places.
static Result<SettingValue> parseDecimal(const SettingSpec &Spec,
                                         const std::string &Text) {
  double Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Code] = std::from_chars(Text.data(), End, Value);
  const double Parts = Value * static_cast<double>(DecimalParts);
  if (Code == std::errc() && Rest == End &&
      Parts >= static_cast<double>(Spec.Min) &&
      Parts <= static_cast<double>(Spec.Max))
    return SettingValue(static_cast<int64_t>(std::llround(Parts)));
  return makeError(ErrorKind::InvalidArgument,
                   fmt::format("expected a number from {} to {} {}",
                               toDecimal(Spec.Min), toDecimal(Spec.Max),
                               Spec.Unit));
}

static Result<SettingValue> parseChoice(const SettingSpec &Spec,
                                        const std::string &Text) {
  const std::vector<std::string> Names = splitChoices(Spec);
  const auto Found = std::find(Names.begin(), Names.end(), Text);
  if (Found != Names.end())
    return SettingValue(static_cast<int64_t>(Found - Names.begin()));
  return makeError(ErrorKind::InvalidArgument,
                   fmt::format("expected one of {}", Spec.Choices));
}

static Result<SettingValue> parseText(const SettingSpec &Spec,
                                      const std::string &Text) {
  const auto Length = static_cast<int64_t>(Text.size());
  if (Length >= Spec.Min && Length <= Spec.Max)
    return SettingValue(Text);
  return makeError(
      ErrorKind::InvalidArgument,
      fmt::format("expected a text of {} to {} bytes", Spec.Min, Spec.Max));
}

Result<SettingValue> parseSettingValue(const SettingSpec &Spec,
                                       const std::string &Text) {
  switch (Spec.Type) {
  case SettingType::Integer:
    return parseInteger(Spec, Text);
  case SettingType::Choice:
    return parseChoice(Spec, Text);
  case SettingType::Text:
    return parseText(Spec, Text);
  case SettingType::Address: {
    BOOST_OUTCOME_TRY(Endpoint Address, parseEndpoint(Text));
    return SettingValue(Address.format());
  }
  case SettingType::Decimal:
    return parseDecimal(Spec, Text);
  }
  assert(false && "setting type without a parser");
  return makeError(ErrorKind::InvalidArgument, "unknown type");
}

std::string formatSettingValue(const SettingSpec &Spec,
                               const SettingValue &Value) {
  if (const std::string *Text = std::get_if<std::string>(&Value))
    return *Text;
  const int64_t Number = std::get<int64_t>(Value);
  if (Spec.Type == SettingType::Choice)
    return splitChoices(Spec)[static_cast<size_t>(Number)];
  if (Spec.Type == SettingType::Decimal)
    return fmt::format("{}", toDecimal(Number));
  return fmt::format("{}", Number);
}

static std::string formatLevels(SettingLevels Levels) {
  std::string Names;
  for (const EnumName<SettingLevel> &Row : SettingLevelNames) {
    if ((Levels & levelBit(Row.Value)) == 0)
      continue;
    if (!Names.empty())
      Names += ", ";
    Names += Row.Name;
  }
  return Names;
}

/// Returns the accepted values of a setting as the reference states them.
static std::string formatExpected(const SettingSpec &Spec) {
  switch (Spec.Type) {
  case SettingType::Integer:
    return fmt::format("{} to {} {}", Spec.Min, Spec.Max, Spec.Unit);
  case SettingType::Choice: {
    std::string Names = Spec.Choices;
    std::replace(Names.begin(), Names.end(), '|', ',');
    return Names;
  }
  case SettingType::Text:
    return fmt::format("text, {} to {} bytes", Spec.Min, Spec.Max);
  case SettingType::Address:
    return "IP number:port";
  case SettingType::Decimal:
    return fmt::format("{} to {} {}", toDecimal(Spec.Min), toDecimal(Spec.Max),
                       Spec.Unit);
  }
  assert(false && "setting type without a description");
  return "";
}

std::string formatSettingsReference() {
  std::string Text = "# Settings reference\n\n"
                     "Made by `canvaswickctl reference`; a test compares this "
                     "page with the code's table.\n\n"
                     "| key | levels | takes | default | meaning |\n"
                     "| --- | --- | --- | --- | --- |\n";
  for (const SettingSpec &Spec : Table)
    Text += fmt::format("| `{}` | {} | {} | {} | {} |\n", Spec.Name,
                        formatLevels(Spec.Levels), formatExpected(Spec),
                        *Spec.Default ? Spec.Default : "none", Spec.Meaning);
  return Text;
}

} // namespace canvaswick
