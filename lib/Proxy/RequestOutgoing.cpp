//===- RequestOutgoing.cpp - The request that goes to a server ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of RequestProxy that builds the request of one attempt: its
/// headers, its time limits, and which connections may carry it.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"
#include "canvaswick/Support/Text.h"

#include <fmt/format.h>

#include <algorithm>

namespace canvaswick {

/// Returns whether the proxy replaces a header of the caller or consumes it.
/// HasKeys tells whether callers authenticate with keys, which no server may
/// see.
static bool isReplacedHeader(const std::string &Name, const HeaderNames &Names,
                             bool HasKeys) {
  return (HasKeys && equalsIgnoringCase(Name, Names.Key)) ||
         equalsIgnoringCase(Name, Names.Organisation) ||
         equalsIgnoringCase(Name, Names.Deadline) ||
         equalsIgnoringCase(Name, Names.RequestId) ||
         equalsIgnoringCase(Name, Names.ExpectedInstance) ||
         ::strcasecmp(Name.c_str(), "Expect") == 0;
}

/// Sets the header with the time that is left for the request.
void RequestProxy::setDeadlineHeader(const RequestContext &Request,
                                     OutgoingRequest &Outgoing) const {
  const std::string &Name = this->Options.Headers.Deadline;
  const Duration Left = Request.Deadline - readSteadyClock();
  Outgoing.Headers.erase(Name);
  Outgoing.Headers.emplace(
      Name, fmt::format("{}", std::max<int64_t>(1, toMillis(Left))));
}

/// Adds the headers by which the proxy informs the server about the request.
void RequestProxy::addServerHeaders(RequestContext &Request,
                                    const ServerConfig &Server,
                                    const std::string &RequestId,
                                    OutgoingRequest &Outgoing) const {
  const HeaderNames &Names = this->Options.Headers;
  this->setDeadlineHeader(Request, Outgoing);
  if (!RequestId.empty())
    Outgoing.Headers.emplace(Names.RequestId, RequestId);
  if (!Names.ExpectedInstance.empty() && !Server.Instance.empty())
    Outgoing.Headers.emplace(Names.ExpectedInstance, Server.Instance);
  if (!Request.Organisation.empty())
    Outgoing.Headers.emplace(Names.Organisation, Request.Organisation);
  Outgoing.Headers.emplace("Via", "1.1 " + this->DaemonName);
  Outgoing.Headers.emplace("X-Forwarded-For",
                           Request.Exchange.Request.remote_addr);
}

/// Sets how long to wait for a new connection, and which kept connections may
/// carry the request.
void RequestProxy::setConnectionRules(const RequestContext &Request,
                                      const ServerConfig &Server,
                                      OutgoingRequest &Outgoing) const {
  Outgoing.ConnectLimit = fromMillis(this->Options.ConnectMs);
  const bool HasManyServers = Request.Service->hasManyServers();
  if (this->Options.LearnsConnectTimes && HasManyServers) {
    Outgoing.ConnectLimit =
        this->ConnectWaits.getLimit(Server.Hall, Outgoing.ConnectLimit);
    Outgoing.SecondConnectDelay = Outgoing.ConnectLimit / 2;
  }
  if (!this->Options.UsesFreshConnections || isRetryable(*Request.Route))
    return;
  Outgoing.WantsFreshConnection =
      this->Options.MaxRecentIdleMs == 0 || !HasManyServers;
  Outgoing.MaxIdle = fromMillis(this->Options.MaxRecentIdleMs);
}

OutgoingRequest
RequestProxy::buildOutgoing(RequestContext &Request, const ResponseRelay &Relay,
                            const ServerConfig &Server,
                            const std::string &RequestId) const {
  const httplib::Request &Caller = Request.Exchange.Request;
  OutgoingRequest Outgoing;
  Outgoing.Method = Caller.method;
  Outgoing.Target = Caller.target;
  const bool HasKeys = Request.Fleet->getConfig().Organisations->needsKeys();
  for (const auto &[Name, Value] : Caller.headers)
    if (!isReplacedHeader(Name, this->Options.Headers, HasKeys) &&
        !isHopByHopHeader(Name, Caller.headers))
      Outgoing.Headers.emplace(Name, Value);
  this->addServerHeaders(Request, Server, RequestId, Outgoing);
  Outgoing.ServerInstance = Server.Name;
  this->setConnectionRules(Request, Server, Outgoing);
  Outgoing.MayEndWithConnection = this->Options.MaxBufferedResponseBytes > 0;
  Outgoing.MaxUnsizedBytes = this->Options.MaxUnsizedAnswerBytes;
  Relay.addResumeHeaders(Outgoing.Headers);
  Outgoing.StallLimit = fromMillis(Request.Service->getConfig().StallMs);
  if (Request.HasCallerDeadline)
    Outgoing.BodyDeadline = Request.Deadline;
  Outgoing.Body = Request.Body;
  if (!Request.IsBodyBuffered)
    this->streamBody(Request, Outgoing);
  return Outgoing;
}

} // namespace canvaswick
