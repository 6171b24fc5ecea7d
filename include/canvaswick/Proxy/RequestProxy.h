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
#include "canvaswick/Proxy/FleetRuntime.h"
#include "canvaswick/Proxy/OrganisationQuotas.h"
#include "canvaswick/Proxy/ProxyOptions.h"
#include "canvaswick/Proxy/RequestQuarantine.h"
#include "canvaswick/Proxy/ResponseRelay.h"

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
  using RetrySource = std::function<bool(ServiceRuntime &, TimePoint)>;

  /// Sets whom to ask when the daemon's own part of the fleet's repeats is used
  /// up. Called before the first request.
  void setRetrySource(RetrySource Source) { this->Borrow = std::move(Source); }

  /// Called after an attempt has begun or ended, on the request's thread.
  using AttemptListener = std::function<void(TimePoint)>;

  /// Sets who hears of attempts. Called before the first request.
  void setAttemptListener(AttemptListener Listener) {
    this->Listener = std::move(Listener);
  }

  /// Returns what organisations may send.
  OrganisationQuotas &getOrganisations() { return this->Organisations; }

  /// Returns what is known of requests under which servers end.
  RequestQuarantine &getQuarantine() { return this->Quarantine; }

  /// Breaks nothing off any more that a server works on. Requests that come
  /// from now on get their final answer before Until.
  void beginStop(TimePoint Until) {
    this->StopUntil = Until;
    this->IsStopping = true;
  }

  /// Refuses at once, from now on, what may take longer than until the end that
  /// beginStop has set. Where fewer than half of a hall's daemons are ready the
  /// balancer sends to all of them, also to one that has half a second left.
  void refuseLateRequests() { this->HasEndedTaking = true; }

  /// Forgets organisations that are idle.
  void forgetIdle(TimePoint Now);

private:
  struct RequestContext;

  // RequestProxy.cpp: the steps, and final answers.
  bool findRoute(RequestContext &Request);
  bool applyStopDeadline(RequestContext &Request);
  ServiceRuntimeRef chooseService(const FleetRuntime &Runtime,
                                  const RouteConfig &Route);
  bool passGuard(RequestContext &Request);
  void refuseHeldBack(RequestContext &Request);
  void serve(RequestContext &Request);
  void finish(RequestContext &Request, ResponseRelay &Relay);
  void logEnd(const RequestContext &Request, const ResponseRelay &Relay,
              TimePoint Now);
  void refuse(HttpExchange &Exchange, int Status, RunOutcome Outcome,
              const char *Reason, Duration Wait);
  void refuseUnadmitted(RequestContext &Request, Refusal Refused,
                        Duration Wait);
  void refuseUnserved(RequestContext &Request);
  std::string formatRetryAfter(Duration Wait) const;

  // RequestOrganisation.cpp.
  bool findOrganisation(RequestContext &Request);
  bool isKeyInForce(const RequestContext &Request) const;
  bool admitOrganisation(RequestContext &Request);
  void refundIfNotRun(RequestContext &Request, TimePoint Now);

  // RequestBody.cpp.
  bool readBody(RequestContext &Request);
  void digest(RequestContext &Request) const;
  bool collectBody(RequestContext &Request, uint64_t Limit);
  void refuseBody(RequestContext &Request, int Status, const char *Reason);
  void streamBody(RequestContext &Request, OutgoingRequest &Outgoing) const;

  // RequestClaims.cpp.
  bool claim(RequestContext &Request);
  ClaimVerdict beginClaim(RequestContext &Request);
  void answerFromClaim(RequestContext &Request, const ClaimVerdict &Verdict);
  void resolveClaim(RequestContext &Request, const ResponseRelay &Relay);

  // RequestRepeats.cpp.
  bool hasAttemptLeft(const RequestContext &Request, const ResponseRelay &Relay,
                      size_t Unreachable, TimePoint Now) const;
  size_t getMaxAttempts(const RequestContext &Request) const;
  TimePoint chooseAttemptDeadline(RequestContext &Request,
                                  const ResponseRelay &Relay, TimePoint Now,
                                  bool &IsPatience) const;
  TimePoint extendPatience(RequestContext &Request, const Attempt &Current,
                           bool &IsPatience);
  bool takeRetry(ServiceRuntime &Service, bool IsUnrun, TimePoint Now);
  bool mayRetry(RequestContext &Request, const ResponseRelay &Relay);

  // RequestAttempts.cpp.
  void runAttempts(RequestContext &Request, ResponseRelay &Relay);
  void tellChange(TimePoint Now) const;
  void handleServerNotice(const RequestContext &Request, Attempt &Current,
                          const std::string &RequestId,
                          const httplib::Response &Response);
  RequestOutcome runAttempt(RequestContext &Request, ResponseRelay &Relay,
                            Attempt &Current);
  RelayOptions makeRelayRules(const RequestContext &Request) const;
  OutgoingRequest buildOutgoing(RequestContext &Request,
                                const ResponseRelay &Relay,
                                const ServerConfig &Server,
                                const std::string &RequestId) const;
  void addServerHeaders(RequestContext &Request, const ServerConfig &Server,
                        const std::string &RequestId,
                        OutgoingRequest &Outgoing) const;
  bool isHeldBackNow(RequestContext &Request, TimePoint Now) const;
  RequestOutcome tellGuard(RequestContext &Request, const Attempt &Ended,
                           RequestOutcome Outcome, TimePoint Now);
  RequestOutcome classifyExchange(RequestContext &Request,
                                  const ResponseRelay &Relay,
                                  const ExchangeResult &Result);
  RequestOutcome classifyResponse(RequestContext &Request,
                                  const ResponseRelay &Relay);
  static void addToTrail(RequestContext &Request, const Attempt &Ended,
                         RequestOutcome Outcome, Duration Took);

  const std::string DaemonName;
  const FleetRuntimeSlot &Fleet;
  ConnectionPool &Upstreams;
  CounterTable &Counters;
  ClaimGate *Claims;
  const ProxyOptions Options;
  RequestQuarantine Quarantine;
  /// Since when there have been no settings, while there are none.
  const TimePoint Started;
  /// Empty where nobody lends.
  RetrySource Borrow;
  AttemptListener Listener;
  /// Spreads the requests of split routes evenly over their parts.
  std::atomic<uint32_t> NextSplit{0};
  OrganisationQuotas Organisations;
  std::atomic<uint64_t> NextRequest{1};
  std::atomic<bool> IsStopping{false};
  std::atomic<bool> HasEndedTaking{false};
  /// When a stopping daemon has given its last answers.
  std::atomic<TimePoint> StopUntil{TimePoint::max()};
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_REQUESTPROXY_H
