//===- BenchExchange.cpp - Evidence exchange of the policy benchmark ------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Simulates the exchange of evidence reports and summaries between daemons,
/// with delay and loss, and counts the bytes.
///
//===----------------------------------------------------------------------===//

#include "BenchRun.h"
#include "canvaswick/Daemon/EvidenceAgent.h"
#include "canvaswick/Json/JsonText.h"

namespace canvaswick {

/// Size of the HTTP headers, the signature and the JSON-RPC envelopes of a call
/// and its answer between two daemons; see docs/CAPACITY.md.
static constexpr size_t CallOverheadBytes = 430;

/// Sends a message. Runs Deliver when it arrives, unless it is lost.
void BenchRun::send(const Json::Value &Message, std::function<void()> Deliver) {
  this->ControlBytes += CallOverheadBytes + writeJson(Message).size();
  std::uniform_real_distribution<double> Draw(0, 1);
  if (Draw(this->Network) < this->Spec.ExchangeLoss)
    return;
  const Duration Delay = fromSeconds(toSeconds(this->Spec.ExchangeDelay) *
                                     (0.5 + Draw(this->Network)));
  this->schedule(this->Now + Delay, std::move(Deliver));
}

void BenchRun::exchange(BenchDaemon &Daemon) {
  PooledPolicy *Policy = std::get_if<PooledPolicy>(&Daemon.Policy);
  if (!Policy)
    return;
  if (const std::optional<EvidenceReport> Report =
          Policy->makeReport(this->Now))
    for (BenchDaemon &Owner : this->Daemons) {
      if (!Owner.Pool)
        continue;
      if (&Owner == &Daemon) {
        this->deliverReport(Owner, Daemon, *Report);
        continue;
      }
      this->send(encodeReport(*Report), [this, &Owner, &Daemon, R = *Report] {
        this->deliverReport(Owner, Daemon, R);
      });
    }
  if (Daemon.Pool)
    this->advancePool(Daemon);
}

void BenchRun::deliverReport(BenchDaemon &Owner, BenchDaemon &Source,
                             const EvidenceReport &Report) {
  Owner.Pool->mergeReport(Report, this->Now);
  Owner.Pool->advance(this->Now);
  if (!Owner.Pool->hasSuspects())
    return;
  // The summary is part of the answer to the report and adds no call overhead.
  const EvidenceSummary Summary = Owner.Pool->buildSummary(Source.Hall);
  if (&Owner == &Source) {
    this->deliverSummary(Source, Summary);
    return;
  }
  this->ControlBytes -= CallOverheadBytes;
  this->send(encodeSummary(Summary), [this, &Source, Summary] {
    this->deliverSummary(Source, Summary);
  });
}

void BenchRun::deliverSummary(BenchDaemon &Reader,
                              const EvidenceSummary &Summary) {
  std::get<PooledPolicy>(Reader.Policy).applySummary(Summary, this->Now);
}

void BenchRun::advancePool(BenchDaemon &Owner) {
  Owner.Pool->advance(this->Now);
  for (const std::string &Hall : Owner.Pool->getHalls()) {
    if (!Owner.Pool->hasUpdates(Hall))
      continue;
    const EvidenceSummary Summary = Owner.Pool->buildSummary(Hall);
    Owner.Pool->recordSent(Hall);
    for (BenchDaemon &Reader : this->Daemons) {
      if (Reader.Hall != Hall)
        continue;
      if (&Reader == &Owner) {
        this->deliverSummary(Reader, Summary);
        continue;
      }
      this->send(encodeSummary(Summary), [this, &Reader, Summary] {
        this->deliverSummary(Reader, Summary);
      });
    }
  }
}

} // namespace canvaswick
