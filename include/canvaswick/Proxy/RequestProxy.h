//===- RequestProxy.h - Proxies one request ---------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Routes a request, admits it, claims keyed requests, runs the attempts and
/// relays the response. Every refusal tells the caller whether the request was
/// run and when to retry.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_PROXY_REQUESTPROXY_H
#define CANVASWICK_PROXY_REQUESTPROXY_H

#include "canvaswick/Claims/ClaimGate.h"
#include "canvaswick/Http/ConnectTimes.h"
#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Metrics/Counters.h"
#include "canvaswick/Proxy/FleetRuntime.h"
#include "canvaswick/Proxy/OrganisationQuotas.h"
#include "canvaswick/Proxy/ProxyOptions.h"
#include "canvaswick/Proxy/RequestQuarantine.h"
#include "canvaswick/Proxy/ResponseRelay.h"
#include "canvaswick/Proxy/ServerPaths.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace canvaswick {

/// Carries a key that identifies a request which must not run twice.
inline constexpr const char *IdempotencyHeader = "Idempotency-Key";

/// Whether the request was run, as far as the caller can rely on it after a
/// failure.
enum class RunOutcome : uint8_t { NotRun, NotKnown, Ran };

/// Returns the value of the outcome header.
const char *getName(RunOutcome Outcome);

/// Proxies requests to backend servers. Thread-safe.
class RequestProxy {
public:
  /// All references must outlive the proxy. Claims may be null; keyed requests
  /// on routes of the class "once" are then refused.
  RequestProxy(std::string DaemonName, const FleetRuntimeSlot &Fleet,
               ConnectionPool &Upstreams, CounterTable &Counters,
               ClaimGate *Claims, ProxyOptions Options = {});

  /// Handles one request from its head to its final response.
  void handle(HttpExchange &Exchange);

  /// Applies the quotas of organisations from new settings.
  void configure(const FleetConfig &Config);

  /// Asks peers to lend one retry of a service's fleet budget, and waits for a
  /// short time. Returns the retry that was lent, if any.
  using RetrySource =
      std::function<std::optional<TakenRetry>(ServiceRuntime &, TimePoint)>;

  /// Sets the source of retries for when the daemon's own share of the fleet's
  /// retry budget is used up. Must be called before the first request.
  void setRetrySource(RetrySource Source) {
    this->BorrowRetry = std::move(Source);
  }

  /// Sets the last time at which the list of servers was not outdated, as far
  /// as is known. Thread-safe.
  void setListCurrentTime(TimePoint Time) { this->ListCurrentAt = Time; }

  TimePoint getListCurrentTime() const { return this->ListCurrentAt; }

  /// Called on the request's thread after an attempt has begun or ended.
  using AttemptListener = std::function<void(TimePoint)>;

  /// Sets the listener for attempts. Must be called before the first request.
  void setAttemptListener(AttemptListener Listener) {
    this->Listener = std::move(Listener);
  }

  /// Returns the quotas of organisations.
  OrganisationQuotas &getOrganisations() { return this->Organisations; }

  /// Returns the quarantine of requests that crash servers.
  RequestQuarantine &getQuarantine() { return this->Quarantine; }

  /// Returns the paths to the servers.
  ServerPaths &getPaths() { return this->Paths; }

  /// Begins to shut down: from now on no attempt is abandoned while a server
  /// works on it, no request waits for a retry, and new requests get their
  /// final response before Until. Those that usually take longer are refused at
  /// once.
  void beginStop(TimePoint Until);

  /// Refuses new requests whose deadline lies after the end set by beginStop.
  /// They do arrive: if fewer than half of a hall's daemons are ready, the load
  /// balancer sends to all of them, including one with half a second left.
  void refuseLateRequests() { this->RefusesLateRequests = true; }

  /// Removes the quota state of idle organisations.
  void forgetIdle(TimePoint Now);

private:
  struct RequestContext;

  // RequestProxy.cpp: routing, admission and final responses.
  bool findRoute(RequestContext &Request);
  static bool isUsuallyServedBefore(const RequestContext &Request,
                                    TimePoint Until);
  bool applyStopDeadline(RequestContext &Request);
  ServiceRuntimeRef chooseService(const FleetRuntime &Runtime,
                                  const RouteConfig &Route);
  bool checkQuarantine(RequestContext &Request);
  void refuseQuarantined(RequestContext &Request);
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

  /// Extends a wait by a random part of up to a half, so that callers do not
  /// all retry at the same time. The part depends only on the request's id.
  static Duration addRetryJitter(const std::string &CallerId, Duration Wait);

  // RequestOrganisation.cpp: authentication and quotas.
  bool findOrganisation(RequestContext &Request);
  bool isKeyInForce(const RequestContext &Request) const;
  bool admitOrganisation(RequestContext &Request);
  void refundIfNotRun(RequestContext &Request, TimePoint Now);

  // RequestBody.cpp: buffering and streaming of request bodies.
  bool readBody(RequestContext &Request);
  void computeFingerprint(RequestContext &Request) const;
  BodyEnd collectBody(RequestContext &Request, uint64_t Limit);
  bool bufferBody(RequestContext &Request);
  bool bufferChunks(RequestContext &Request, uint64_t Limit);
  void refuseBody(RequestContext &Request, int Status, const char *Reason);
  void refuseStreamedBody(RequestContext &Request);
  void streamBody(RequestContext &Request, OutgoingRequest &Outgoing) const;

  // RequestClaims.cpp: claims of keyed requests.
  bool claim(RequestContext &Request);
  ClaimVerdict beginClaim(RequestContext &Request);
  void answerFromClaim(RequestContext &Request, const ClaimVerdict &Verdict);
  void resolveClaim(RequestContext &Request, const ResponseRelay &Relay);

  // RequestRetries.cpp: whether and when to retry.
  bool hasAttemptLeft(const RequestContext &Request, const ResponseRelay &Relay,
                      size_t Unreachable, TimePoint Now) const;
  size_t getMaxAttempts(const RequestContext &Request) const;
  TimePoint chooseAttemptDeadline(RequestContext &Request,
                                  const ResponseRelay &Relay, TimePoint Now,
                                  bool &IsSoftDeadline) const;
  TimePoint extendSoftDeadline(RequestContext &Request, const Attempt &Current,
                               bool &IsSoftDeadline);
  static Duration getLongestSilence(const RequestContext &Request);
  bool mayLeaveSilent(RequestContext &Request, const ResponseRelay &Relay,
                      TimePoint Now);
  Duration extendStall(RequestContext &Request, const ResponseRelay &Relay,
                       Duration Silent);
  bool takeRetry(RequestContext &Request, bool IsNotRun, TimePoint Now);
  bool mayRetry(RequestContext &Request, const ResponseRelay &Relay);
  bool takeNextRetry(RequestContext &Request);

  // RequestWaits.cpp: waits for a retry.
  bool takeNotRunRetry(RequestContext &Request);
  WaitingRequest makeWaitingRequest(const RequestContext &Request) const;
  std::optional<WaitEnd> checkWaitEnd(const RequestContext &Request) const;
  void waitForRetry(RequestContext &Request);
  void refuseAfterWait(RequestContext &Request);

  // RequestPaths.cpp: direct attempts and those through peers.
  bool maySendNow(RequestContext &Request, const ServerConfig &Server) const;
  bool chargeArrival(RequestContext &Request) const;
  bool choosePath(RequestContext &Request) const;
  ExchangeResult sendAttempt(RequestContext &Request, const Attempt &Current,
                             OutgoingRequest &Outgoing, TimePoint Deadline,
                             int CallerSocket, const AnswerSink &Sink);
  void leavePeer(RequestContext &Request, const TunnelPeer &Peer);
  ExchangeResult sendThroughPeers(RequestContext &Request,
                                  const ServerConfig &Server,
                                  OutgoingRequest &Outgoing, TimePoint Deadline,
                                  int CallerSocket, const AnswerSink &Sink);

  // RequestOutgoing.cpp: the request that goes to a server.
  void setConnectionRules(const RequestContext &Request,
                          const ServerConfig &Server,
                          OutgoingRequest &Outgoing) const;
  OutgoingRequest buildOutgoing(RequestContext &Request,
                                const ResponseRelay &Relay,
                                const ServerConfig &Server,
                                const std::string &RequestId) const;
  void setDeadlineHeader(const RequestContext &Request,
                         OutgoingRequest &Outgoing) const;
  void addServerHeaders(RequestContext &Request, const ServerConfig &Server,
                        const std::string &RequestId,
                        OutgoingRequest &Outgoing) const;

  // RequestAttempts.cpp: attempts at servers.
  bool followSettings(RequestContext &Request) const;
  void runAttempts(RequestContext &Request, ResponseRelay &Relay);
  void notifyAttemptListener(TimePoint Now) const;
  void recordListAge(RequestContext &Request, TimePoint Now);
  void handleServerNotice(const RequestContext &Request, Attempt &Current,
                          const std::string &RequestId,
                          const httplib::Response &Response);
  void handleMisdirection(const RequestContext &Request, const Attempt &Current,
                          const std::string &RequestId);
  RequestOutcome runAttempt(RequestContext &Request, ResponseRelay &Relay,
                            Attempt &Current);
  RelayOptions makeRelayOptions(const RequestContext &Request) const;
  bool recheckQuarantine(RequestContext &Request, TimePoint Now) const;
  RequestOutcome reportToQuarantine(RequestContext &Request,
                                    const Attempt &Ended,
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
  ServerPaths Paths;
  ConnectTimes ConnectWaits;
  /// The time since which the daemon has waited for its first settings.
  const TimePoint Started;
  /// Null if no peer lends retries.
  RetrySource BorrowRetry;
  AttemptListener Listener;
  /// TimePoint{} if it is not known, which is so where nothing outside holds
  /// the list.
  std::atomic<TimePoint> ListCurrentAt{TimePoint{}};
  /// Distributes the requests of a split route evenly over its services.
  std::atomic<uint32_t> NextSplit{0};
  OrganisationQuotas Organisations;
  std::atomic<uint64_t> NextRequest{1};
  std::atomic<bool> IsStopping{false};
  std::atomic<bool> RefusesLateRequests{false};
  /// The time by which a stopping daemon has sent all responses.
  std::atomic<TimePoint> StopUntil{TimePoint::max()};
};

} // namespace canvaswick

#endif // CANVASWICK_PROXY_REQUESTPROXY_H
