//===- ConfigAgent.cpp - Brings new versions of the settings to this daemon and
// on to others -===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Versions travel with every ping; texts only to who lacks them.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Daemon/ConfigAgent.h"
#include "canvaswick/Support/Hash.h"
#include "canvaswick/Support/Log.h"

#include <thread>

namespace canvaswick {

/// How long one waiting read at the platform waits.
static constexpr Duration WatchWait = fromSeconds(2);

/// After a failure to reach the platform.
static constexpr Duration FailureWait = fromSeconds(1);

/// Peers that are told of a new version at once.
static constexpr size_t NewsFanOut = 4;

/// Parts asked for in one call to a peer.
static constexpr size_t PartsPerCall = 32;

static constexpr Duration FetchTimeout = fromSeconds(3);

ConfigAgent::ConfigAgent(const ControlContext &Context,
                         MembershipAgent &Members, Applier Apply)
    : Context(Context), Members(Members), Apply(std::move(Apply)),
      Random(hashText(Context.Config.Name, Context.StartMillis + 1)) {}

void ConfigAgent::addMethods(JsonRpcDispatcher &Dispatcher) {
  Dispatcher.add("config.manifest", [this](const Json::Value &) {
    return this->answerManifest();
  });
  Dispatcher.add("config.parts", [this](const Json::Value &Params) {
    return this->answerParts(Params);
  });
  Dispatcher.add("config.news", [this](const Json::Value &Params) {
    return this->answerNews(Params);
  });
}

Result<void> ConfigAgent::loadLocal() {
  if (this->Context.Config.SettingsFile.empty())
    return outcome::success();
  BOOST_OUTCOME_TRY(std::string Text,
                    readFile(this->Context.Config.SettingsFile));
  FleetConfigRef Config;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    BOOST_OUTCOME_TRY(Config, this->Follower.acceptLocal(
                                  Text, this->Context.Config.SettingsFile));
  }
  this->Apply(Config);
  return outcome::success();
}

void ConfigAgent::runRound() {
  const std::vector<std::string> Working = this->Members.getWorking();
  if (ConfigWatchSchedule::isWatcher(this->Context.Config.Name, Working)) {
    this->watchPlatform();
    return;
  }
  bool ShouldLook = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    std::uniform_real_distribution<double> Draw(0, 1);
    ShouldLook = this->Duty.shouldReadPlatform(
        Working.size(), Draw(this->Random), readSteadyClock());
  }
  if (ShouldLook)
    this->lookAtPlatform();
  std::this_thread::sleep_for(fromSeconds(1));
}

void ConfigAgent::watchPlatform() {
  uint64_t After = 0;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    After = this->PlatformRevision;
  }
  Result<PlatformValue> Value =
      this->Context.Platform.watch(ManifestKey, After, WatchWait);
  if (Value) {
    this->takeFromPlatform(Value.value());
    return;
  }
  if (Value.error().Kind == ErrorKind::Timeout) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Duty.recordConfirmation(Duration::zero(), readSteadyClock());
    return;
  }
  std::this_thread::sleep_for(FailureWait);
}

void ConfigAgent::lookAtPlatform() {
  Result<PlatformValue> Value = this->Context.Platform.get(ManifestKey);
  if (Value)
    this->takeFromPlatform(Value.value());
}

void ConfigAgent::takeFromPlatform(const PlatformValue &Value) {
  std::lock_guard<std::mutex> Fetch(this->FetchMutex);
  Result<ConfigManifest> Manifest = decodeManifest(Value.Value);
  if (!Manifest) {
    this->Context.Counters.add(Counter::ConfigRefused);
    logWarning("config-refused", "what={:?}", Manifest.error().Message);
    return;
  }
  std::vector<std::string> Missing;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->PlatformRevision = Value.Revision;
    this->Duty.recordConfirmation(Duration::zero(), readSteadyClock());
    if (Manifest.value().Version <= this->Follower.getVersion())
      return;
    Missing = this->Follower.findMissing(Manifest.value());
  }
  ConfigTexts Fetched;
  for (const std::string &Hash : Missing) {
    Result<PlatformValue> Part = this->Context.Platform.get(getPartKey(Hash));
    if (!Part) {
      // Look again at the next round.
      std::lock_guard<std::mutex> Lock(this->Mutex);
      this->PlatformRevision = 0;
      return;
    }
    Fetched[Hash] = std::move(Part.value().Value);
  }
  this->accept(Manifest.value(), Fetched);
}

void ConfigAgent::accept(const ConfigManifest &Candidate,
                         const ConfigTexts &Fetched) {
  FleetConfigRef Config;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    Result<FleetConfigRef> Accepted = this->Follower.accept(Candidate, Fetched);
    if (!Accepted) {
      if (Accepted.error().Kind == ErrorKind::Conflict)
        return;
      this->Context.Counters.add(Counter::ConfigRefused);
      logWarning("config-refused", "version={} what={:?}", Candidate.Version,
                 Accepted.error().Message);
      return;
    }
    Config = Accepted.value();
  }
  this->Context.Counters.add(Counter::ConfigChanges);
  this->Apply(Config);
  logInfo("config-in-force", "version={}", Candidate.Version);
  this->spreadNews("");
}

/// Tells some peers at once; each of them tells some more.
void ConfigAgent::spreadNews(const std::string &Except) {
  const uint64_t Version = this->getVersion();
  for (const MemberRecord &Peer : this->Members.choose(NewsFanOut, Except))
    this->Context.Calls.trySubmit([this, Peer, Version] {
      Json::Value Params;
      Params["version"] = static_cast<Json::UInt64>(Version);
      Params["from"] =
          encodeMember(*this->Members.find(this->Context.Config.Name));
      (void)this->Context.Caller.call(Peer.Control, "config.news", Params,
                                      FetchTimeout);
    });
}

Json::Value ConfigAgent::answerNews(const Json::Value &Params) {
  MemberRecord From;
  if (decodeMember(Params["from"], From) &&
      Params["version"].asUInt64() > this->getVersion())
    this->Context.Calls.trySubmit([this, From] { this->fetchFrom(From); });
  return Json::Value(Json::objectValue);
}

void ConfigAgent::fetchFrom(const MemberRecord &Peer) {
  std::lock_guard<std::mutex> Fetch(this->FetchMutex);
  Result<Json::Value> Answer =
      this->Context.Caller.call(Peer.Control, "config.manifest",
                                Json::Value(Json::objectValue), FetchTimeout);
  if (!Answer)
    return;
  Result<ConfigManifest> Manifest =
      decodeManifest(Answer.value()["manifest"].asString());
  if (!Manifest)
    return;
  std::vector<std::string> Missing;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (Manifest.value().Version <= this->Follower.getVersion())
      return;
    Missing = this->Follower.findMissing(Manifest.value());
  }
  ConfigTexts Fetched;
  for (size_t From = 0; From < Missing.size(); From += PartsPerCall) {
    Json::Value Params;
    const size_t End = std::min(Missing.size(), From + PartsPerCall);
    for (size_t I = From; I < End; ++I)
      Params["hashes"].append(Missing[I]);
    Result<Json::Value> Parts = this->Context.Caller.call(
        Peer.Control, "config.parts", Params, FetchTimeout);
    if (!Parts)
      return;
    for (const std::string &Hash : Parts.value()["parts"].getMemberNames())
      Fetched[Hash] = Parts.value()["parts"][Hash].asString();
  }
  this->accept(Manifest.value(), Fetched);
}

Json::Value ConfigAgent::answerManifest() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Json::Value Answer;
  Answer["manifest"] = encodeManifest(this->Follower.getManifest());
  return Answer;
}

Json::Value ConfigAgent::answerParts(const Json::Value &Params) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Json::Value Answer;
  Answer["parts"] = Json::objectValue;
  for (const Json::Value &Hash : Params["hashes"])
    if (const std::string *Text = this->Follower.findText(Hash.asString()))
      Answer["parts"][Hash.asString()] = *Text;
  return Answer;
}

void ConfigAgent::writeVersions(Json::Value &Message) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Message["config"] = static_cast<Json::UInt64>(this->Follower.getVersion());
  const Duration Age = this->Duty.getConfirmationAge(readSteadyClock());
  if (Age != Duration::max())
    Message["confirmed"] = static_cast<Json::Int64>(toMillis(Age));
}

void ConfigAgent::readVersions(const MemberRecord &Peer,
                               const Json::Value &Message) {
  bool IsBehind = false;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    const uint64_t Theirs = Message.get("config", 0).asUInt64();
    IsBehind = Theirs > this->Follower.getVersion();
    // A peer that holds less than we do confirms nothing.
    if (Message.isMember("confirmed") && Theirs >= this->Follower.getVersion())
      this->Duty.recordConfirmation(fromMillis(Message["confirmed"].asInt64()),
                                    readSteadyClock());
  }
  if (IsBehind)
    this->Context.Calls.trySubmit([this, Peer] { this->fetchFrom(Peer); });
}

uint64_t ConfigAgent::getVersion() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Follower.getVersion();
}

int64_t ConfigAgent::getConfirmedAgeMillis() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const Duration Age = this->Duty.getConfirmationAge(readSteadyClock());
  return Age == Duration::max() ? -1 : toMillis(Age);
}

} // namespace canvaswick
