//===- HealthEndpoints.cpp - Health checks and metrics --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Answers are short texts. Metrics are in the Prometheus text format, one
/// value per line.
///
//===----------------------------------------------------------------------===//

#include "HealthEndpoints.h"
#include "canvaswick/Support/Log.h"

#include <fmt/format.h>

namespace canvaswick {

/// A client that has not read its answer within this time is disconnected.
static constexpr Duration ResponseTimeout = fromSeconds(10);

static std::string formatServiceMetrics(ServiceRuntime &Service,
                                        TimePoint Now) {
  const std::string &Name = Service.getConfig().Name;
  const LatencyHistogram &Histogram = Service.getMetrics().getHistogram();
  std::string Text;
  for (const double Part : {0.5, 0.9, 0.99})
    Text += fmt::format(
        "canvaswick_latency_ms{{service=\"{}\",quantile=\"{}\"}} {:.3f}\n",
        Name, Part, getQuantile(Histogram, Part));
  for (const ServerStatus &Status : Service.describe(Now))
    Text +=
        fmt::format("canvaswick_share{{service=\"{}\",server=\"{}\"}} {:.3f}\n",
                    Name, Status.Name, Status.Explanation.Share);
  const RoomStatus Room = Service.getRoom().describe();
  Text += fmt::format("canvaswick_waiting{{service=\"{}\"}} {}\n"
                      "canvaswick_longest_wait_ms{{service=\"{}\"}} {}\n",
                      Name, Room.Length, Name, toMillis(Room.LongestWait));
  return Text;
}

/// Formats what operators compare with the servers' own counts: arrivals, and
/// the retries that this daemon may send and has sent in the current window.
static std::string formatRetries(const ServiceRuntime &Service, TimePoint Now) {
  const std::string &Name = Service.getConfig().Name;
  const ArrivalCounts Arrivals = Service.getMetrics().getArrivals();
  std::string Text = fmt::format(
      "canvaswick_arrivals{{service=\"{}\",kind=\"first\"}} {}\n"
      "canvaswick_arrivals{{service=\"{}\",kind=\"repeated\"}} {}\n",
      Name, Arrivals.First, Name, Arrivals.Repeated);
  if (!Service.hasFleetRetryBudget())
    return Text;
  const RetryUse Use = Service.getRetryUse(Now);
  return Text + fmt::format("canvaswick_repeats_allowed{{service=\"{}\"}} "
                            "{:.2f}\n"
                            "canvaswick_repeats_used{{service=\"{}\"}} {}\n",
                            Name, Use.Allowed, Name, Use.Used);
}

/// Only the time since the last answer reveals that a watched store no longer
/// answers: the replica does not change then, as when nothing changes.
static std::string formatStoreState(const StoreState &Store,
                                    TimePoint ListCurrentAt, TimePoint Now) {
  const bool HasAnswered = Store.HeardAt != TimePoint{};
  const bool WasCurrent = ListCurrentAt != TimePoint{};
  return fmt::format("canvaswick_store_epoch {}\n"
                     "canvaswick_store_as_of {}\n"
                     "canvaswick_store_watching {}\n"
                     "canvaswick_store_heard_ms {}\n"
                     "canvaswick_list_age_ms {}\n",
                     Store.AsOf.Epoch, Store.AsOf.Revision,
                     Store.IsWatching ? 1 : 0,
                     HasAnswered ? toMillis(Now - Store.HeardAt) : -1,
                     WasCurrent ? toMillis(Now - ListCurrentAt) : -1);
}

static std::string formatWorkers(const WorkerPoolThreads &Workers) {
  return fmt::format("canvaswick_workers{{state=\"running\"}} {}\n"
                     "canvaswick_workers{{state=\"idle\"}} {}\n"
                     "canvaswick_workers_most {}\n",
                     Workers.Running, Workers.Idle, Workers.Peak);
}

std::string
formatPoisonRequests(const std::vector<PoisonRequestStatus> &PoisonRequests) {
  std::string Rows;
  size_t Quarantined = 0;
  for (const PoisonRequestStatus &Each : PoisonRequests) {
    if (!Each.IsQuarantined)
      continue;
    ++Quarantined;
    Rows += fmt::format(
        "canvaswick_held_request_ends{{asks=\"{:016x}\",tries=\"{}\"}} {}\n",
        Each.Record.Request, Each.Record.Probes, Each.Record.Ends.size());
  }
  return fmt::format("canvaswick_suspect_requests {}\n"
                     "canvaswick_held_requests {}\n{}",
                     PoisonRequests.size(), Quarantined, Rows);
}

std::string formatOrganisations(const std::vector<QuotaStatus> &Organisations) {
  std::string Text;
  for (const QuotaStatus &Each : Organisations) {
    const auto Add = [&](const char *What, double Value) {
      Text += fmt::format("canvaswick_organisation_{}{{organisation=\"{}\"}} "
                          "{:.2f}\n",
                          What, Each.Name, Value);
    };
    Add("limit_per_s", Each.RequestsPerSecond);
    Add("fleet_asked_per_s", Each.FleetDemand);
    Add("asked_per_s", Each.LocalDemand);
    Add("tokens", Each.Tokens);
    Add("admitted", static_cast<double>(Each.Admitted));
    Add("refused", static_cast<double>(Each.Refused));
    Add("silent_daemons", static_cast<double>(Each.Silent));
  }
  return Text;
}

std::string formatNotices(const NoticeCounts &Notices) {
  std::string Text;
  const auto Add = [&Text](NoticeKind Kind, size_t Count) {
    Text += fmt::format("canvaswick_server_notices{{kind=\"{}\"}} {}\n",
                        getName(Kind), Count);
  };
  Add(NoticeKind::Limit, Notices.Limited);
  Add(NoticeKind::Leaving, Notices.Leaving);
  Add(NoticeKind::Backoff, Notices.InBackoff);
  Add(NoticeKind::Warmup, Notices.Cold);
  Add(NoticeKind::Gone, Notices.Gone);
  return Text;
}

std::string formatPaths(size_t CutOffServices, size_t OpenTunnels) {
  return fmt::format("canvaswick_services_out_of_reach {}\n"
                     "canvaswick_tunnels_open {}\n",
                     CutOffServices, OpenTunnels);
}

static std::string formatMetrics(const DaemonMetrics &Metrics,
                                 const FleetRuntime *Current) {
  std::string Text = Metrics.Counters.format();
  Text +=
      formatStoreState(Metrics.Store, Metrics.ListCurrentAt, readSteadyClock());
  Text += formatWorkers(Metrics.Workers);
  Text += formatPoisonRequests(Metrics.PoisonRequests);
  Text += formatOrganisations(Metrics.Organisations);
  Text += formatNotices(Metrics.Notices);
  Text += formatPaths(Metrics.CutOffServices, Metrics.OpenTunnels);
  Text +=
      fmt::format("canvaswick_log_lines_dropped {}\n", countDroppedLogLines());
  if (!Current)
    return Text;
  Text += fmt::format("canvaswick_config_version {}\n",
                      Current->getConfig().Version);
  for (const ServiceRuntimeRef &Service : Current->getServices()) {
    Text += formatServiceMetrics(*Service, readSteadyClock());
    Text += formatRetries(*Service, readSteadyClock());
  }
  return Text;
}

void answerMetrics(HttpExchange &Exchange, const DaemonMetrics &Metrics,
                   const FleetRuntime *Current) {
  Exchange.Stream.setDeadline(readSteadyClock() + ResponseTimeout);
  if (Exchange.Request.target != "/metrics") {
    Exchange.Response.status = 404;
    return;
  }
  Exchange.Response.set_content(formatMetrics(Metrics, Current), "text/plain");
}

void answerHealthCheck(HttpExchange &Exchange, bool IsStopping,
                       const DaemonMetrics &Metrics,
                       const FleetRuntime *Current) {
  const std::string &Target = Exchange.Request.target;
  Exchange.Stream.setDeadline(readSteadyClock() + ResponseTimeout);
  if (Target == "/ready") {
    const bool IsReady = !IsStopping && Current;
    Exchange.Response.status = IsReady ? 200 : 503;
    Exchange.Response.set_content(IsReady ? "ready\n" : "not ready\n",
                                  "text/plain");
    return;
  }
  if (Target == "/live") {
    Exchange.Response.set_content("live\n", "text/plain");
    return;
  }
  answerMetrics(Exchange, Metrics, Current);
}

} // namespace canvaswick
