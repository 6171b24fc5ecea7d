//===- RequestOrganisation.cpp - Whose request it is ----------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The part of RequestProxy that finds a caller's organisation by the key it
/// shows. Nothing else names an organisation: what a caller says of its own is
/// dropped. The key is digested where it is read and kept nowhere.
///
//===----------------------------------------------------------------------===//

#include "RequestContext.h"
#include "canvaswick/Support/Log.h"
#include "canvaswick/Support/Text.h"

#include <algorithm>
#include <utility>

namespace canvaswick {

/// Longer keys are refused unread: today's have 20 signs, and none of the ways
/// in which keys are commonly drawn gives more than this.
static constexpr size_t MostKeyBytes = 256;

/// Returns whether a sign may stand in a key: any that shows in print.
static bool isKeySign(char Sign) { return Sign > ' ' && Sign < 0x7f; }

/// Returns the key that a header's value holds behind the word for the scheme,
/// or an empty text if it is of another form.
static std::string_view findKey(std::string_view Value,
                                const std::string &Scheme) {
  if (Value.size() <= Scheme.size() || Value[Scheme.size()] != ' ' ||
      !equalsIgnoringCase(std::string(Value.substr(0, Scheme.size())), Scheme))
    return {};
  const std::string_view Key = Value.substr(Scheme.size() + 1);
  const bool IsKey = Key.size() <= MostKeyBytes &&
                     std::all_of(Key.begin(), Key.end(), isKeySign);
  return IsKey ? Key : std::string_view();
}

/// Returns the digest of the one key that a caller shows, or nothing: several
/// might be read as different ones by different readers.
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

/// Finds whose request it is. Returns false if it was refused: it must show a
/// key and shows none that is known. On a public route any caller is served; a
/// known key makes it its organisation's request there as well.
bool RequestProxy::findOrganisation(RequestContext &Request) {
  const OrganisationDirectory &Directory =
      *Request.Fleet->getConfig().Organisations;
  if (!Directory.needsKeys())
    return true;
  Request.ShownKey = readKey(Request.Exchange.Request, this->Options.Headers);
  if (Request.ShownKey)
    Request.Member = Directory.findByKey(*Request.ShownKey);
  if (Request.Member) {
    Request.Organisation = Request.Member->Name;
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

/// Returns whether the key that a request was taken by still holds. What is
/// under way when a key is taken away ends as it would have; nothing more is
/// begun by it.
bool RequestProxy::isKeyInForce(const RequestContext &Request) const {
  const FleetRuntimeRef Current = this->Fleet.get();
  if (!Request.Member || Current == Request.Fleet)
    return true;
  const OrganisationConfig *Now =
      Current->getConfig().Organisations->findByKey(*Request.ShownKey);
  return Now && Now->Name == Request.Organisation;
}

bool RequestProxy::admitOrganisation(RequestContext &Request) {
  const AllowanceAnswer Answer =
      this->Organisations.admit(Request.Organisation, Request.Began);
  Request.IsCounted = Answer.IsAdmitted;
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
          Answer.Limit, Answer.FleetAsked, Answer.Tokens);
  Request.Exchange.MustClose = true;
  return false;
}

/// Takes a request that no server has run off its organisation's allowance:
/// only what runs counts, and its caller comes again.
void RequestProxy::refundIfNotRun(RequestContext &Request, TimePoint Now) {
  const bool HasRun =
      Request.IsAnswered || Request.Outcome != RunOutcome::NotRun;
  if (!HasRun && std::exchange(Request.IsCounted, false))
    this->Organisations.giveBack(Request.Organisation, Now);
}

} // namespace canvaswick
