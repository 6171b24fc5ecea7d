//===- MemberTable.cpp - Which daemons there are --------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The precedence of records, suspicion, refutation and the spread of changes.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Membership/MemberTable.h"
#include "canvaswick/Support/EnumNames.h"

#include <algorithm>

namespace canvaswick {

static constexpr EnumNames<MemberState, 4> MemberStateNames = {{
    {MemberState::Alive, "alive"},
    {MemberState::Suspect, "suspect"},
    {MemberState::Leaving, "leaving"},
    {MemberState::Dead, "dead"},
}};

const char *getName(MemberState State) {
  return getEnumName(MemberStateNames, State);
}

std::optional<MemberState> findMemberState(const std::string &Name) {
  return findEnumValue(MemberStateNames, Name);
}

static bool isWorking(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Suspect;
}

/// Returns whether Left says more than Right about the same member.
static bool isNewer(const MemberRecord &Left, const MemberRecord &Right) {
  if (Left.Incarnation != Right.Incarnation)
    return Left.Incarnation > Right.Incarnation;
  return Left.State > Right.State;
}

MemberTable::MemberTable(MemberRecord Self, MembershipTuning Tuning, TimePoint)
    : Self(std::move(Self)), Tuning(Tuning) {
  this->SelfSendsLeft = this->computeSendCount();
}

int MemberTable::computeSendCount() const {
  int Doublings = 1;
  for (size_t Size = this->Members.size() + 1; Size > 1; Size /= 2)
    ++Doublings;
  return Doublings * this->Tuning.SendsPerDoubling;
}

void MemberTable::scheduleSends(Member &Changed) {
  Changed.SendsLeft = this->computeSendCount();
}

/// Answers what is wrongly said of ourselves with a higher incarnation.
void MemberTable::refute(const MemberRecord &Record) {
  const bool IsRightAlready =
      isNewer(this->Self, Record) || Record.State == this->Self.State;
  if (IsRightAlready && Record.Incarnation <= this->Self.Incarnation)
    return;
  this->Self.Incarnation = Record.Incarnation + 1;
  this->SelfSendsLeft = this->computeSendCount();
}

bool MemberTable::applyRecord(const MemberRecord &Record, TimePoint Now) {
  if (Record.Name == this->Self.Name) {
    this->refute(Record);
    return false;
  }
  const auto Found = this->Members.find(Record.Name);
  if (Found == this->Members.end()) {
    // A dead member that nobody here knew is nobody's news.
    if (Record.State == MemberState::Dead)
      return false;
    Member &Added = this->Members[Record.Name];
    Added.Record = Record;
    Added.StateSince = Now;
    this->scheduleSends(Added);
    if (isWorking(Record.State))
      ++this->WorkingVersion;
    return true;
  }
  Member &Known = Found->second;
  if (!isNewer(Record, Known.Record))
    return false;
  if (isWorking(Known.Record.State) != isWorking(Record.State))
    ++this->WorkingVersion;
  Known.Record = Record;
  Known.StateSince = Now;
  this->scheduleSends(Known);
  return true;
}

void MemberTable::recordContact(const std::string &Name, TimePoint Now) {
  // Being heard proves nothing about whether it hears us, and suspicion ends
  // only by the member's own word; but the time to drop it starts anew.
  const auto Found = this->Members.find(Name);
  if (Found != this->Members.end() &&
      Found->second.Record.State == MemberState::Suspect)
    Found->second.StateSince = Now;
}

void MemberTable::recordUnreachable(const std::string &Name, TimePoint Now) {
  const auto Found = this->Members.find(Name);
  if (Found == this->Members.end() ||
      Found->second.Record.State != MemberState::Alive)
    return;
  Found->second.Record.State = MemberState::Suspect;
  Found->second.StateSince = Now;
  this->scheduleSends(Found->second);
}

void MemberTable::leave() {
  this->Self.State = MemberState::Leaving;
  ++this->Self.Incarnation;
  this->SelfSendsLeft = this->computeSendCount();
  ++this->WorkingVersion;
}

size_t MemberTable::advance(TimePoint Now) {
  size_t Lost = 0;
  for (auto &[Name, Each] : this->Members) {
    const bool IsOverdue = Now - Each.StateSince >= this->Tuning.SuspectTimeout;
    const bool MayDie = Each.Record.State == MemberState::Suspect ||
                        Each.Record.State == MemberState::Leaving;
    if (!MayDie || !IsOverdue)
      continue;
    if (isWorking(Each.Record.State)) {
      ++this->WorkingVersion;
      ++Lost;
    }
    Each.Record.State = MemberState::Dead;
    Each.StateSince = Now;
    this->scheduleSends(Each);
  }
  std::erase_if(this->Members, [&](const auto &Entry) {
    return Entry.second.Record.State == MemberState::Dead &&
           Now - Entry.second.StateSince >= this->Tuning.DeadRetention;
  });
  return Lost;
}

std::optional<MemberRecord>
MemberTable::choosePingTarget(std::mt19937_64 &Random) {
  for (int Round = 0; Round < 2; ++Round) {
    while (!this->PingRound.empty()) {
      const std::string Name = this->PingRound.back();
      this->PingRound.pop_back();
      const auto Found = this->Members.find(Name);
      if (Found != this->Members.end() &&
          Found->second.Record.State != MemberState::Dead)
        return Found->second.Record;
    }
    for (const auto &[Name, Each] : this->Members)
      if (Each.Record.State != MemberState::Dead)
        this->PingRound.push_back(Name);
    std::shuffle(this->PingRound.begin(), this->PingRound.end(), Random);
  }
  return std::nullopt;
}

std::vector<MemberRecord> MemberTable::choose(size_t Count,
                                              const std::string &Except,
                                              std::mt19937_64 &Random) const {
  std::vector<MemberRecord> Candidates;
  for (const auto &[Name, Each] : this->Members)
    if (Name != Except && isWorking(Each.Record.State))
      Candidates.push_back(Each.Record);
  std::vector<MemberRecord> Chosen;
  std::sample(Candidates.begin(), Candidates.end(), std::back_inserter(Chosen),
              Count, Random);
  return Chosen;
}

std::vector<MemberRecord>
MemberTable::collectChanges(const std::string &Receiver) {
  std::vector<MemberRecord> Changes = {this->Self};
  // Whoever is wrongly thought gone must hear of it to refute it.
  const auto Known = this->Members.find(Receiver);
  if (Known != this->Members.end() &&
      Known->second.Record.State != MemberState::Alive)
    Changes.push_back(Known->second.Record);
  for (auto &[Name, Each] : this->Members) {
    if (Changes.size() >= this->Tuning.ChangesPerMessage)
      break;
    if (Each.SendsLeft <= 0 || Name == Receiver)
      continue;
    --Each.SendsLeft;
    Changes.push_back(Each.Record);
  }
  return Changes;
}

std::vector<MemberRecord> MemberTable::getAll() const {
  std::vector<MemberRecord> All = {this->Self};
  for (const auto &[Name, Each] : this->Members)
    if (Each.Record.State != MemberState::Dead)
      All.push_back(Each.Record);
  return All;
}

std::vector<std::string> MemberTable::getWorking() const {
  std::vector<std::string> Names;
  if (isWorking(this->Self.State))
    Names.push_back(this->Self.Name);
  for (const auto &[Name, Each] : this->Members)
    if (isWorking(Each.Record.State))
      Names.push_back(Name);
  std::sort(Names.begin(), Names.end());
  return Names;
}

std::optional<MemberRecord> MemberTable::find(const std::string &Name) const {
  if (Name == this->Self.Name)
    return this->Self;
  const auto Found = this->Members.find(Name);
  if (Found == this->Members.end())
    return std::nullopt;
  return Found->second.Record;
}

} // namespace canvaswick
