//===- PeerMessage.cpp - Datagram messages between daemons ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Messages are JSON objects with short field names. Lists hold short arrays:
/// the id of a server or service in hexadecimal digits, then numbers.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/PeerMessage.h"
#include "HexNumber.h"
#include "canvaswick/Daemon/QuotaEncoding.h"
#include "canvaswick/Json/JsonText.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace canvaswick {

/// The greatest probability in thousandths.
static constexpr int MaxPerMille = 1000;

/// One day. A message with a longer time since the store's last answer is
/// rejected as malformed.
static constexpr uint64_t MaxStoreAnswerMillis = 24 * 3600 * 1000;

static Json::Value encodeLoans(const std::vector<RetryLoan> &Loans) {
  Json::Value Rows(Json::arrayValue);
  for (const RetryLoan &Each : Loans) {
    Json::Value Row(Json::arrayValue);
    Row.append(fmt::format("{:x}", Each.Service));
    Row.append(static_cast<Json::UInt64>(Each.Number));
    Rows.append(Row);
  }
  return Rows;
}

/// Encodes the ages of observations in a list of their own, which daemons of
/// earlier versions ignore.
static Json::Value encodeAges(const std::vector<Observation> &Observations) {
  Json::Value Ages(Json::arrayValue);
  for (const Observation &Each : Observations)
    Ages.append(Each.AgeMs);
  return Ages;
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

/// Encodes limits in thousandths of a request per second and their ages in
/// whole milliseconds.
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

/// Encodes servers and the ages of their reports in whole milliseconds.
static Json::Value encodeGoneServers(const std::vector<GoneReport> &Reports) {
  Json::Value Rows(Json::arrayValue);
  for (const GoneReport &Each : Reports) {
    Json::Value Row(Json::arrayValue);
    Row.append(fmt::format("{:x}", Each.Server));
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
  if (Message.IsCutOff)
    Value["cut-off"] = true;
  if (Message.SinceStoreAnswer)
    Value["heard-ms"] =
        static_cast<Json::UInt64>(toMillis(*Message.SinceStoreAnswer));
  if (Message.Control)
    Value["control"] = Message.Control->format();
  Value["as-of"] = static_cast<Json::UInt64>(Message.AsOf.Revision);
  Value["epoch"] = static_cast<Json::UInt64>(Message.AsOf.Epoch);
  if (Message.Digest)
    Value["digest"] = static_cast<Json::UInt64>(*Message.Digest);
  Value["seq"] = static_cast<Json::UInt64>(Message.Sequence);
  Value["seen"] = Json::arrayValue;
  for (const Observation &Each : Message.Observations) {
    Json::Value Pair(Json::arrayValue);
    Pair.append(fmt::format("{:x}", Each.Server));
    Pair.append(static_cast<int>(Each.Outcome));
    if (Each.Load >= 0 || Each.LatencyRatioPercent >= 0)
      Pair.append(Each.Load);
    if (Each.LatencyRatioPercent >= 0)
      Pair.append(Each.LatencyRatioPercent);
    Value["seen"].append(Pair);
  }
  if (std::any_of(Message.Observations.begin(), Message.Observations.end(),
                  [](const Observation &Each) { return Each.AgeMs > 0; }))
    Value["seen-ms"] = encodeAges(Message.Observations);
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
  if (!Message.LoanRequests.empty())
    Value["asks"] = encodeLoans(Message.LoanRequests);
  if (!Message.LoanGrants.empty())
    Value["lends"] = encodeLoans(Message.LoanGrants);
  if (!Message.Usages.empty())
    Value["orgs"] = encodeUsages(Message.Usages);
  if (Message.HallUsages)
    Value["hall-orgs"] = encodeUsages(*Message.HallUsages);
  if (!Message.Limits.empty())
    Value["limits"] = encodeLimits(Message.Limits);
  if (!Message.GoneServers.empty())
    Value["gone"] = encodeGoneServers(Message.GoneServers);
  encodePoisonReport(Message.PoisonRequests, Value);
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

static bool decodeGoneServer(const Json::Value &Row, GoneReport &Report) {
  if (!Row.isArray() || Row.size() != 2 || !Row[1].isInt() ||
      Row[1].asInt() < 0)
    return false;
  Report.Age = fromMillis(Row[1].asInt());
  return decodeHex(Row[0], Report.Server);
}

static bool decodeLoan(const Json::Value &Row, RetryLoan &Loan) {
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
  return Given.PerMille >= 0 && Given.PerMille <= MaxPerMille &&
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

/// Decodes a number that is at least -1, where -1 means unknown. A row that
/// ends before Place means unknown, too.
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

static bool decodeObservation(const Json::Value &Pair, Observation &Parsed) {
  if (!Pair.isArray() || Pair.size() < 2 || Pair.size() > 4 || !Pair[1].isInt())
    return false;
  if (!decodeOptionalCount(Pair, 2, Parsed.Load) ||
      !decodeOptionalCount(Pair, 3, Parsed.LatencyRatioPercent))
    return false;
  const int Outcome = Pair[1].asInt();
  if (!decodeHex(Pair[0], Parsed.Server) || Outcome < 0 ||
      Outcome >= OutcomeCount)
    return false;
  Parsed.Outcome = static_cast<RequestOutcome>(Outcome);
  return true;
}

/// Decodes the ages of observations. A daemon of an earlier version sends none.
static Result<void> decodeAges(const Json::Value &Ages,
                               std::vector<Observation> &Observations) {
  if (Ages.isNull())
    return outcome::success();
  if (!Ages.isArray() || Ages.size() != Observations.size())
    return makeError(ErrorKind::InvalidArgument, "malformed observation ages");
  for (Json::ArrayIndex I = 0; I < Ages.size(); ++I) {
    if (!Ages[I].isInt() || Ages[I].asInt() < 0)
      return makeError(ErrorKind::InvalidArgument, "malformed observation age");
    Observations[I].AgeMs = Ages[I].asInt();
  }
  return outcome::success();
}

/// Decodes the rows of a list and appends them to All. Fails with What if a row
/// is malformed.
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

/// Decodes an optional list.
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

/// Decodes an optional age.
static Result<std::optional<Duration>> decodeAge(const Json::Value &Age) {
  if (Age.isNull())
    return std::optional<Duration>();
  if (!Age.isUInt64() || Age.asUInt64() > MaxStoreAnswerMillis)
    return makeError(ErrorKind::InvalidArgument, "malformed age");
  return std::optional<Duration>(
      fromMillis(static_cast<int64_t>(Age.asUInt64())));
}

/// Decodes an optional address. A daemon of an earlier version sends none.
static Result<std::optional<Endpoint>>
decodeControl(const Json::Value &Address) {
  if (Address.isNull())
    return std::optional<Endpoint>();
  if (!Address.isString())
    return makeError(ErrorKind::InvalidArgument, "malformed control address");
  BOOST_OUTCOME_TRY(const Endpoint Control, parseEndpoint(Address.asString()));
  return std::optional<Endpoint>(Control);
}

/// Decodes the epoch of a position. A daemon of a version without epochs sends
/// none and counts as epoch 0, before all others.
static Result<uint64_t> decodeEpoch(const Json::Value &Epoch) {
  if (Epoch.isNull())
    return uint64_t{0};
  if (!Epoch.isUInt64())
    return makeError(ErrorKind::InvalidArgument, "malformed epoch");
  return Epoch.asUInt64();
}

Result<PeerMessage> decodePeerMessage(const std::string &Text) {
  Json::Value Value;
  if (!parseJson(Text, Value) || !Value.isObject() ||
      !Value["from"].isString() || !Value["hall"].isString() ||
      !Value["seq"].isUInt64() || !Value["seen"].isArray())
    return makeError(ErrorKind::InvalidArgument, "malformed peer message");
  PeerMessage Message;
  Message.Source = Value["from"].asString();
  Message.Hall = Value["hall"].asString();
  Message.Sequence = Value["seq"].asUInt64();
  if (!Value["as-of"].isUInt64())
    return makeError(ErrorKind::InvalidArgument,
                     "peer message without a revision");
  Message.AsOf.Revision = Value["as-of"].asUInt64();
  BOOST_OUTCOME_TRY(Message.AsOf.Epoch, decodeEpoch(Value["epoch"]));
  if (Value["digest"].isUInt64())
    Message.Digest = Value["digest"].asUInt64();
  BOOST_OUTCOME_TRY(Message.SinceStoreAnswer, decodeAge(Value["heard-ms"]));
  BOOST_OUTCOME_TRY(Message.Control, decodeControl(Value["control"]));
  Message.IsCutOff = Value["cut-off"].isBool() && Value["cut-off"].asBool();
  Message.IsRelayed = Value["relayed"].isBool() && Value["relayed"].asBool();
  BOOST_OUTCOME_TRY(decodeList(Value["seen"], decodeObservation,
                               "malformed observation", Message.Observations));
  BOOST_OUTCOME_TRY(decodeAges(Value["seen-ms"], Message.Observations));
  if (!Value["out"].isNull()) {
    Message.InFlight.emplace();
    BOOST_OUTCOME_TRY(decodeOptionalList(Value["out"], decodeInFlight,
                                         "malformed request in flight",
                                         *Message.InFlight));
  }
  BOOST_OUTCOME_TRY(decodeOptionalList(
      Value["rates"], decodeRate, "malformed failure rate", Message.Rates));
  BOOST_OUTCOME_TRY(decodeOptionalList(Value["thinks"], decodeEstimate,
                                       "malformed estimate",
                                       Message.Estimates));
  BOOST_OUTCOME_TRY(decodeOptionalList(Value["asks"], decodeLoan,
                                       "malformed loan request",
                                       Message.LoanRequests));
  BOOST_OUTCOME_TRY(decodeOptionalList(
      Value["lends"], decodeLoan, "malformed loan grant", Message.LoanGrants));
  BOOST_OUTCOME_TRY(decodeOptionalList(
      Value["orgs"], decodeUsage, "malformed quota usage", Message.Usages));
  BOOST_OUTCOME_TRY(decodeOptionalList(
      Value["limits"], decodeLimit, "malformed server limit", Message.Limits));
  BOOST_OUTCOME_TRY(decodeOptionalList(Value["gone"], decodeGoneServer,
                                       "malformed gone server",
                                       Message.GoneServers));
  if (!Value["hall-orgs"].isNull()) {
    Message.HallUsages.emplace();
    BOOST_OUTCOME_TRY(decodeOptionalList(Value["hall-orgs"], decodeUsage,
                                         "malformed hall usage",
                                         *Message.HallUsages));
  }
  BOOST_OUTCOME_TRY(Message.PoisonRequests, decodePoisonReport(Value));
  return Message;
}

} // namespace canvaswick
