//===- Counters.cpp - Named counters --------------------------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Defines the names of the counters; docs/OPERATIONS.md gives their meanings.
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
    {Counter::RefusedQuarantined, "refused_held_back"},
    {Counter::RefusedBody, "refused_body"},
    {Counter::Retries, "repeats"},
    {Counter::ResumedAnswers, "resumed_answers"},
    {Counter::CallerHangUps, "caller_hang_ups"},
    {Counter::TruncatedAnswers, "cut_answers"},
    {Counter::MismatchedAnswers, "foreign_answers"},
    {Counter::MalformedAnswers, "malformed_answers"},
    {Counter::UpstreamFailures, "upstream_failures"},
    {Counter::UpstreamSheds, "upstream_sheds"},
    {Counter::UpstreamCutOffs, "upstream_cut_offs"},
    {Counter::LimitsReceived, "limits_heard"},
    {Counter::LeavingNoticesReceived, "leavings_heard"},
    {Counter::BackoffsReceived, "rests_heard"},
    {Counter::MalformedNotices, "notices_misread"},
    {Counter::GoneServersFound, "gone_servers_found"},
    {Counter::ServersExcluded, "servers_left_out"},
    {Counter::ReportsSent, "reports_sent"},
    {Counter::ReportsMerged, "reports_taken"},
    {Counter::SummariesSent, "digests_sent"},
    {Counter::SummariesApplied, "digests_taken"},
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
    {Counter::PeerDatagramsAccepted, "peer_datagrams_taken"},
    {Counter::PeerDatagramsRefused, "peer_datagrams_refused"},
    {Counter::PeerSendFailures, "peer_send_failures"},
    {Counter::FleetBuilds, "fleet_builds"},
    {Counter::ProcessPauses, "standstills"},
    {Counter::EntriesRefused, "entries_refused"},
    {Counter::RetriesLent, "repeats_lent"},
    {Counter::RetriesBorrowed, "repeats_borrowed"},
    {Counter::RetryLoansFailed, "repeats_asked_in_vain"},
    {Counter::TunnelsOpened, "tunnels_opened"},
    {Counter::TunnelsDeclined, "tunnels_declined"},
    {Counter::TunnelsLost, "tunnels_lost"},
    {Counter::TunnelsCarried, "tunnels_carried"},
    {Counter::TunnelsRefused, "tunnels_refused"},
    {Counter::ReplicaMismatches, "replica_mismatches"},
    {Counter::FarBehind, "far_behind"},
    {Counter::StoreChecks, "store_checks"},
    {Counter::AttemptsByOldList, "attempts_by_old_list"},
    {Counter::SendsWithdrawn, "sends_withdrawn"},
    {Counter::WaitsBegun, "waits_begun"},
    {Counter::WaitsServed, "waits_served"},
    {Counter::WaitsRefused, "waits_refused"},
    {Counter::WaitsCallerLeft, "waits_caller_left"},
    {Counter::WaitsStopping, "waits_stopping"},
}};

const char *getName(Counter Which) { return getEnumName(CounterNames, Which); }

std::string CounterTable::format() const {
  std::string Text;
  for (const EnumName<Counter> &Row : CounterNames)
    Text += fmt::format("canvaswick_{} {}\n", Row.Name, this->get(Row.Value));
  return Text;
}

} // namespace canvaswick
