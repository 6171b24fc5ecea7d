//===- PeerMessage.cpp - What daemons tell each other ---------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// JSON of short fields. Lists hold short arrays: the name of a server or
/// service in hexadecimal digits, then numbers.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/PeerMessage.h"
#include "HexNumber.h"
#include "canvaswick/Daemon/AllowanceWire.h"
#include "canvaswick/Json/JsonText.h"

#include <fmt/format.h>

#include <cmath>

namespace canvaswick {

/// A probability in thousandths is no more than one.
static constexpr int MostPerMille = 1000;

/// A day: a daemon that has not heard from the store for longer is refused like
/// any other message of a wrong shape.
static constexpr uint64_t MostHeardMillis = 24 * 3600 * 1000;

static Json::Value encodeLoans(const std::vector<RepeatLoan> &Loans) {
  Json::Value Rows(Json::arrayValue);
  for (const RepeatLoan &Each : Loans) {
    Json::Value Row(Json::arrayValue);
    Row.append(fmt::format("{:x}", Each.Service));
    Row.append(static_cast<Json::UInt64>(Each.Number));
    Rows.append(Row);
  }
  return Rows;
}

static Json::Value encodeInFlight(const std::vector<InFlightReport> &Requests) {
  Json::Value Rows(Json::arrayValue);
  for (const InFlightReport &Each : Requests) {
    Json::Value Row(Json::arrayValue);
    Row.append(fmt::format("{:x}", Each.Server));
    Row.append(Each.AgeMs);
    Row.append(Each.TypicalMs);
    Rows.append(Row);
  }
  return Rows;
}

/// Limits travel in thousandths of a request a second, their ages in whole
/// milliseconds.
static Json::Value encodeLimits(const std::vector<LimitReport> &Limits) {
  Json::Value Rows(Json::arrayValue);
  for (const LimitReport &Each : Limits) {
    Json::Value Row(Json::arrayValue);
    Row.append(fmt::format("{:x}", Each.Server));
    Row.append(static_cast<Json::Int64>(std::llround(Each.PerSecond * 1000)));
    Row.append(static_cast<Json::Int64>(toMillis(Each.Age)));
    Rows.append(Row);
  }
  return Rows;
}

std::string encodePeerMessage(const PeerMessage &Message) {
  Json::Value Value;
  Value["from"] = Message.Source;
  Value["hall"] = Message.Hall;
  if (Message.IsRelayed)
    Value["relayed"] = true;
  if (Message.StoreHeardAgo)
    Value["heard-ms"] =
        static_cast<Json::UInt64>(toMillis(*Message.StoreHeardAgo));
  Value["as-of"] = static_cast<Json::UInt64>(Message.AsOf.Revision);
  Value["epoch"] = static_cast<Json::UInt64>(Message.AsOf.Epoch);
  Value["seq"] = static_cast<Json::UInt64>(Message.Sequence);
  Value["seen"] = Json::arrayValue;
  for (const Observation &Each : Message.Seen) {
    Json::Value Pair(Json::arrayValue);
    Pair.append(fmt::format("{:x}", Each.Server));
    Pair.append(static_cast<int>(Each.Outcome));
    if (Each.Load >= 0 || Each.LatencyRatioPercent >= 0)
      Pair.append(Each.Load);
    if (Each.LatencyRatioPercent >= 0)
      Pair.append(Each.LatencyRatioPercent);
    Value["seen"].append(Pair);
  }
  if (Message.InFlight)
    Value["out"] = encodeInFlight(*Message.InFlight);
  for (const HealthEstimate &Each : Message.Estimates) {
    Json::Value Pair(Json::arrayValue);
    Pair.append(fmt::format("{:x}", Each.Server));
    Pair.append(Each.PerMille);
    Pair.append(Each.LoadTenths);
    Value["thinks"].append(Pair);
  }
  for (const HallFailureRate &Each : Message.Rates) {
    Json::Value Row(Json::arrayValue);
    Row.append(fmt::format("{:x}", Each.Service));
    Row.append(Each.All);
    Row.append(Each.Bad);
    Value["rates"].append(Row);
  }
  if (!Message.Asked.empty())
    Value["asks"] = encodeLoans(Message.Asked);
  if (!Message.Lent.empty())
    Value["lends"] = encodeLoans(Message.Lent);
  if (!Message.Levels.empty())
    Value["orgs"] = encodeLevels(Message.Levels);
  if (Message.HallLevels)
    Value["hall-orgs"] = encodeLevels(*Message.HallLevels);
  if (!Message.Limits.empty())
    Value["limits"] = encodeLimits(Message.Limits);
  encodeSuspects(Message.Suspects, Value);
  return writeJson(Value);
}

static bool decodeRate(const Json::Value &Row, HallFailureRate &Rate) {
  if (!Row.isArray() || Row.size() != 3 || !Row[1].isInt() || !Row[2].isInt())
    return false;
  Rate.All = Row[1].asInt();
  Rate.Bad = Row[2].asInt();
  return Rate.Bad >= 0 && Rate.All >= Rate.Bad &&
         decodeHex(Row[0], Rate.Service);
}

static bool decodeLimit(const Json::Value &Row, LimitReport &Limit) {
  if (!Row.isArray() || Row.size() != 3 || !Row[1].isInt() || !Row[2].isInt() ||
      Row[1].asInt() < 0 || Row[2].asInt() < 0)
    return false;
  Limit.PerSecond = Row[1].asInt() / 1000.0;
  Limit.Age = fromMillis(Row[2].asInt());
  return decodeHex(Row[0], Limit.Server);
}

static bool decodeLoan(const Json::Value &Row, RepeatLoan &Loan) {
  if (!Row.isArray() || Row.size() != 2 || !Row[1].isUInt64())
    return false;
  Loan.Number = Row[1].asUInt64();
  return decodeHex(Row[0], Loan.Service);
}

static bool decodeEstimate(const Json::Value &Pair, HealthEstimate &Given) {
  if (!Pair.isArray() || Pair.size() != 3 || !Pair[1].isInt() ||
      !Pair[2].isInt())
    return false;
  Given.PerMille = Pair[1].asInt();
  Given.LoadTenths = Pair[2].asInt();
  return Given.PerMille >= 0 && Given.PerMille <= MostPerMille &&
         Given.LoadTenths >= 0 && decodeHex(Pair[0], Given.Server);
}

static bool decodeInFlight(const Json::Value &Row, InFlightReport &Request) {
  if (!Row.isArray() || Row.size() != 3 || !Row[1].isInt() || !Row[2].isInt())
    return false;
  Request.AgeMs = Row[1].asInt();
  Request.TypicalMs = Row[2].asInt();
  return Request.AgeMs >= 0 && Request.TypicalMs >= 0 &&
         decodeHex(Row[0], Request.Server);
}

/// Decodes a number that is at least -1, which stands for one that is not
/// known. So does a row that ends before it.
static bool decodeOptionalCount(const Json::Value &Row, Json::ArrayIndex Place,
                                int &Count) {
  Count = -1;
  if (Row.size() <= Place)
    return true;
  if (!Row[Place].isInt() || Row[Place].asInt() < -1)
    return false;
  Count = Row[Place].asInt();
  return true;
}

static bool decodeObservation(const Json::Value &Pair, Observation &Seen) {
  if (!Pair.isArray() || Pair.size() < 2 || Pair.size() > 4 || !Pair[1].isInt())
    return false;
  if (!decodeOptionalCount(Pair, 2, Seen.Load) ||
      !decodeOptionalCount(Pair, 3, Seen.LatencyRatioPercent))
    return false;
  const int Outcome = Pair[1].asInt();
  if (!decodeHex(Pair[0], Seen.Server) || Outcome < 0 ||
      Outcome >= OutcomeCount)
    return false;
  Seen.Outcome = static_cast<RequestOutcome>(Outcome);
  return true;
}

/// Decodes the rows of a list onto the end of All. Fails with What if one has a
/// wrong shape.
template <typename T>
static Result<void> decodeList(const Json::Value &List,
                               bool (*Decode)(const Json::Value &, T &),
                               const char *What, std::vector<T> &All) {
  for (const Json::Value &Row : List) {
    T Each;
    if (!Decode(Row, Each))
      return makeError(ErrorKind::InvalidArgument, What);
    All.push_back(Each);
  }
  return outcome::success();
}

/// Decodes a list that a message need not have.
template <typename T>
static Result<void> decodeOptionalList(const Json::Value &List,
                                       bool (*Decode)(const Json::Value &, T &),
                                       const char *What, std::vector<T> &All) {
  if (List.isNull())
    return outcome::success();
  if (!List.isArray())
    return makeError(ErrorKind::InvalidArgument, What);
  return decodeList(List, Decode, What, All);
}

/// Decodes an age that a message need not have.
static Result<std::optional<Duration>> decodeHeardAgo(const Json::Value &Age) {
  if (Age.isNull())
    return std::optional<Duration>();
  if (!Age.isUInt64() || Age.asUInt64() > MostHeardMillis)
    return makeError(ErrorKind::InvalidArgument, "not an age");
  return std::optional<Duration>(
      fromMillis(static_cast<int64_t>(Age.asUInt64())));
}

/// Decodes the epoch of a position. A daemon that knows of none names none, and
/// is behind all that do.
static Result<uint64_t> decodeEpoch(const Json::Value &Epoch) {
  if (Epoch.isNull())
    return uint64_t{0};
  if (!Epoch.isUInt64())
    return makeError(ErrorKind::InvalidArgument, "not an epoch");
  return Epoch.asUInt64();
}

Result<PeerMessage> decodePeerMessage(const std::string &Text) {
  Json::Value Value;
  if (!parseJson(Text, Value) || !Value.isObject() ||
      !Value["from"].isString() || !Value["hall"].isString() ||
      !Value["seq"].isUInt64() || !Value["seen"].isArray())
    return makeError(ErrorKind::InvalidArgument, "not a message of a peer");
  PeerMessage Message;
  Message.Source = Value["from"].asString();
  Message.Hall = Value["hall"].asString();
  Message.Sequence = Value["seq"].asUInt64();
  if (!Value["as-of"].isUInt64())
    return makeError(ErrorKind::InvalidArgument, "no revision");
  Message.AsOf.Revision = Value["as-of"].asUInt64();
  BOOST_OUTCOME_TRY(Message.AsOf.Epoch, decodeEpoch(Value["epoch"]));
  BOOST_OUTCOME_TRY(Message.StoreHeardAgo, decodeHeardAgo(Value["heard-ms"]));
  Message.IsRelayed = Value["relayed"].isBool() && Value["relayed"].asBool();
  BOOST_OUTCOME_TRY(decodeList(Value["seen"], decodeObservation,
                               "not an observation", Message.Seen));
  if (!Value["out"].isNull()) {
    Message.InFlight.emplace();
    BOOST_OUTCOME_TRY(decodeOptionalList(Value["out"], decodeInFlight,
                                         "not a request in flight",
                                         *Message.InFlight));
  }
  BOOST_OUTCOME_TRY(decodeOptionalList(Value["rates"], decodeRate, "not a rate",
                                       Message.Rates));
  BOOST_OUTCOME_TRY(decodeOptionalList(Value["thinks"], decodeEstimate,
                                       "not an estimate", Message.Estimates));
  BOOST_OUTCOME_TRY(decodeOptionalList(Value["asks"], decodeLoan,
                                       "not a right asked for", Message.Asked));
  BOOST_OUTCOME_TRY(decodeOptionalList(Value["lends"], decodeLoan,
                                       "not a right given", Message.Lent));
  BOOST_OUTCOME_TRY(decodeOptionalList(Value["orgs"], decodeLevel,
                                       "not a level", Message.Levels));
  BOOST_OUTCOME_TRY(decodeOptionalList(
      Value["limits"], decodeLimit, "not a limit of a server", Message.Limits));
  if (!Value["hall-orgs"].isNull()) {
    Message.HallLevels.emplace();
    BOOST_OUTCOME_TRY(decodeOptionalList(Value["hall-orgs"], decodeLevel,
                                         "not a level of a hall",
                                         *Message.HallLevels));
  }
  BOOST_OUTCOME_TRY(Message.Suspects, decodeSuspects(Value));
  return Message;
}

} // namespace canvaswick
