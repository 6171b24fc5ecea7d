//===- Placement.h - Places a request on a server ---------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Chooses a server for a request by what the request may expect there. It
/// answers demand that needs only a part of a service's slots while servers
/// fail in turns: requests stay on servers that have answered lately, of two
/// drawn ones the least loaded one is taken, and the servers in use grow before
/// their slots run out.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_ROUTING_PLACEMENT_H
#define CANVASWICK_ROUTING_PLACEMENT_H

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>

namespace canvaswick {

/// What a daemon knows of one server when it places a request.
struct PlacementCandidate {
  /// The index of the server in its service.
  size_t Server = 0;
  /// The probability that the server is unhealthy.
  double UnhealthyProbability = 0;
  /// The probability that the server answers.
  double AnswerProbability = 1;
  /// The expected utility of an answer, from 0 to 1: less if it may be late.
  double TimeUtility = 1;
  /// The number of requests at the server.
  double Load = 0;
  int Slots = 1;
  bool IsSameHall = true;
  /// The fraction of its usual requests that a cold server bears.
  double Warmth = 1;
  /// The fraction of requests that the server accepts, from what it rejected
  /// lately.
  double Acceptance = 1;
  /// Whether the server has joined the service and was never used by the hall.
  bool IsNewcomer = false;
  /// Whether the operators' floor requires a request to the server soon.
  bool IsDueForFloor = false;
};

/// The properties of a request that matter for its place.
struct PlacementNeeds {
  /// Whether the request is lost if the server fails.
  bool IsFailureFinal = true;
  /// Whether the request may be sent to learn about a server: not if it has
  /// failed at another one.
  bool MayTest = true;
  /// Whether its bytes are many, so that another hall is out of the question.
  bool IsLarge = false;
};

/// Why a request was placed on a server.
enum class PlacementReason : uint8_t {
  /// The server has answered lately and has a free slot.
  Proved,
  /// The server has answered lately, and the request waits for a slot.
  Queued,
  /// No server that has answered lately promised more.
  Unproved,
  /// Few slots are free at servers that have answered lately.
  Growth,
  /// The server has joined the service.
  Newcomer,
  /// The operators' floor requires that the server is used.
  Floor,
};

/// Returns the name of a reason as it appears in logs.
const char *getName(PlacementReason Reason);

/// Returns whether a request was placed to learn about the server.
bool isTest(PlacementReason Reason);

/// The place of a request.
struct PlacedRequest {
  size_t Server = 0;
  PlacementReason Reason = PlacementReason::Proved;
  /// What the place promises, at most 1.
  double Value = 0;
};

/// The values of one request at several servers.
class Placement {
public:
  /// The candidates must outlive the object.
  Placement(std::span<const PlacementCandidate> Candidates,
            PlacementNeeds Needs);

  /// Chooses a server. Returns false if there is no candidate.
  bool choose(PlacedRequest &Placed, std::mt19937_64 &Random) const;

  /// Returns what a candidate promises: at most 1, and less for a server that
  /// may fail, is loaded, cold or in another hall.
  double getValue(const PlacementCandidate &Candidate) const;

  /// Returns which part of the free slots is lacking that the hall should have
  /// at servers that have answered lately, from 0 to 1.
  double getShortage() const;

private:
  template <typename Predicate>
  const PlacementCandidate *draw(Predicate IsEligible,
                                 std::mt19937_64 &Random) const;
  const PlacementCandidate *drawDue(std::mt19937_64 &Random) const;
  double getIdleValue(const PlacementCandidate &Candidate) const;

  std::span<const PlacementCandidate> Candidates;
  PlacementNeeds Needs;
  /// The mean over the candidates: a service that rejects requests everywhere
  /// leaves no better choice.
  double Acceptance = 0;
};

/// Returns the highest value that a server of another hall can have.
double getHighestRemoteValue();

} // namespace canvaswick

#endif // CANVASWICK_ROUTING_PLACEMENT_H
