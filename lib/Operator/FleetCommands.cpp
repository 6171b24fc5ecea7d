//===- FleetCommands.cpp - Commands that query the fleet's daemons --------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the queries of daemons. Each asks one daemon for the members of
/// the fleet and then calls every member.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Metrics/BurnReport.h"
#include "canvaswick/Operator/Commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>

namespace canvaswick {

static constexpr Duration CallTimeout = fromSeconds(2);

namespace {

/// A member of the fleet and its answer, if it answered.
struct MemberAnswer {
  std::string Name;
  std::string Control;
  bool IsAnswered = false;
  Json::Value Answer;
};

} // namespace

static Result<std::unique_ptr<PeerCaller>>
makeCaller(const OperatorOptions &Options) {
  BOOST_OUTCOME_TRY(std::vector<CallKey> Keys, loadCallKeys(Options.KeyFile));
  return std::make_unique<PeerCaller>(Keys[0], nullptr);
}

/// Asks the daemon of --daemon for the members that it knows and calls Method
/// at each. Returns the members sorted by name, with the answers of those that
/// answered. Fails if the address or the key file is invalid or if the first
/// daemon doesn't answer.
static Result<std::vector<MemberAnswer>>
callMembers(const OperatorOptions &Options, const std::string &Method,
            const Json::Value &Params) {
  Result<Endpoint> First = parseEndpoint(Options.Daemon);
  if (!First)
    return makeError(ErrorKind::InvalidArgument,
                     "--daemon: " + First.error().Message);
  BOOST_OUTCOME_TRY(std::unique_ptr<PeerCaller> Caller, makeCaller(Options));
  BOOST_OUTCOME_TRY(Json::Value Status,
                    Caller->call(First.value(), "operator.status",
                                 Json::Value(Json::objectValue), CallTimeout));
  std::vector<MemberAnswer> Answers;
  for (const Json::Value &Member : Status["members"]) {
    MemberAnswer Each;
    Each.Name = Member[0].asString();
    Each.Control = Member[2].asString();
    Result<Endpoint> Address = parseEndpoint(Each.Control);
    if (Address) {
      Result<Json::Value> Answer =
          Caller->call(Address.value(), Method, Params, CallTimeout);
      Each.IsAnswered = Answer.has_value();
      if (Answer)
        Each.Answer = Answer.value();
    }
    Answers.push_back(std::move(Each));
  }
  std::sort(Answers.begin(), Answers.end(),
            [](const MemberAnswer &Left, const MemberAnswer &Right) {
              return Left.Name < Right.Name;
            });
  return Answers;
}

/// Formats what an operator should know of a service at one daemon.
static std::string formatService(const Json::Value &Service) {
  const std::string Name = Service["name"].asString();
  std::string Text;
  if (Service["out-of-reach"].asBool())
    Text += fmt::format("  {} out of reach, used through peers\n", Name);
  for (const Json::Value &Server : Service["servers"])
    if (Server["reason"].asString() != "healthy")
      Text += fmt::format("  {}/{} share {:.2f} {}\n", Name,
                          Server["name"].asString(), Server["share"].asDouble(),
                          Server["reason"].asString());
  return Text;
}

Result<std::string> runStatus(const OperatorOptions &Options) {
  BOOST_OUTCOME_TRY(
      std::vector<MemberAnswer> Answers,
      callMembers(Options, "operator.status", Json::Value(Json::objectValue)));
  std::string Text;
  for (const MemberAnswer &Each : Answers) {
    if (!Each.IsAnswered) {
      Text += fmt::format("daemon {} does not answer\n", Each.Name);
      continue;
    }
    Text += fmt::format("daemon {} hall {} version {} members {}\n", Each.Name,
                        Each.Answer["hall"].asString(),
                        Each.Answer["version"].asUInt64(),
                        Each.Answer["members"].size());
    for (const Json::Value &Service : Each.Answer["services"])
      Text += formatService(Service);
  }
  return Text;
}

/// Formats one daemon's explanation of the share of a server.
static std::string formatExplanation(const MemberAnswer &Each) {
  const Json::Value &Explanation = Each.Answer;
  std::string Text = fmt::format("daemon {} hall {}: share {:.2f}, reason {}\n",
                                 Each.Name, Explanation["hall"].asString(),
                                 Explanation["share"].asDouble(),
                                 Explanation["reason"].asString());
  Text += fmt::format("  evidence wanted share {:.2f}; floor {} %\n",
                      Explanation["wanted-share"].asDouble(),
                      Explanation["floor-percent"].asInt());
  Text += fmt::format("  own score {:.1f}; pool score {:.1f} from {} sources\n",
                      Explanation["own-score"].asDouble(),
                      Explanation["pool-score"].asDouble(),
                      Explanation["pool-sources"].asInt());
  Text +=
      fmt::format("  own requests: {} good, {} slow, {} failed\n",
                  Explanation["good"].asUInt(), Explanation["slow"].asUInt(),
                  Explanation["failed"].asUInt());
  if (Explanation["since-s"].asDouble() >= 0)
    Text += fmt::format("  changed {:.1f} s ago\n",
                        Explanation["since-s"].asDouble());
  return Text;
}

Result<std::string> runExplain(const OperatorOptions &Options) {
  const std::string Name =
      Options.Arguments.empty() ? "" : Options.Arguments[0];
  const size_t Slash = Name.find('/');
  if (Slash == std::string::npos)
    return makeError(ErrorKind::InvalidArgument, "expected SERVICE/SERVER");
  Json::Value Params;
  Params["service"] = Name.substr(0, Slash);
  Params["server"] = Name.substr(Slash + 1);
  BOOST_OUTCOME_TRY(std::vector<MemberAnswer> Answers,
                    callMembers(Options, "operator.explain", Params));
  std::string Text;
  for (const MemberAnswer &Each : Answers)
    Text += Each.IsAnswered
                ? formatExplanation(Each)
                : fmt::format("daemon {} does not answer or does not use it\n",
                              Each.Name);
  return Text;
}

static bool parseSample(const Json::Value &Value, BurnSample &Sample) {
  if (!Value.isObject() || Value["totals"].size() != BurnWindows.size())
    return false;
  Sample.Service = Value["service"].asString();
  Sample.Hall = Value["hall"].asString();
  Sample.ObjectivePercent = Value["objective"].asInt64();
  for (Json::ArrayIndex I = 0; I < Value["totals"].size(); ++I)
    Sample.Totals[I] = {Value["totals"][I][0].asUInt64(),
                        Value["totals"][I][1].asUInt64()};
  return true;
}

Result<std::string> runBurn(const OperatorOptions &Options) {
  BOOST_OUTCOME_TRY(
      std::vector<MemberAnswer> Answers,
      callMembers(Options, "operator.burn", Json::Value(Json::objectValue)));
  std::vector<BurnSample> Samples;
  std::vector<std::string> Silent;
  for (const MemberAnswer &Each : Answers) {
    if (!Each.IsAnswered)
      Silent.push_back(Each.Name);
    for (const Json::Value &Value : Each.Answer["samples"]) {
      BurnSample Sample;
      if (parseSample(Value, Sample))
        Samples.push_back(std::move(Sample));
    }
  }
  const BurnReport Report = mergeBurnSamples(Samples, std::move(Silent));
  return Options.IsCsv ? formatBurnCsv(Report) : formatBurnText(Report);
}

static std::string formatPoisonRequest(const Json::Value &Each) {
  std::string Text = fmt::format(
      "  asks {} ends {} last {:.0f} s ago", Each["asks"].asString(),
      Each["ends"].asUInt64(), Each["last-end-s"].asDouble());
  if (Each["held"].asBool())
    Text += fmt::format(", held back, tries {}, next try in {:.0f} s",
                        Each["tries"].asInt(), Each["next-try-s"].asDouble());
  return Text + "\n";
}

Result<std::string> runHeld(const OperatorOptions &Options) {
  BOOST_OUTCOME_TRY(
      std::vector<MemberAnswer> Answers,
      callMembers(Options, "operator.held", Json::Value(Json::objectValue)));
  std::string Text;
  for (const MemberAnswer &Each : Answers) {
    if (!Each.IsAnswered) {
      Text += fmt::format("daemon {} does not answer\n", Each.Name);
      continue;
    }
    Text += fmt::format("daemon {} suspects {} requests\n", Each.Name,
                        Each.Answer["requests"].size());
    for (const Json::Value &Row : Each.Answer["requests"])
      Text += formatPoisonRequest(Row);
  }
  return Text;
}

static std::string formatOrganisation(const Json::Value &Each) {
  return fmt::format(
      "  {} limit {:.1f}/s, asked here {:.1f}/s and in the fleet {:.1f}/s, "
      "tokens {:.0f}, admitted {}, refused {}, daemons not heard {}\n",
      Each["name"].asString(), Each["limit-per-s"].asDouble(),
      Each["asked-per-s"].asDouble(), Each["fleet-asked-per-s"].asDouble(),
      Each["tokens"].asDouble(), Each["admitted"].asInt64(),
      Each["refused"].asUInt64(), Each["silent"].asUInt64());
}

Result<std::string> runOrganisations(const OperatorOptions &Options) {
  BOOST_OUTCOME_TRY(std::vector<MemberAnswer> Answers,
                    callMembers(Options, "operator.organisations",
                                Json::Value(Json::objectValue)));
  std::string Text;
  for (const MemberAnswer &Each : Answers) {
    if (!Each.IsAnswered) {
      Text += fmt::format("daemon {} does not answer\n", Each.Name);
      continue;
    }
    Text += fmt::format("daemon {}\n", Each.Name);
    for (const Json::Value &Row : Each.Answer["organisations"])
      Text += formatOrganisation(Row);
  }
  return Text;
}

const std::vector<OperatorCommand> &getOperatorCommands() {
  static const std::vector<OperatorCommand> Commands = {
      {"check", runCheck, "--file F: check a settings tree"},
      {"effective", runEffective,
       "SERVICE/SERVER (--file F | --platform A): values in force and the "
       "level each came from"},
      {"reference", runReference, "print the settings reference"},
      {"digest-key", runDigestKey,
       "< KEY: print what an organisation's key-digests hold of a key"},
      {"get", runGet, "--platform A [--to N]: print a version's tree"},
      {"history", runHistory, "--platform A: list the changes"},
      {"diff", runDiff,
       "--platform A [--from N] (--to M | --file F): compare two trees"},
      {"landed", runLanded,
       "--platform A --change ID: find out whether a change landed"},
      {"put", runPut,
       "--platform A --file F --base N [--author W] [--note T] [--change ID]: "
       "publish a tree"},
      {"drain", runDrain, "SERVICE/SERVER --platform A: give no new work"},
      {"undrain", runUndrain, "SERVICE/SERVER --platform A: give work again"},
      {"hall", runHall,
       "(empty HALL | return HALL | list) --platform A: give a hall's servers "
       "no work, or work again; show the room without each hall"},
      {"status", runStatus, "--daemon A --key-file K: the fleet's state"},
      {"explain", runExplain,
       "SERVICE/SERVER --daemon A --key-file K: why it has its share"},
      {"burn", runBurn,
       "--daemon A --key-file K [--csv]: the report on service-level burn"},
      {"held", runHeld,
       "--daemon A --key-file K: requests under which servers ended"},
      {"organisations", runOrganisations,
       "--daemon A --key-file K: what the busiest organisations may send"},
      {"request", runRequest,
       "ID LOG...: what the daemons' logs tell of one request"},
      {"losses", runLosses,
       "LOG...: attempts that did not go well, by what was known"},
      {"repeats", runRepeats,
       "LOG...: what repeats were used for, and who went without"},
      {"suspects", runSuspects, "LOG...: requests under which servers ended"},
      {"entries", runEntries,
       "LOG...: entries at the platform that could not be read"},
      {"copies", runCopies,
       "LOG...: how far each daemon's copy of the store is, and in which "
       "epoch"},
  };
  return Commands;
}

} // namespace canvaswick
