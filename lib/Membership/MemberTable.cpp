//===- MemberTable.cpp - Membership of the fleet at one daemon ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the precedence of records, suspicion, refutation and the
/// dissemination of changes.
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

/// Returns whether members in a state share the work of the fleet.
static bool isWorking(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Suspect;
}

/// Returns whether Left takes precedence over Right. Both are records of the
/// same member.
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

/// Refutes a wrong record about this daemon by raising its own incarnation
/// above that of the record.
void MemberTable::refute(const MemberRecord &Record) {
  const bool IsConsistent =
      isNewer(this->Self, Record) || Record.State == this->Self.State;
  if (IsConsistent && Record.Incarnation <= this->Self.Incarnation)
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
    // A dead member that is not in the table changes nothing, so its record is
    // not stored or passed on.
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
  // A message from the member does not show that the member receives messages
  // too. Only a record with a newer incarnation from the member itself ends the
  // suspicion, but the timeout until it is declared dead restarts.
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
    const bool IsTimedOut =
        Now - Each.StateSince >= this->Tuning.SuspectTimeout;
    const bool CanExpire = Each.Record.State == MemberState::Suspect ||
                           Each.Record.State == MemberState::Leaving;
    if (!CanExpire || !IsTimedOut)
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
  // A receiver that is not thought alive gets its own record, so that it can
  // refute the record if it is wrong.
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
