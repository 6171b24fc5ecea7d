//===- MemberTable.h - Membership of the fleet at one daemon ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The membership of the fleet as one daemon sees it, in the manner of the SWIM
/// protocol. Each daemon pings random members, asks other members to ping one
/// that does not answer, and suspects a member before it declares it dead.
/// Pings carry only recent changes, so the traffic of a daemon does not grow
/// with the size of the fleet. The table makes the decisions and sends nothing
/// itself; the daemon sends the messages.
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

/// The state of a member. Among records of one incarnation, the state that is
/// listed later here takes precedence.
enum class MemberState : uint8_t { Alive, Suspect, Leaving, Dead };

/// Returns the name of a state as it appears in reports and messages.
const char *getName(MemberState State);

/// Returns the state with the given name, or nothing.
std::optional<MemberState> findMemberState(const std::string &Name);

/// The information about one daemon that daemons exchange.
struct MemberRecord {
  std::string Name;
  std::string Hall;
  Endpoint Control;
  /// Starts at the calendar time of the start of the process and increases when
  /// the member refutes a record about itself.
  uint64_t Incarnation = 0;
  MemberState State = MemberState::Alive;

  bool operator==(const MemberRecord &) const = default;
};

/// The timing of suspicion and of the dissemination of changes.
struct MembershipTuning {
  /// Time after which a suspect or leaving member is declared dead.
  Duration SuspectTimeout = fromSeconds(4);
  /// Time for which the record of a dead member is kept, so that older records
  /// about it are recognised as stale.
  Duration DeadRetention = fromSeconds(600);
  /// Each change is sent this many times per doubling of the fleet size.
  int SendsPerDoubling = 3;
  size_t ChangesPerMessage = 12;
};

/// The members of the fleet as one daemon sees them. Not thread-safe.
class MemberTable {
public:
  MemberTable(MemberRecord Self, MembershipTuning Tuning, TimePoint Now);

  /// Applies a record received from another daemon. Returns whether it changed
  /// the record of another member. A record about this daemon is refuted if it
  /// is wrong.
  bool applyRecord(const MemberRecord &Record, TimePoint Now);

  /// Records that a message of a member was received. This restarts the timeout
  /// of a suspect member.
  void recordContact(const std::string &Name, TimePoint Now);

  /// Records that neither this daemon nor the members that it asked could reach
  /// a member. An alive member becomes suspect.
  void recordUnreachable(const std::string &Name, TimePoint Now);

  /// Marks this daemon as leaving.
  void leave();

  /// Declares members dead that have been suspect or leaving for too long, and
  /// forgets those that have been dead for too long. Returns how many suspect
  /// members were declared dead.
  size_t advance(TimePoint Now);

  /// Returns the next member to ping, or nothing if there is no other member.
  /// Each member is chosen once per round, and each round has a new random
  /// order.
  std::optional<MemberRecord> choosePingTarget(std::mt19937_64 &Random);

  /// Returns up to Count random other members that are alive or suspect, except
  /// the one named Except.
  std::vector<MemberRecord> choose(size_t Count, const std::string &Except,
                                   std::mt19937_64 &Random) const;

  /// Returns the records to put into a message to Receiver and counts them as
  /// sent. The record of this daemon is always the first.
  std::vector<MemberRecord> collectChanges(const std::string &Receiver);

  /// Returns all records that are not dead, including that of this daemon.
  std::vector<MemberRecord> getAll() const;

  /// Returns the sorted names of the members that share the work: those that
  /// are alive or suspect, including this daemon.
  std::vector<std::string> getWorking() const;

  /// Returns the record of a member, or nothing.
  std::optional<MemberRecord> find(const std::string &Name) const;

  const MemberRecord &getSelf() const { return this->Self; }

  /// Returns a number that increases whenever the result of getWorking changes.
  uint64_t getWorkingVersion() const { return this->WorkingVersion; }

private:
  struct Member {
    MemberRecord Record;
    TimePoint StateSince{};
    int SendsLeft = 0;
  };

  /// Schedules a changed record to be sent to other members.
  void scheduleSends(Member &Changed);
  /// Returns how many times a change is to be sent at the current fleet size.
  int computeSendCount() const;
  void refute(const MemberRecord &Record);

  MemberRecord Self;
  int SelfSendsLeft = 0;
  const MembershipTuning Tuning;
  std::map<std::string, Member> Members;
  /// The members that have not been pinged in the current round.
  std::vector<std::string> PingRound;
  uint64_t WorkingVersion = 1;
};

} // namespace canvaswick

#endif // CANVASWICK_MEMBERSHIP_MEMBERTABLE_H
