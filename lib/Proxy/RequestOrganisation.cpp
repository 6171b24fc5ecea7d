//===- RequestOrganisation.cpp - Authentication and quotas ----------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of RequestProxy that identifies a caller's organisation by its API
/// key. Nothing else names an organisation; a name that the caller sends is
/// dropped. The key is hashed where it is read and is not stored.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"
#include "canvaswick/Support/Log.h"
#include "canvaswick/Support/Text.h"

#include <algorithm>
#include <utility>

namespace canvaswick {

/// Longer keys are refused before they are hashed. Today's keys have 20
/// characters, and no common way to generate keys produces more than this.
static constexpr size_t MaxKeyBytes = 256;

/// An organisation counts as beyond its quota from this many times the quota
/// on. Its short bursts are within what the quota tolerates.
static constexpr double BeyondQuotaFactor = 1.2;

/// Returns whether a character may occur in a key: any printable one except the
/// space.
static bool isKeyCharacter(char Character) {
  return Character > ' ' && Character < 0x7f;
}

/// Returns the key that follows the authentication scheme in a header's value,
/// or an empty text if the value has another form.
static std::string_view findKey(std::string_view Value,
                                const std::string &Scheme) {
  if (Value.size() <= Scheme.size() || Value[Scheme.size()] != ' ' ||
      !equalsIgnoringCase(std::string(Value.substr(0, Scheme.size())), Scheme))
    return {};
  const std::string_view Key = Value.substr(Scheme.size() + 1);
  const bool IsKey = Key.size() <= MaxKeyBytes &&
                     std::all_of(Key.begin(), Key.end(), isKeyCharacter);
  return IsKey ? Key : std::string_view();
}

/// Returns the digest of the only key in the request. Returns nothing if there
/// are several headers, because readers might choose different ones.
static std::optional<KeyDigest> readKey(const httplib::Request &Request,
                                        const HeaderNames &Names) {
  const auto [First, Last] = Request.headers.equal_range(Names.Key);
  if (First == Last || std::next(First) != Last)
    return std::nullopt;
  const std::string_view Key = findKey(First->second, Names.KeyScheme);
  if (Key.empty())
    return std::nullopt;
  return KeyDigest::of(Key);
}

/// Authenticates the caller. Returns false if the request was refused because
/// the route requires a key and the request has none that is known. A public
/// route serves every caller; a known key assigns the request to its
/// organisation there, too.
bool RequestProxy::findOrganisation(RequestContext &Request) {
  const OrganisationDirectory &Directory =
      *Request.Fleet->getConfig().Organisations;
  if (!Directory.needsKeys())
    return true;
  Request.PresentedKey =
      readKey(Request.Exchange.Request, this->Options.Headers);
  if (Request.PresentedKey)
    Request.KeyOwner = Directory.findByKey(*Request.PresentedKey);
  if (Request.KeyOwner) {
    Request.Organisation = Request.KeyOwner->Name;
    return true;
  }
  if (Request.Route->IsPublic)
    return true;
  this->Counters.add(Counter::RefusedUnknownKey);
  Request.Exchange.Response.set_header("WWW-Authenticate",
                                       this->Options.Headers.KeyScheme);
  this->refuse(Request.Exchange, 401, RunOutcome::NotRun,
               getName(Refusal::UnknownKey), NoWait);
  logInfo("request", "id={} route={} version={} outcome=not-run reason={}",
          Request.CallerId, Request.Route->Name,
          Request.Fleet->getConfig().Version, getName(Refusal::UnknownKey));
  Request.Exchange.MustClose = true;
  return false;
}

/// Returns whether the key with which the request was authenticated is still
/// valid. If a key is revoked, the attempt in flight ends normally, but no
/// other one begins.
bool RequestProxy::isKeyInForce(const RequestContext &Request) const {
  const FleetRuntimeRef Current = this->Fleet.get();
  if (!Request.KeyOwner || Current == Request.Fleet)
    return true;
  const OrganisationConfig *Now =
      Current->getConfig().Organisations->findByKey(*Request.PresentedKey);
  return Now && Now->Name == Request.Organisation;
}

bool RequestProxy::admitOrganisation(RequestContext &Request) {
  const QuotaAnswer Answer =
      this->Organisations.admit(Request.Organisation, Request.Began);
  Request.IsChargedToQuota = Answer.IsAdmitted;
  Request.IsBeyondQuota =
      Answer.Limit > 0 && Answer.FleetDemand > BeyondQuotaFactor * Answer.Limit;
  if (Answer.IsAdmitted)
    return true;
  this->Counters.add(Counter::RefusedOrganisationRate);
  this->refuse(Request.Exchange, 429, RunOutcome::NotRun,
               getName(Refusal::OrganisationRate), Answer.Wait);
  logInfo("request",
          "id={} route={} organisation={:?} outcome=not-run reason={} "
          "wait-ms={} limit={:.1f} fleet-asked={:.1f} tokens={:.1f}",
          Request.CallerId, Request.Route->Name, Request.Organisation,
          getName(Refusal::OrganisationRate), toMillis(Answer.Wait),
          Answer.Limit, Answer.FleetDemand, Answer.Tokens);
  Request.Exchange.MustClose = true;
  return false;
}

/// Refunds the organisation's quota for a request that no server has run: only
/// requests that run count, and the caller will retry.
void RequestProxy::refundIfNotRun(RequestContext &Request, TimePoint Now) {
  const bool HasRun =
      Request.IsAnswered || Request.Outcome != RunOutcome::NotRun;
  if (!HasRun && std::exchange(Request.IsChargedToQuota, false))
    this->Organisations.giveBack(Request.Organisation, Now);
}

} // namespace canvaswick
