//===- Scenario.cpp - Scenario of the policy benchmark --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Each kind of section has a table of its keys with their parsers. Unknown
/// keys and values out of range are errors, as in the settings.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Bench/Scenario.h"
#include "canvaswick/Support/EnumNames.h"

#include <fmt/format.h>

#include <cstdlib>
#include <functional>
#include <map>
#include <sstream>

namespace canvaswick {

static constexpr EnumNames<FaultKind, 9> FaultKindNames = {{
    {FaultKind::Fail, "fail"},
    {FaultKind::Hang, "hang"},
    {FaultKind::Slow, "slow"},
    {FaultKind::Refuse, "refuse"},
    {FaultKind::Flap, "flap"},
    {FaultKind::Shed, "shed"},
    {FaultKind::Cold, "cold"},
    {FaultKind::Drain, "drain"},
    {FaultKind::UnhealthyDaemon, "sick-daemon"},
}};

static constexpr EnumNames<EjectionPreference, 3> WeighingNames = {{
    {EjectionPreference::Detection, "detection"},
    {EjectionPreference::Balanced, "balanced"},
    {EjectionPreference::FalseEjections, "false-ejections"},
}};

const char *getName(FaultKind Kind) {
  return getEnumName(FaultKindNames, Kind);
}

namespace {

/// Parses and stores a value. Returns false if it is not valid for the key.
using ValueParser = std::function<bool(const std::string &)>;
using ValueParsers = std::map<std::string, ValueParser>;

} // namespace

static bool parseNumber(const std::string &Text, double Min, double Max,
                        double &Value) {
  char *End = nullptr;
  Value = std::strtod(Text.c_str(), &End);
  return !Text.empty() && *End == '\0' && Value >= Min && Value <= Max;
}

static ValueParser makeNumberParser(double Min, double Max,
                                    std::function<void(double)> Set) {
  return [=](const std::string &Text) {
    double Value = 0;
    if (!parseNumber(Text, Min, Max, Value))
      return false;
    Set(Value);
    return true;
  };
}

static std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Items;
  std::istringstream Stream(Text);
  std::string Item;
  while (Stream >> Item)
    Items.push_back(Item);
  return Items;
}

static ValueParsers makeScenarioParsers(Scenario &Into) {
  ValueParsers Takers;
  Takers["name"] = [&Into](const std::string &Text) {
    Into.Name = Text;
    return !Text.empty();
  };
  Takers["servers"] = makeNumberParser(1, 1000, [&Into](double Value) {
    Into.Servers = static_cast<int>(Value);
  });
  Takers["slots"] = makeNumberParser(
      1, 100, [&Into](double Value) { Into.Slots = static_cast<int>(Value); });
  Takers["halls"] = [&Into](const std::string &Text) {
    Into.Halls = splitList(Text);
    return !Into.Halls.empty();
  };
  Takers["daemons"] = makeNumberParser(1, 2000, [&Into](double Value) {
    Into.Daemons = static_cast<int>(Value);
  });
  Takers["requests-per-second"] = makeNumberParser(
      0.1, 1e6, [&Into](double Value) { Into.RequestsPerSecond = Value; });
  Takers["service-ms"] = makeNumberParser(0.1, 60000, [&Into](double Value) {
    Into.ServiceTime = fromSeconds(Value / 1000);
  });
  Takers["spread"] =
      makeNumberParser(0, 3, [&Into](double Value) { Into.Spread = Value; });
  Takers["deadline-ms"] = makeNumberParser(1, 600000, [&Into](double Value) {
    Into.Deadline = fromSeconds(Value / 1000);
  });
  Takers["background-failures-percent"] = makeNumberParser(
      0, 100, [&Into](double Value) { Into.BackgroundFailures = Value / 100; });
  Takers["repeatable"] = [&Into](const std::string &Text) {
    Into.IsRepeatable = Text == "yes";
    return Text == "yes" || Text == "no";
  };
  Takers["floor-percent"] = makeNumberParser(0, 100, [&Into](double Value) {
    Into.FloorPercent = static_cast<int>(Value);
  });
  Takers["weighing"] = [&Into](const std::string &Text) {
    const auto Found = findEnumValue(WeighingNames, Text);
    Into.Preference = Found.value_or(EjectionPreference::Balanced);
    return Found.has_value();
  };
  Takers["exchange-delay-ms"] =
      makeNumberParser(0, 60000, [&Into](double Value) {
        Into.ExchangeDelay = fromSeconds(Value / 1000);
      });
  Takers["exchange-loss-percent"] = makeNumberParser(
      0, 100, [&Into](double Value) { Into.ExchangeLoss = Value / 100; });
  Takers["seconds"] = makeNumberParser(
      1, 86400, [&Into](double Value) { Into.Length = fromSeconds(Value); });
  return Takers;
}

static ValueParsers makeFaultParsers(Fault &Into) {
  ValueParsers Takers;
  Takers["kind"] = [&Into](const std::string &Text) {
    const auto Found = findEnumValue(FaultKindNames, Text);
    Into.Kind = Found.value_or(FaultKind::Fail);
    return Found.has_value();
  };
  Takers["servers"] = [&Into](const std::string &Text) {
    Into.Servers = Text;
    return !Text.empty();
  };
  Takers["daemons"] = [&Into](const std::string &Text) {
    Into.Daemons = Text;
    return !Text.empty();
  };
  Takers["start"] = makeNumberParser(
      0, 86400, [&Into](double Value) { Into.Start = fromSeconds(Value); });
  Takers["end"] = makeNumberParser(
      0, 86400, [&Into](double Value) { Into.End = fromSeconds(Value); });
  Takers["share-percent"] = makeNumberParser(
      0, 100, [&Into](double Value) { Into.Part = Value / 100; });
  Takers["factor"] = makeNumberParser(
      1, 10000, [&Into](double Value) { Into.Factor = Value; });
  Takers["period-s"] = makeNumberParser(
      0.1, 3600, [&Into](double Value) { Into.Period = fromSeconds(Value); });
  return Takers;
}

static Result<void> parseSection(const IniSection &Section,
                                 const ValueParsers &Takers,
                                 const std::string &Path) {
  for (const IniEntry &Entry : Section.Entries) {
    const auto Found = Takers.find(Entry.Key);
    if (Found != Takers.end() && Found->second(Entry.Value))
      continue;
    const char *What =
        Found == Takers.end() ? "unknown key" : "not a value for this key";
    return makeError(ErrorKind::InvalidArgument,
                     fmt::format("{}:{}: [{}] {} = {}: {}", Path, Entry.Line,
                                 Section.Name, Entry.Key, Entry.Value, What));
  }
  return outcome::success();
}

Result<Scenario> loadScenario(const std::string &Path) {
  BOOST_OUTCOME_TRY(IniDocument Document, loadIni(Path));
  Scenario Loaded;
  for (const IniSection &Section : Document.Sections) {
    if (Section.Name == "scenario") {
      BOOST_OUTCOME_TRY(
          parseSection(Section, makeScenarioParsers(Loaded), Path));
      continue;
    }
    if (Section.Name.compare(0, 6, "fault ") != 0)
      return makeError(ErrorKind::InvalidArgument,
                       fmt::format("{}:{}: [{}]: expected [scenario] or "
                                   "[fault NAME]",
                                   Path, Section.Line, Section.Name));
    Fault Each;
    Each.Name = Section.Name.substr(6);
    BOOST_OUTCOME_TRY(parseSection(Section, makeFaultParsers(Each), Path));
    if (Each.End <= Each.Start)
      return makeError(ErrorKind::InvalidArgument,
                       fmt::format("{}:{}: [{}]: end must be after start", Path,
                                   Section.Line, Section.Name));
    Loaded.Faults.push_back(std::move(Each));
  }
  if (Loaded.Name.empty())
    return makeError(ErrorKind::InvalidArgument,
                     Path + ":1: [scenario] needs a name");
  return Loaded;
}

} // namespace canvaswick
