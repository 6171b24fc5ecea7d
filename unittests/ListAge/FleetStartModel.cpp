//===- FleetStartModel.cpp - A fleet that starts, in virtual time ---------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Time goes in ticks. The times of PlatformDaemon, PeerFollower and
/// StoreWatcher stand here again, since those run on the real clock.
///
//===----------------------------------------------------------------------===//

#include "FleetStartModel.h"
#include "canvaswick/Directory/FirstReadSchedule.h"

#include <algorithm>

namespace canvaswick {

static constexpr Duration Tick = fromMillis(5);
static constexpr Duration RoleInterval = fromMillis(100);
static constexpr Duration LocalWatchTime = fromMillis(400);
static constexpr Duration AloneWait = fromMillis(500);

static Duration getWait(WatchRole Role) {
  return Role == WatchRole::Lead ? fromMillis(600) : fromMillis(1500);
}

static Duration getCoalesceTime(WatchRole Role) {
  return Role == WatchRole::Lead ? fromMillis(150) : fromMillis(600);
}

FleetStartModel::FleetStartModel(const FleetStartSetup &Setup)
    : Setup(Setup), Random(Setup.Seed) {
  // The first revision is the settings'.
  this->WrittenAt = {this->Now, this->Now};
  std::uniform_real_distribution<double> Uniform;
  for (size_t Hall = 0; Hall < Setup.Halls.size(); ++Hall)
    for (size_t I = 0; I < Setup.Halls[Hall]; ++I) {
      const bool IsSeed = this->Nodes.size() < Setup.Seeds;
      const Duration Wait =
          IsSeed ? Duration::zero()
                 : drawSparseDelay(AloneWait, Uniform(this->Random));
      const std::string Name = "d" + std::to_string(this->Nodes.size());
      auto Each = std::make_unique<Node>(Name, Wait, this->Random());
      Each->Name = Name;
      Each->Hall = Hall;
      Each->ReadAt = this->Now + this->draw(0, toSeconds(Setup.Spread) * 1000) +
                     this->draw(4, 30);
      this->Nodes.push_back(std::move(Each));
    }
}

Duration FleetStartModel::draw(double MinMs, double MaxMs) {
  std::uniform_real_distribution<double> Millis(MinMs, MaxMs);
  return fromSeconds(Millis(this->Random) / 1000);
}

void FleetStartModel::change() { this->WrittenAt.push_back(this->Now); }

void FleetStartModel::run(Duration Length) {
  const TimePoint End = this->Now + Length;
  TimePoint NextChangeAt = this->Now + this->Setup.ChangeInterval / 2;
  for (; this->Now < End; this->Now += Tick) {
    if (this->Now >= NextChangeAt) {
      this->change();
      NextChangeAt += this->Setup.ChangeInterval;
    }
    for (const std::unique_ptr<Node> &Each : this->Nodes)
      this->step(*Each);
  }
}

void FleetStartModel::step(Node &Each) {
  if (this->Now < Each.ReadAt)
    return;
  if (Each.Known == 0)
    this->start(Each);
  if (!Each.IsRegistered && this->Now >= Each.RegisterAt) {
    Each.IsRegistered = true;
    this->change();
    this->Registered.emplace_back(
        this->WrittenAt.size() - 1,
        std::find_if(this->Nodes.begin(), this->Nodes.end(),
                     [&](const auto &Other) { return Other.get() == &Each; }) -
            this->Nodes.begin());
  }
  this->receive(Each);
  this->fetch(Each);
  if (Each.IsCalling)
    this->finishCall(Each);
  else if (this->Now >= Each.NextLookAt)
    this->watch(Each);
  this->measure(Each);
}

void FleetStartModel::start(Node &Each) {
  this->learn(Each, this->WrittenAt.size() - 1);
  Each.RegisterAt = this->Now + this->draw(5, 30);
}

/// Makes a daemon know the store up to a revision, and with it who is
/// registered.
void FleetStartModel::learn(Node &Each, uint64_t Revision) {
  const bool IsFirst = Each.Known == 0;
  Each.Known = std::max(Each.Known, Revision);
  Each.Age.recordProgress(this->at(Each.Known));
  size_t Known = Each.KnownDaemons;
  while (Known < this->Registered.size() &&
         this->Registered[Known].first <= Each.Known)
    ++Known;
  if (Known == Each.KnownDaemons && !IsFirst)
    return;
  Each.KnownDaemons = Known;
  std::vector<std::string> HallDaemons;
  for (size_t I = 0; I < Known; ++I) {
    const Node &Other = *this->Nodes[this->Registered[I].second];
    if (Other.Hall == Each.Hall)
      HallDaemons.push_back(Other.Name);
  }
  Each.Election.setHallDaemons(HallDaemons, this->Now);
}

void FleetStartModel::receive(Node &Each) {
  while (!Each.Inbox.empty() && Each.Inbox.front().DueAt <= this->Now) {
    const Message Given = Each.Inbox.front();
    Each.Inbox.pop_front();
    const std::string &From = this->Nodes[Given.From]->Name;
    Each.Election.recordWatcher(From, Given.HeardAt);
    Each.Age.recordReport(Given.AsOf, Given.HeardAt, this->at(Each.Known));
    Each.Announced.insert(Given.From);
    Each.Ahead.recordPeer(From, true, Given.AsOf, this->at(Each.Known),
                          this->Now);
  }
}

/// Fetches from a peer that is ahead what this daemon lacks.
void FleetStartModel::fetch(Node &Each) {
  if (Each.FetchedAt) {
    if (this->Now < *Each.FetchedAt)
      return;
    Each.FetchedAt.reset();
    this->learn(Each, this->Nodes[Each.FetchFrom]->Known);
  }
  const auto BehindSince = Each.Ahead.getBehindSince(this->at(Each.Known));
  if (!BehindSince ||
      (Each.IsAnswered && this->Now - *BehindSince < LocalWatchTime))
    return;
  const auto Name = Each.Ahead.choosePeer(this->at(Each.Known), this->Now);
  if (!Name)
    return;
  const size_t Peer = std::stoul(Name->substr(1));
  if (Each.Announced.count(Peer) == 0) {
    Each.Ahead.forget(*Name);
    return;
  }
  Each.FetchFrom = Peer;
  Each.FetchedAt = this->Now + this->draw(5, 40);
}

void FleetStartModel::watch(Node &Each) {
  Each.Role = Each.Election.getRole(this->Now);
  if (Each.Role == WatchRole::Follow) {
    this->follow(Each);
    return;
  }
  this->call(Each, Each.IsAnswered ? getWait(Each.Role) : fromMillis(1));
}

void FleetStartModel::follow(Node &Each) {
  Each.IsAnswered = false;
  Each.NextLookAt = this->Now + RoleInterval;
  if (!Each.Age.isCheckDue(Each.Ahead.getBehindSince(this->at(Each.Known)),
                           this->Now))
    return;
  Each.Age.recordCheck(this->Now);
  this->call(Each, fromMillis(1));
}

void FleetStartModel::call(Node &Each, Duration Wait) {
  ++this->Calls;
  Each.IsCalling = true;
  Each.AnswerAt.reset();
  Each.WaitEndsAt = this->Now + Wait;
}

/// Ends a call as soon as there is something new, or its wait is over.
void FleetStartModel::finishCall(Node &Each) {
  const uint64_t Newest = this->WrittenAt.size() - 1;
  if (!Each.AnswerAt && (Newest > Each.Known || this->Now >= Each.WaitEndsAt))
    Each.AnswerAt = this->Now + this->draw(4, 15);
  if (!Each.AnswerAt || this->Now < *Each.AnswerAt)
    return;
  const bool IsNew = Newest > Each.Known;
  Each.IsCalling = false;
  Each.IsAnswered = Each.Role != WatchRole::Follow;
  this->learn(Each, Newest);
  Each.Age.recordReport(this->at(Newest), this->Now, this->at(Newest));
  Each.NextLookAt =
      this->Now + (IsNew ? getCoalesceTime(Each.Role) : Duration::zero());
  if (Each.IsAnswered)
    this->announce(Each);
}

/// Tells the known daemons of the hall what the store answered.
void FleetStartModel::announce(const Node &Each) {
  for (size_t I = 0; I < Each.KnownDaemons; ++I) {
    Node &Other = *this->Nodes[this->Registered[I].second];
    if (Other.Hall != Each.Hall || &Other == &Each)
      continue;
    Other.Inbox.push_back({this->Now + this->draw(1, 5),
                           static_cast<size_t>(std::stoul(Each.Name.substr(1))),
                           this->at(Each.Known), this->Now});
  }
}

void FleetStartModel::measure(const Node &Each) {
  if (Each.Known + 1 < this->WrittenAt.size())
    this->LongestAge =
        std::max(this->LongestAge, this->Now - this->WrittenAt[Each.Known + 1]);
}

} // namespace canvaswick
