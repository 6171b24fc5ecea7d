//===- RequestProxy.h - One caller's request from end to end ----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Routes, admits, claims, tries, relays and gives the final answer. Every
/// refusal says whether the request was run and when to come back.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_REQUESTPROXY_H
#define CANVASWICK_PROXY_REQUESTPROXY_H

#include "canvaswick/Claims/ClaimGate.h"
#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Metrics/Counters.h"
#include "canvaswick/Proxy/AnswerRelay.h"
#include "canvaswick/Proxy/FleetRuntime.h"
#include "canvaswick/Proxy/OrganisationGate.h"
#include "canvaswick/Proxy/ProxyOptions.h"
#include "canvaswick/Proxy/RequestGuard.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace canvaswick {

/// Names a request that must not run twice.
inline constexpr const char *IdempotencyHeader = "Idempotency-Key";

/// What a caller can rely on after a failure.
enum class RunOutcome : uint8_t { NotRun, NotKnown, Ran };

/// Returns the name of an outcome as the header carries it.
const char *getName(RunOutcome Outcome);

/// Proxies requests. Thread-safe.
class RequestProxy {
public:
  /// All references must outlive the proxy. Claims may be null: then no route
  /// of the class once takes a key.
  RequestProxy(std::string DaemonName, const FleetRuntimeSlot &Fleet,
               ConnectionPool &Upstreams, CounterTable &Counters,
               ClaimGate *Claims, ProxyOptions Options = {});

  /// Handles one request, whatever becomes of it.
  void handle(HttpExchange &Exchange);

  /// Takes new limits of organisations.
  void configure(const FleetConfig &Config);

  /// Asks peers for the right to a repeat of a service, and waits a little.
  using RepeatSource = std::function<bool(ServiceRuntime &, TimePoint)>;

  /// Sets whom to ask when the daemon's own part of the fleet's repeats is used
  /// up. Called before the first request.
  void setRepeatSource(RepeatSource Source) {
    this->Borrow = std::move(Source);
  }

  /// Called after an attempt has begun or ended, on the request's thread.
  using ChangeListener = std::function<void(TimePoint)>;

  /// Sets who hears of attempts. Called before the first request.
  void setChangeListener(ChangeListener Listener) {
    this->Listener = std::move(Listener);
  }

  /// Returns what organisations may send.
  OrganisationGate &getOrganisations() { return this->Organisations; }

  /// Returns what is known of requests under which servers end.
  RequestGuard &getGuard() { return this->Guard; }

  /// Breaks nothing off any more that a server works on. Requests that come
  /// from now on get their final answer before Until.
  void beginStop(TimePoint Until) {
    this->StopUntil = Until;
    this->IsStopping = true;
  }

  /// Refuses at once, from now on, what may take longer than until the end that
  /// beginStop has set. Where fewer than half of a hall's daemons are ready the
  /// balancer sends to all of them, also to one that has half a second left.
  void endTaking() { this->HasEndedTaking = true; }

  /// Forgets organisations that are idle.
  void forgetIdle(TimePoint Now);

private:
  struct Flow;

  // RequestProxy.cpp: the steps, and final answers.
  bool findRoute(Flow &Request);
  bool boundByStop(Flow &Request);
  ServiceRuntimeRef chooseService(const FleetRuntime &Runtime,
                                  const RouteConfig &Route);
  bool passGuard(Flow &Request);
  void refuseHeldBack(Flow &Request);
  void serve(Flow &Request);
  void finish(Flow &Request, AnswerRelay &Relay);
  void logEnd(const Flow &Request, const AnswerRelay &Relay, TimePoint Now);
  void refuse(HttpExchange &Exchange, int Status, RunOutcome Outcome,
              const char *Reason, Duration Wait);
  void refuseUnadmitted(Flow &Request, Refusal Refused, Duration Wait);
  void refuseUnserved(Flow &Request);
  std::string formatRetryAfter(Duration Wait) const;

  // RequestOrganisation.cpp.
  bool findOrganisation(Flow &Request);
  bool isKeyInForce(const Flow &Request) const;
  bool admitOrganisation(Flow &Request);
  void giveBackUnrun(Flow &Request, TimePoint Now);

  // RequestBody.cpp.
  bool readBody(Flow &Request);
  void digest(Flow &Request) const;
  bool collectBody(Flow &Request, uint64_t Limit);
  void refuseBody(Flow &Request, int Status, const char *Reason);
  void streamBody(Flow &Request, OutgoingRequest &Outgoing) const;

  // RequestClaims.cpp.
  bool claim(Flow &Request);
  ClaimVerdict beginClaim(Flow &Request);
  void answerFromClaim(Flow &Request, const ClaimVerdict &Verdict);
  void settleClaim(Flow &Request, const AnswerRelay &Relay);

  // RequestRepeats.cpp.
  bool hasTryLeft(const Flow &Request, const AnswerRelay &Relay,
                  size_t Unreachable, TimePoint Now) const;
  size_t getMaxAttempts(const Flow &Request) const;
  TimePoint chooseAttemptDeadline(Flow &Request, const AnswerRelay &Relay,
                                  TimePoint Now, bool &IsPatience) const;
  TimePoint extendPatience(Flow &Request, const Attempt &Current,
                           bool &IsPatience);
  bool takeRepeat(ServiceRuntime &Service, bool IsUnrun, TimePoint Now);
  bool mayTryAgain(Flow &Request, const AnswerRelay &Relay);

  // RequestAttempts.cpp.
  void runAttempts(Flow &Request, AnswerRelay &Relay);
  void tellChange(TimePoint Now) const;
  void hearServer(const Flow &Request, Attempt &Current,
                  const std::string &RequestId,
                  const httplib::Response &Response);
  RequestOutcome tryOnce(Flow &Request, AnswerRelay &Relay, Attempt &Current);
  RelayRules makeRelayRules(const Flow &Request) const;
  OutgoingRequest buildOutgoing(Flow &Request, const AnswerRelay &Relay,
                                const ServerConfig &Server,
                                const std::string &RequestId) const;
  void addServerHeaders(Flow &Request, const ServerConfig &Server,
                        const std::string &RequestId,
                        OutgoingRequest &Outgoing) const;
  bool isHeldBackNow(Flow &Request, TimePoint Now) const;
  RequestOutcome tellGuard(Flow &Request, const Attempt &Ended,
                           RequestOutcome Outcome, TimePoint Now);
  RequestOutcome judge(Flow &Request, const AnswerRelay &Relay,
                       const ExchangeResult &Result);
  RequestOutcome judgeAnswer(Flow &Request, const AnswerRelay &Relay);
  static void addToTrail(Flow &Request, const Attempt &Ended,
                         RequestOutcome Outcome, Duration Took);

  const std::string DaemonName;
  const FleetRuntimeSlot &Fleet;
  ConnectionPool &Upstreams;
  CounterTable &Counters;
  ClaimGate *Claims;
  const ProxyOptions Options;
  RequestGuard Guard;
  /// Since when there have been no settings, while there are none.
  const TimePoint Started;
  /// Empty where nobody lends.
  RepeatSource Borrow;
  ChangeListener Listener;
  /// Spreads the requests of split routes evenly over their parts.
  std::atomic<uint32_t> NextSplit{0};
  OrganisationGate Organisations;
  std::atomic<uint64_t> NextRequest{1};
  std::atomic<bool> IsStopping{false};
  std::atomic<bool> HasEndedTaking{false};
  /// When a stopping daemon has given its last answers.
  std::atomic<TimePoint> StopUntil{TimePoint::max()};
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_REQUESTPROXY_H
