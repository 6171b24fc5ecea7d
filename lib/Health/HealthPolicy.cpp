//===- HealthPolicy.cpp - Policies for server shares ----------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Implements the dispatch over the policies, and the two reference policies
/// with which PooledPolicy is compared.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Health/HealthPolicy.h"
#include "canvaswick/Support/EnumNames.h"

#include <algorithm>
#include <cassert>

namespace canvaswick {

static constexpr EnumNames<PolicyKind, 3> PolicyKindNames = {{
    {PolicyKind::None, "none"},
    {PolicyKind::Baseline, "baseline"},
    {PolicyKind::Pooled, "pooled"},
}};

static constexpr EnumNames<ShareReason, 11> ShareReasonNames = {{
    {ShareReason::Healthy, "healthy"},
    {ShareReason::LocalEvidence, "own-evidence"},
    {ShareReason::HallEvidence, "hall-evidence"},
    {ShareReason::FleetEvidence, "fleet-evidence"},
    {ShareReason::Leaving, "leaving"},
    {ShareReason::KeptByFloor, "kept-by-floor"},
    {ShareReason::ServerBackoff, "resting"},
    {ShareReason::Limited, "limited"},
    {ShareReason::Cold, "cold"},
    {ShareReason::HallDrained, "hall-drained"},
    {ShareReason::Gone, "gone"},
}};

const char *getName(PolicyKind Kind) {
  return getEnumName(PolicyKindNames, Kind);
}

const char *getName(ShareReason Reason) {
  return getEnumName(ShareReasonNames, Reason);
}

std::optional<PolicyKind> findPolicyKind(const std::string &Name) {
  return findEnumValue(PolicyKindNames, Name);
}

HealthPolicy makeHealthPolicy(PolicyKind Kind, PolicySetup Setup) {
  switch (Kind) {
  case PolicyKind::None:
    return NonePolicy(std::move(Setup));
  case PolicyKind::Baseline:
    return BaselinePolicy(std::move(Setup));
  case PolicyKind::Pooled:
    return PooledPolicy(std::move(Setup));
  }
  assert(false && "policy kind without a policy");
  return NonePolicy(std::move(Setup));
}

void recordOutcome(HealthPolicy &Policy, size_t Server, RequestOutcome Outcome,
                   TimePoint Now) {
  std::visit([&](auto &Any) { Any.recordOutcome(Server, Outcome, Now); },
             Policy);
}

void setLeaving(HealthPolicy &Policy, size_t Server, bool IsLeaving,
                TimePoint Now) {
  std::visit([&](auto &Any) { Any.setLeaving(Server, IsLeaving, Now); },
             Policy);
}

void advancePolicy(HealthPolicy &Policy, TimePoint Now) {
  std::visit([&](auto &Any) { Any.advance(Now); }, Policy);
}

double getShare(const HealthPolicy &Policy, size_t Server) {
  return std::visit([&](const auto &Any) { return Any.getShare(Server); },
                    Policy);
}

NonePolicy::NonePolicy(PolicySetup Setup)
    : Leaving(Setup.Servers.size(), false) {}

void NonePolicy::recordOutcome(size_t, RequestOutcome, TimePoint) {}

void NonePolicy::setLeaving(size_t Server, bool IsLeaving, TimePoint) {
  this->Leaving[Server] = IsLeaving;
}

void NonePolicy::advance(TimePoint) {}

double NonePolicy::getShare(size_t Server) const {
  return this->Leaving[Server] ? 0 : 1;
}

static constexpr int BaselineFailuresInRow = 5;
static constexpr Duration BaselineRemoval = fromSeconds(30);
static constexpr size_t BaselineMaxPercent = 10;

BaselinePolicy::BaselinePolicy(PolicySetup Setup)
    : Servers(Setup.Servers.size()) {}

size_t BaselinePolicy::countRemoved() const {
  return static_cast<size_t>(
      std::count_if(this->Servers.begin(), this->Servers.end(),
                    [](const ServerState &State) { return State.IsRemoved; }));
}

void BaselinePolicy::recordOutcome(size_t Server, RequestOutcome Outcome,
                                   TimePoint Now) {
  ServerState &State = this->Servers[Server];
  if (Outcome == RequestOutcome::Good)
    State.FailuresInRow = 0;
  const bool IsFailed = isFailure(Outcome) || isServerMissing(Outcome);
  if (!IsFailed || State.IsRemoved)
    return;
  if (++State.FailuresInRow < BaselineFailuresInRow)
    return;
  const size_t Allowed =
      std::max<size_t>(1, this->Servers.size() * BaselineMaxPercent / 100);
  if (this->countRemoved() >= Allowed)
    return;
  State.IsRemoved = true;
  State.FailuresInRow = 0;
  ++State.Removals;
  State.RemovedUntil = Now + BaselineRemoval * State.Removals;
}

void BaselinePolicy::setLeaving(size_t Server, bool IsLeaving, TimePoint) {
  this->Servers[Server].IsLeaving = IsLeaving;
}

void BaselinePolicy::advance(TimePoint Now) {
  for (ServerState &State : this->Servers)
    if (State.IsRemoved && Now >= State.RemovedUntil)
      State.IsRemoved = false;
}

double BaselinePolicy::getShare(size_t Server) const {
  const ServerState &State = this->Servers[Server];
  return State.IsRemoved || State.IsLeaving ? 0 : 1;
}

} // namespace canvaswick
