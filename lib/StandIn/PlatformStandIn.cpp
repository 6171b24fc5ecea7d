//===- PlatformStandIn.cpp - Test double of the platform ------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// One mutex guards all state. Watches wait on a condition variable that every
/// change notifies.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/StandIn/PlatformStandIn.h"
#include "canvaswick/Json/JsonText.h"

#include <fmt/format.h>

#include <cstdlib>
#include <sstream>
#include <thread>

namespace canvaswick {

static constexpr size_t StandInWorkers = 192;
static constexpr size_t MaxValueBytes = 1 << 20;

PlatformStandIn::PlatformStandIn() {
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = StandInWorkers;
  Limits.Workers.Queue = 1024;
  this->Server = std::make_unique<HttpServer>(
      Limits, [this](HttpExchange &Exchange) { this->handle(Exchange); });
}

PlatformStandIn::~PlatformStandIn() { this->stop(); }

Result<void> PlatformStandIn::start(const Endpoint &Address) {
  return this->Server->start(Address);
}

void PlatformStandIn::stop() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
  }
  this->Changed.notify_all();
  this->Server->stopGracefully(readSteadyClock() + fromSeconds(2));
}

uint16_t PlatformStandIn::getPort() const { return this->Server->getPort(); }

void PlatformStandIn::setFaults(const PlatformFaults &Faults) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Faults = Faults;
  this->Changed.notify_all();
}

PlatformCallCounts PlatformStandIn::getCounts() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Counts;
}

void PlatformStandIn::setVms(const Json::Value &List) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Vms.push_back({readSteadyClock(), List});
}

uint64_t PlatformStandIn::force(const std::string &Key,
                                const std::string &Value) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Entry &Target = this->Entries[Key];
  Target.Value = Value;
  Target.Revision = this->NextRevision++;
  this->Changed.notify_all();
  return Target.Revision;
}

std::string PlatformStandIn::peek(const std::string &Key) const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Entries.find(Key);
  return Found == this->Entries.end() ? "" : Found->second.Value;
}

static std::string readQuery(const std::string &Target,
                             const std::string &Name) {
  const size_t Question = Target.find('?');
  if (Question == std::string::npos)
    return "";
  std::istringstream Stream(Target.substr(Question + 1));
  std::string Part;
  while (std::getline(Stream, Part, '&'))
    if (Part.compare(0, Name.size() + 1, Name + "=") == 0)
      return Part.substr(Name.size() + 1);
  return "";
}

static uint64_t readNumber(const std::string &Target, const std::string &Name) {
  return std::strtoull(readQuery(Target, Name).c_str(), nullptr, 10);
}

static std::string cutPrefix(const std::string &Target,
                             const std::string &Prefix) {
  if (Target.compare(0, Prefix.size(), Prefix) != 0)
    return "";
  return Target.substr(Prefix.size(), Target.find('?') - Prefix.size());
}

static bool readBody(HttpExchange &Exchange, std::string &Body) {
  if (!Exchange.Body)
    return true;
  const BodyEnd End =
      Exchange.Body->read([&Body](const char *Data, size_t Size) {
        Body.append(Data, Size);
        return true;
      });
  return End == BodyEnd::Whole;
}

/// Applies the outage, the rate limit and the delay. Returns whether the call
/// is served.
bool PlatformStandIn::admit(HttpExchange &Exchange) {
  int64_t SlowMs = 0;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const int64_t Second = readCalendarMillis() / 1000;
    if (Second != this->CurrentSecond)
      this->CallsThisSecond = 0;
    this->CurrentSecond = Second;
    ++this->CallsThisSecond;
    const bool IsOverRate = this->Faults.CallsPerSecond > 0 &&
                            this->CallsThisSecond > this->Faults.CallsPerSecond;
    if (this->Faults.IsDown || IsOverRate) {
      ++this->Counts.Refused;
      Exchange.Response.status = this->Faults.IsDown ? 503 : 429;
      return false;
    }
    SlowMs = this->Faults.SlowMs;
  }
  if (SlowMs > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(SlowMs));
  return true;
}

void PlatformStandIn::expireLeases(TimePoint Now) {
  for (auto Lease = this->Leases.begin(); Lease != this->Leases.end();) {
    if (Lease->second.first > Now) {
      ++Lease;
      continue;
    }
    const uint64_t Id = Lease->first;
    std::erase_if(this->Entries,
                  [Id](const auto &Each) { return Each.second.Lease == Id; });
    Lease = this->Leases.erase(Lease);
    this->Changed.notify_all();
  }
}

void PlatformStandIn::handle(HttpExchange &Exchange) {
  const std::string &Target = Exchange.Request.target;
  Exchange.Stream.setDeadline(readSteadyClock() + fromSeconds(60));
  if (Target.compare(0, 9, "/control/") == 0) {
    this->handleControl(Exchange);
    return;
  }
  std::string Body;
  if (!readBody(Exchange, Body) || Body.size() > MaxValueBytes) {
    Exchange.Response.status = 413;
    Exchange.MustClose = true;
    return;
  }
  if (!this->admit(Exchange))
    return;
  const std::string Key = cutPrefix(Target, "/v1/kv/");
  const std::string &Method = Exchange.Request.method;
  if (!Key.empty() && Method == "GET")
    this->handleGet(Exchange, Key);
  else if (!Key.empty() && Method == "PUT")
    this->handlePut(Exchange, Key, Body);
  else if (!Key.empty() && Method == "DELETE")
    this->handleDelete(Exchange, Key);
  else if (const std::string Watched = cutPrefix(Target, "/v1/watch/");
           !Watched.empty())
    this->handleWatch(Exchange, Watched);
  else if (Target.compare(0, 10, "/v1/leases") == 0)
    this->handleLease(Exchange, Target);
  else if (Target == "/v1/vms")
    this->handleVms(Exchange);
  else
    Exchange.Response.status = 400;
}

static void answerValue(HttpExchange &Exchange, const std::string &Value,
                        uint64_t Revision) {
  Exchange.Response.status = 200;
  Exchange.Response.set_header("Revision", fmt::format("{}", Revision));
  Exchange.Response.set_content(Value, "application/octet-stream");
}

void PlatformStandIn::handleGet(HttpExchange &Exchange,
                                const std::string &Key) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Counts.Reads;
  this->expireLeases(readSteadyClock());
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end()) {
    Exchange.Response.status = 404;
    return;
  }
  answerValue(Exchange, Found->second.Value, Found->second.Revision);
}

/// Closes the connection without an answer.
static void loseAnswer(HttpExchange &Exchange) {
  Exchange.Stream.muteWrites(true);
  Exchange.MustClose = true;
}

void PlatformStandIn::handlePut(HttpExchange &Exchange, const std::string &Key,
                                const std::string &Body) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Counts.Writes;
  this->expireLeases(readSteadyClock());
  if (this->Faults.LoseWrites > 0) {
    --this->Faults.LoseWrites;
    loseAnswer(Exchange);
    return;
  }
  const std::string &Target = Exchange.Request.target;
  const auto Found = this->Entries.find(Key);
  const uint64_t Current =
      Found == this->Entries.end() ? 0 : Found->second.Revision;
  if (readNumber(Target, "revision") != Current) {
    Exchange.Response.status = 409;
    return;
  }
  const uint64_t Lease = readNumber(Target, "lease");
  if (Lease != 0 && this->Leases.count(Lease) == 0) {
    Exchange.Response.status = 410;
    return;
  }
  Entry &Written = this->Entries[Key];
  Written = Entry{Body, this->NextRevision++, Lease};
  this->Changed.notify_all();
  if (this->Faults.LoseAnswers > 0) {
    --this->Faults.LoseAnswers;
    loseAnswer(Exchange);
    return;
  }
  answerValue(Exchange, "", Written.Revision);
}

void PlatformStandIn::handleDelete(HttpExchange &Exchange,
                                   const std::string &Key) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Counts.Writes;
  const auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end()) {
    Exchange.Response.status = 404;
    return;
  }
  if (readNumber(Exchange.Request.target, "revision") !=
      Found->second.Revision) {
    Exchange.Response.status = 409;
    return;
  }
  this->Entries.erase(Found);
  this->Changed.notify_all();
  answerValue(Exchange, "", 0);
}

void PlatformStandIn::handleWatch(HttpExchange &Exchange,
                                  const std::string &Key) {
  const std::string &Target = Exchange.Request.target;
  const uint64_t After = readNumber(Target, "after");
  const auto Wait = std::chrono::milliseconds(
      std::min<uint64_t>(30000, readNumber(Target, "wait-ms")));
  std::unique_lock<std::mutex> Lock(this->Mutex);
  ++this->Counts.Watches;
  const auto IsNewer = [&] {
    const auto Found = this->Entries.find(Key);
    return Found != this->Entries.end() && Found->second.Revision > After;
  };
  this->Changed.wait_for(Lock, Wait, [&] {
    return IsNewer() || this->Faults.IsDown || this->Stopping;
  });
  if (this->Faults.IsDown || this->Stopping) {
    Exchange.Response.status = 503;
    return;
  }
  if (!IsNewer()) {
    Exchange.Response.status = 408;
    return;
  }
  const Entry &Found = this->Entries[Key];
  answerValue(Exchange, Found.Value, Found.Revision);
}

void PlatformStandIn::handleLease(HttpExchange &Exchange,
                                  const std::string &Target) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Counts.Writes;
  const TimePoint Now = readSteadyClock();
  this->expireLeases(Now);
  const std::string Id = cutPrefix(Target, "/v1/leases/");
  if (Id.empty()) {
    const Duration Length =
        fromMillis(static_cast<int64_t>(readNumber(Target, "ttl-ms")));
    const uint64_t Lease = this->NextLease++;
    this->Leases[Lease] = {Now + Length, Length};
    answerValue(Exchange, fmt::format("{}", Lease), 0);
    return;
  }
  const auto Found = this->Leases.find(std::strtoull(Id.c_str(), nullptr, 10));
  if (Found == this->Leases.end()) {
    Exchange.Response.status = 410;
    return;
  }
  Found->second.first = Now + Found->second.second;
  answerValue(Exchange, "", 0);
}

void PlatformStandIn::handleVms(HttpExchange &Exchange) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  ++this->Counts.Reads;
  const TimePoint Seen = readSteadyClock() - fromMillis(this->Faults.VmLagMs);
  Json::Value List(Json::arrayValue);
  uint64_t Revision = 0;
  for (const VmVersion &Version : this->Vms) {
    if (Version.At > Seen)
      break;
    List = Version.List;
    ++Revision;
  }
  answerValue(Exchange, writeJson(List), Revision);
}

void PlatformStandIn::handleControl(HttpExchange &Exchange) {
  std::string Body;
  Json::Value Wanted;
  if (!readBody(Exchange, Body) ||
      (!Body.empty() && !parseJson(Body, Wanted))) {
    Exchange.Response.status = 400;
    return;
  }
  const std::string Topic = cutPrefix(Exchange.Request.target, "/control/");
  if (Topic == "vms") {
    this->setVms(Wanted);
  } else if (Topic == "faults") {
    PlatformFaults Set;
    Set.IsDown = Wanted.get("down", false).asBool();
    Set.SlowMs = Wanted.get("slow-ms", 0).asInt64();
    Set.LoseAnswers = Wanted.get("lose-answers", 0).asInt();
    Set.LoseWrites = Wanted.get("lose-writes", 0).asInt();
    Set.CallsPerSecond = Wanted.get("calls-per-second", 0).asInt64();
    Set.VmLagMs = Wanted.get("vm-lag-ms", 0).asInt64();
    this->setFaults(Set);
  }
  const PlatformCallCounts Counts = this->getCounts();
  Json::Value Answer;
  Answer["reads"] = static_cast<Json::UInt64>(Counts.Reads);
  Answer["writes"] = static_cast<Json::UInt64>(Counts.Writes);
  Answer["watches"] = static_cast<Json::UInt64>(Counts.Watches);
  Answer["refused"] = static_cast<Json::UInt64>(Counts.Refused);
  Exchange.Response.set_content(writeJson(Answer), "application/json");
}

} // namespace canvaswick
