//===- ServiceRuntime.h - One service as a daemon runs it -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The decision objects of one service behind one mutex: who gets the next
/// request, what is admitted, what the outcomes showed. Shared by counted
/// references; requests in flight keep the one they began with.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_SERVICERUNTIME_H
#define CANVASWICK_PROXY_SERVICERUNTIME_H

#include "canvaswick/Admission/Limits.h"
#include "canvaswick/Health/HealthPolicy.h"
#include "canvaswick/Metrics/ServiceMetrics.h"
#include "canvaswick/Routing/ServerSelector.h"
#include "canvaswick/Routing/SubsetChooser.h"

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace canvaswick {

/// One try of a request at one server, while it is in flight. Linked into its
/// service so that late ones are noticed before they end.
struct Attempt : boost::intrusive::list_base_hook<> {
  size_t Server = 0;
  TimePoint Began{};
  bool IsNotedLate = false;
};

/// What an operator may ask about one server.
struct ServerStatus {
  std::string Name;
  Endpoint Address;
  int InFlight = 0;
  ShareExplanation Explanation;
};

/// Who runs the service: what all services of a daemon share.
struct DaemonIdentity {
  std::string Name;
  std::string Hall;
  std::vector<std::string> Daemons;
  int ExpectedDaemons = 1;
  /// Calendar time of the process's start, in milliseconds.
  uint64_t StartMillis = 0;
};

class ServiceRuntime;

/// A counted reference to a ServiceRuntime.
using ServiceRuntimeRef = boost::intrusive_ptr<ServiceRuntime>;

/// The live state of one service. Thread-safe; its mutex is the innermost one:
/// no other lock is taken while it is held.
class ServiceRuntime : public boost::intrusive_ref_counter<ServiceRuntime> {
public:
  /// Takes over the evidence of Previous, which may be null, for the servers
  /// that are in both.
  ServiceRuntime(ServiceConfig Config, const DaemonIdentity &Identity,
                 const ServiceRuntime *Previous, TimePoint Now);

  /// Admits a request. On refusal says when to come back.
  Refusal admit(Duration Left, TimePoint Now, Duration &Wait);

  /// Ends an admitted request and counts it.
  void finish(AnswerKind Kind, Duration Latency, TimePoint Now);

  /// Chooses a server and links Next, or returns false if none can take it.
  /// Tried holds the servers that were tried before.
  bool begin(Attempt &Next, const std::vector<size_t> &Tried, TimePoint Now);

  /// Unlinks an attempt and takes its outcome as evidence.
  void end(Attempt &Ended, RequestOutcome Outcome, TimePoint Now);

  /// Takes the right to one repeat.
  bool tryRepeat(TimePoint Now);

  /// Notes attempts that are already late and moves the policy on.
  void advance(TimePoint Now);

  /// Returns a report for the owners of the pool if one is due.
  std::optional<EvidenceReport> makeReport(TimePoint Now);

  /// Takes a digest of an owner.
  void takeDigest(const EvidenceDigest &Digest, TimePoint Now);

  /// Marks servers as leaving, by what the platform or the server itself said.
  void setLeavingAddresses(const std::set<std::string> &Addresses,
                           TimePoint Now);

  /// Takes a load report of a server.
  void noteLoad(size_t Server, double Load, TimePoint Now);

  /// Returns what an operator may know.
  std::vector<ServerStatus> describe() const;

  const ServiceConfig &getConfig() const { return this->Config; }
  const ServerSubset &getSubset() const { return this->Subset; }
  ServiceMetrics &getMetrics() { return *this->Metrics; }
  const ServerConfig &getServer(size_t Index) const;

  /// Returns how many servers this daemon uses.
  size_t countServers() const { return this->Subset.Servers.size(); }

  /// Returns whether it is for this configuration and these daemons already.
  bool isFor(const ServiceConfig &Config, const DaemonIdentity &Identity) const;

private:
  using AttemptList = boost::intrusive::list<Attempt>;

  std::vector<SelectableServer> makeSelectable(const DaemonIdentity &Identity,
                                               const ServiceRuntime *Previous,
                                               TimePoint Now) const;
  PolicySetup makeSetup(const DaemonIdentity &Identity) const;
  void applyLeaving(size_t Server, TimePoint Now);

  const ServiceConfig Config;
  const ServerSubset Subset;
  mutable std::mutex Mutex;
  PooledPolicy Policy;
  ServerSelector Selector;
  LatencyTracker Latency;
  RetryBudget Retries;
  InFlightLimit InFlight;
  RandomSource Random;
  AttemptList Attempts;
  std::vector<bool> LeavingByList;
  std::vector<bool> IsLeaving;
  std::shared_ptr<ServiceMetrics> Metrics;
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_SERVICERUNTIME_H
