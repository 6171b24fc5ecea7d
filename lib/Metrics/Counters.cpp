//===- Counters.cpp - Named counters --------------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// The table of names; docs/OPERATIONS.md lists them with their meaning.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/Metrics/Counters.h"
#include "canvaswick/Support/EnumNames.h"

#include <fmt/format.h>

namespace canvaswick {

static constexpr EnumNames<Counter, CounterCount> CounterNames = {{
    {Counter::Requests, "requests"},
    {Counter::Answered, "answered"},
    {Counter::RefusedUnknownRoute, "refused_unknown_route"},
    {Counter::RefusedUnknownKey, "refused_unknown_key"},
    {Counter::RefusedServiceBusy, "refused_service_busy"},
    {Counter::RefusedOrganisationRate, "refused_organisation_rate"},
    {Counter::RefusedDeadline, "refused_deadline"},
    {Counter::RefusedNoServer, "refused_no_server"},
    {Counter::RefusedHeldBack, "refused_held_back"},
    {Counter::Repeats, "repeats"},
    {Counter::ResumedAnswers, "resumed_answers"},
    {Counter::CallerHangUps, "caller_hang_ups"},
    {Counter::CutAnswers, "cut_answers"},
    {Counter::ForeignAnswers, "foreign_answers"},
    {Counter::UpstreamFailures, "upstream_failures"},
    {Counter::UpstreamSheds, "upstream_sheds"},
    {Counter::UpstreamCutOffs, "upstream_cut_offs"},
    {Counter::LimitsHeard, "limits_heard"},
    {Counter::LeavingsHeard, "leavings_heard"},
    {Counter::RestsHeard, "rests_heard"},
    {Counter::NoticesMisread, "notices_misread"},
    {Counter::ServersLeftOut, "servers_left_out"},
    {Counter::ReportsSent, "reports_sent"},
    {Counter::ReportsTaken, "reports_taken"},
    {Counter::DigestsSent, "digests_sent"},
    {Counter::DigestsTaken, "digests_taken"},
    {Counter::CallsSent, "calls_sent"},
    {Counter::CallsFailed, "calls_failed"},
    {Counter::CallsRefused, "calls_refused"},
    {Counter::ControlBytesSent, "control_bytes_sent"},
    {Counter::ControlBytesReceived, "control_bytes_received"},
    {Counter::PlatformCalls, "platform_calls"},
    {Counter::PlatformFailures, "platform_failures"},
    {Counter::ConfigChanges, "config_changes"},
    {Counter::ConfigRefused, "config_refused"},
    {Counter::ClaimsGranted, "claims_granted"},
    {Counter::ClaimsRepeated, "claims_repeated"},
    {Counter::ClaimsRefused, "claims_refused"},
    {Counter::ClaimWrites, "claim_writes"},
    {Counter::HeartbeatsSent, "heartbeats_sent"},
    {Counter::MembersLost, "members_lost"},
    {Counter::PeerDatagramsSent, "peer_datagrams_sent"},
    {Counter::PeerDatagramsTaken, "peer_datagrams_taken"},
    {Counter::PeerDatagramsRefused, "peer_datagrams_refused"},
    {Counter::PeerSendFailures, "peer_send_failures"},
    {Counter::FleetBuilds, "fleet_builds"},
    {Counter::Standstills, "standstills"},
    {Counter::EntriesRefused, "entries_refused"},
    {Counter::RepeatsLent, "repeats_lent"},
    {Counter::RepeatsBorrowed, "repeats_borrowed"},
    {Counter::RepeatsAskedInVain, "repeats_asked_in_vain"},
}};

const char *getName(Counter Which) { return getEnumName(CounterNames, Which); }

std::string CounterTable::format() const {
  std::string Text;
  for (const EnumName<Counter> &Row : CounterNames)
    Text += fmt::format("canvaswick_{} {}\n", Row.Name, this->get(Row.Value));
  return Text;
}

} // namespace canvaswick
