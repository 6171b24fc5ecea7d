//===- PlatformClient.cpp - Client of the platform's HTTP API -------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Sends and receives values as HTTP bodies and revisions in a header. The
/// expected revision of a write is a parameter of the query.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Platform/PlatformClient.h"
#include "canvaswick/Http/CallFailure.h"
#include "canvaswick/Json/JsonText.h"

#include <fmt/format.h>
#include <json/json.h>

#include <cstdlib>
#include <sstream>

namespace canvaswick {

static constexpr size_t MaxPlatformConnections = 8;
static constexpr Duration CallTimeout = fromSeconds(2);

PlatformClient::PlatformClient(Endpoint Address, CounterTable *Counters)
    : Address(std::move(Address)), Counters(Counters),
      Pool(MaxPlatformConnections) {}

ExchangeResult PlatformClient::call(const std::string &Method,
                                    const std::string &Target,
                                    const std::string &Body, Duration Timeout) {
  OutgoingRequest Request;
  Request.Method = Method;
  Request.Target = Target;
  Request.Body = Body;
  ExchangeResult Result = this->Pool.exchange(
      this->Address, Request, readSteadyClock() + Timeout, -1, nullptr);
  if (!this->Counters)
    return Result;
  this->Counters->add(Counter::PlatformCalls);
  if (Result.End != ExchangeEnd::Complete)
    this->Counters->add(Counter::PlatformFailures);
  return Result;
}

static std::string makeKeyTarget(const std::string &Key) {
  return "/v1/kv/" + Key;
}

static constexpr StatusMeaning StatusMeanings[] = {
    {404, ErrorKind::NotFound},    {408, ErrorKind::Timeout},
    {409, ErrorKind::Conflict},    {429, ErrorKind::RateLimited},
    {503, ErrorKind::Unavailable},
};

static Error describeFailure(const ExchangeResult &Answer,
                             const std::string &What) {
  return describeCallFailure(Answer, What, "the platform", StatusMeanings);
}

static uint64_t readRevision(const ExchangeResult &Result) {
  const auto Found = Result.Headers.find("Revision");
  if (Found == Result.Headers.end())
    return 0;
  return std::strtoull(Found->second.c_str(), nullptr, 10);
}

static bool isOk(const ExchangeResult &Result) {
  return Result.End == ExchangeEnd::Complete && Result.Status == 200;
}

Result<PlatformValue> PlatformClient::get(const std::string &Key) {
  ExchangeResult Answer =
      this->call("GET", makeKeyTarget(Key), "", CallTimeout);
  if (!isOk(Answer))
    return outcome::failure(describeFailure(Answer, "read " + Key));
  return PlatformValue{std::move(Answer.Body), readRevision(Answer)};
}

Result<PlatformValue> PlatformClient::watch(const std::string &Key,
                                            uint64_t After, Duration Wait) {
  const std::string Target = fmt::format("/v1/watch/{}?after={}&wait-ms={}",
                                         Key, After, toMillis(Wait));
  ExchangeResult Answer = this->call("GET", Target, "", Wait + CallTimeout);
  if (!isOk(Answer))
    return outcome::failure(describeFailure(Answer, "watch " + Key));
  return PlatformValue{std::move(Answer.Body), readRevision(Answer)};
}

Result<uint64_t> PlatformClient::put(const std::string &Key,
                                     const std::string &Value,
                                     uint64_t Expected) {
  if (Value.size() > MaxPlatformValueBytes)
    return makeError(ErrorKind::InvalidArgument,
                     "write " + Key + ": the value is too long");
  const std::string Target =
      fmt::format("{}?revision={}", makeKeyTarget(Key), Expected);
  const ExchangeResult Answer = this->call("PUT", Target, Value, CallTimeout);
  if (!isOk(Answer))
    return outcome::failure(describeFailure(Answer, "write " + Key));
  return readRevision(Answer);
}

Result<void> PlatformClient::remove(const std::string &Key, uint64_t Expected) {
  const std::string Target =
      fmt::format("{}?revision={}", makeKeyTarget(Key), Expected);
  const ExchangeResult Answer = this->call("DELETE", Target, "", CallTimeout);
  if (!isOk(Answer))
    return outcome::failure(describeFailure(Answer, "remove " + Key));
  return outcome::success();
}

Result<VmList> PlatformClient::listVms() {
  const ExchangeResult Answer = this->call("GET", "/v1/vms", "", CallTimeout);
  if (!isOk(Answer))
    return outcome::failure(describeFailure(Answer, "list of VMs"));
  Json::Value List;
  if (!parseJson(Answer.Body, List) || !List.isArray())
    return makeError(ErrorKind::OutcomeUnknown,
                     "list of VMs: expected a JSON array");
  VmList Vms;
  Vms.Revision = readRevision(Answer);
  for (const Json::Value &Vm : List) {
    if (!Vm.isObject())
      continue;
    Vms.Entries.push_back({Vm.get("name", "").asString(),
                           Vm.get("address", "").asString(),
                           Vm.get("tag", "").asString(),
                           Vm.get("state", "").asString() == "leaving"});
  }
  return Vms;
}

} // namespace canvaswick
