//===- MemberTable.h - Which daemons there are ------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The membership of the fleet as one daemon sees it. Daemons ping each other
/// at random, ask others to ping one that does not answer, suspect before they
/// drop, and pass only changes on, so that the traffic of each stays the same
/// however many there are. The object decides; the daemon sends.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_MEMBERSHIP_MEMBERTABLE_H
#define CANVASWICK_MEMBERSHIP_MEMBERTABLE_H

#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace canvaswick {

/// Where a member stands. At the same incarnation a later one wins.
enum class MemberState : uint8_t { Alive, Suspect, Leaving, Dead };

/// Returns the name of a state as reports and messages carry it.
const char *getName(MemberState State);

/// Returns the state called Name, or nothing.
std::optional<MemberState> findMemberState(const std::string &Name);

/// What daemons tell each other about one of them.
struct MemberRecord {
  std::string Name;
  std::string Hall;
  Endpoint Control;
  /// Begins at the calendar time of the process's start and grows when the
  /// member refutes what is said of it.
  uint64_t Incarnation = 0;
  MemberState State = MemberState::Alive;

  bool operator==(const MemberRecord &) const = default;
};

/// How quickly members are suspected and dropped.
struct MembershipTuning {
  Duration SuspectTimeout = fromSeconds(4);
  Duration DeadRetention = fromSeconds(600);
  /// Each change is passed on this many times for each doubling of the fleet.
  int SendsPerDoubling = 3;
  size_t ChangesPerMessage = 12;
};

/// The members as one daemon sees them.
class MemberTable {
public:
  MemberTable(MemberRecord Self, MembershipTuning Tuning, TimePoint Now);

  /// Takes what another daemon said. Returns whether it was news.
  bool applyRecord(const MemberRecord &Record, TimePoint Now);

  /// Notes that a member answered or called us.
  void recordContact(const std::string &Name, TimePoint Now);

  /// Notes that neither we nor the ones we asked reached a member.
  void recordUnreachable(const std::string &Name, TimePoint Now);

  /// Marks this daemon as leaving.
  void leave();

  /// Drops members that stayed suspect too long. Returns how many.
  size_t advance(TimePoint Now);

  /// Returns the next member to ping, or nothing when alone. Each member comes
  /// up once a round, in a new random order each round.
  std::optional<MemberRecord> choosePingTarget(std::mt19937_64 &Random);

  /// Returns up to Count other members at random, without Except.
  std::vector<MemberRecord> choose(size_t Count, const std::string &Except,
                                   std::mt19937_64 &Random) const;

  /// Returns the changes to put into a message to Receiver.
  std::vector<MemberRecord> collectChanges(const std::string &Receiver);

  /// Returns all records that are not dead, our own included.
  std::vector<MemberRecord> getAll() const;

  /// Returns the names of members that share the work: alive or suspect, our
  /// own included, in order.
  std::vector<std::string> getWorking() const;

  /// Returns a member's record, or nothing.
  std::optional<MemberRecord> find(const std::string &Name) const;

  const MemberRecord &getSelf() const { return this->Self; }

  /// Grows whenever getWorking changes.
  uint64_t getWorkingVersion() const { return this->WorkingVersion; }

private:
  struct Member {
    MemberRecord Record;
    TimePoint StateSince{};
    int SendsLeft = 0;
  };

  void scheduleSends(Member &Changed);
  int computeSendCount() const;
  void refute(const MemberRecord &Record);

  MemberRecord Self;
  int SelfSendsLeft = 0;
  const MembershipTuning Tuning;
  std::map<std::string, Member> Members;
  std::vector<std::string> PingRound;
  uint64_t WorkingVersion = 1;
};

} // namespace canvaswick

#endif // CANVASWICK_MEMBERSHIP_MEMBERTABLE_H
