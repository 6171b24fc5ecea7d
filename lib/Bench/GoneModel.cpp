//===- GoneModel.cpp - Model of how a fleet learns who is gone ------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Most servers of a service end at once while the directory goes on listing
/// them. Daemons with their real tables of servers that are gone send requests
/// to the listed servers and tell each other what they find. Counts the
/// requests that servers decline as misdirected, and the messages.
///
//===----------------------------------------------------------------------===//

#include "CapacityTables.h"
#include "canvaswick/Routing/GoneServers.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <utility>

namespace canvaswick {

namespace {

/// The time that messages take within a hall and between halls.
constexpr Duration LocalDelay = fromMillis(2);
constexpr Duration RemoteDelay = fromMillis(10);

/// How often each hall repeats which servers are gone, and the maximum number
/// of servers in a message.
constexpr Duration RepeatInterval = fromMillis(500);
constexpr size_t MaxReports = 30;

/// A misdirected request that comes later than this after the first one at the
/// same server could have been avoided.
constexpr Duration AvoidableAfter = fromMillis(200);

constexpr Duration RunTime = fromSeconds(20);
constexpr Duration Step = fromMillis(1);

struct GoneCase {
  size_t Halls = 3;
  size_t DaemonsOfHall = 12;
  size_t Servers = 16;
  size_t GoneServers = 12;
  double RequestsPerSecond = 100;
  double Loss = 0;
  /// Whether daemons tell each other.
  bool IsTold = true;
};

struct GoneResult {
  size_t Requests = 0;
  size_t Misdirected = 0;
  size_t Avoidable = 0;
  /// The most messages that one daemon received within one second.
  size_t PeakMessages = 0;
};

/// A message on its way to one daemon.
struct GoneMessage {
  size_t Daemon = 0;
  /// Whether the daemon passes it on to its hall.
  bool IsRelayed = false;
  TimePoint SentAt{};
  std::shared_ptr<const std::vector<GoneReport>> Reports;
};

/// One run in virtual time.
class GoneRun {
public:
  explicit GoneRun(const GoneCase &Case)
      : Case(Case), Daemons(Case.Halls * Case.DaemonsOfHall),
        Received(this->Daemons.size()), FirstAt(Case.Servers), Random(1) {
    for (size_t I = 0; I < this->Daemons.size(); ++I)
      this->Daemons[I].setSelf(fmt::format("d{}", I));
  }

  GoneResult run() {
    double Due = 0;
    for (TimePoint Now = Begin; Now < Begin + RunTime; Now += Step) {
      this->deliver(Now);
      if ((Now - Begin) % RepeatInterval == Duration::zero())
        this->repeat(Now);
      if ((Now - Begin) % fromSeconds(1) == Duration::zero())
        this->closeSecond();
      Due += this->Case.RequestsPerSecond * toSeconds(Step);
      for (; Due >= 1; --Due)
        this->sendRequest(Now);
    }
    this->closeSecond();
    return this->Result;
  }

private:
  static constexpr TimePoint Begin{fromSeconds(1000)};

  size_t draw(size_t Count) { return this->Random() % Count; }
  bool isLost() {
    return std::bernoulli_distribution(this->Case.Loss)(this->Random);
  }

  /// Sends a request to a listed server that the daemon does not know to be
  /// gone.
  void sendRequest(TimePoint Now) {
    const size_t Daemon = this->draw(this->Daemons.size());
    GoneServers &Known = this->Daemons[Daemon];
    std::vector<size_t> Usable;
    for (size_t I = 0; I < this->Case.Servers; ++I)
      if (!Known.isGone(static_cast<ServerId>(I + 1), Now))
        Usable.push_back(I);
    ++this->Result.Requests;
    const size_t Server = Usable[this->draw(Usable.size())];
    if (Server >= this->Case.GoneServers)
      return;
    this->recordMisdirected(Server, Now);
    const auto Id = static_cast<ServerId>(Server + 1);
    Known.recordAnswer(Id, "s", Now, Now);
    if (this->Case.IsTold)
      this->tell(Daemon, Known.drainReports(MaxReports, Now), Now);
  }

  void recordMisdirected(size_t Server, TimePoint Now) {
    ++this->Result.Misdirected;
    TimePoint &First = this->FirstAt[Server];
    if (First == TimePoint{})
      First = Now;
    else if (Now - First > AvoidableAfter)
      ++this->Result.Avoidable;
  }

  /// Sends reports to the daemon's hall and to one daemon of each other hall.
  void tell(size_t From, const std::vector<GoneReport> &Reports,
            TimePoint Now) {
    if (Reports.empty())
      return;
    const auto Shared =
        std::make_shared<const std::vector<GoneReport>>(Reports);
    const size_t Hall = From / this->Case.DaemonsOfHall;
    this->sendToHall({From, false, Now, Shared}, Now);
    for (size_t Other = 0; Other < this->Case.Halls; ++Other)
      if (Other != Hall && !this->isLost())
        this->Messages.emplace(
            Now + RemoteDelay,
            GoneMessage{Other * this->Case.DaemonsOfHall +
                            this->draw(this->Case.DaemonsOfHall),
                        true, Now, Shared});
  }

  /// Sends a message to the others of the hall of its daemon.
  void sendToHall(const GoneMessage &Message, TimePoint Now) {
    const size_t First =
        Message.Daemon / this->Case.DaemonsOfHall * this->Case.DaemonsOfHall;
    for (size_t I = First; I < First + this->Case.DaemonsOfHall; ++I)
      if (I != Message.Daemon && !this->isLost())
        this->Messages.emplace(
            Now + LocalDelay,
            GoneMessage{I, false, Message.SentAt, Message.Reports});
  }

  void deliver(TimePoint Now) {
    while (!this->Messages.empty() && this->Messages.begin()->first <= Now) {
      const GoneMessage Message = this->Messages.begin()->second;
      this->Messages.erase(this->Messages.begin());
      ++this->Received[Message.Daemon];
      for (const GoneReport &Each : *Message.Reports)
        this->Daemons[Message.Daemon].applyReport(Each, "s", Now);
      if (Message.IsRelayed)
        this->sendToHall(Message, Now);
    }
  }

  void repeat(TimePoint Now) {
    if (!this->Case.IsTold)
      return;
    for (size_t Hall = 0; Hall < this->Case.Halls; ++Hall) {
      const size_t Daemon = Hall * this->Case.DaemonsOfHall +
                            this->draw(this->Case.DaemonsOfHall);
      this->tell(Daemon, this->Daemons[Daemon].listReports(MaxReports, Now),
                 Now);
    }
  }

  void closeSecond() {
    for (size_t &Each : this->Received)
      this->Result.PeakMessages =
          std::max(this->Result.PeakMessages, std::exchange(Each, 0));
  }

  const GoneCase Case;
  std::vector<GoneServers> Daemons;
  std::vector<size_t> Received;
  /// When the first misdirected request came to each server.
  std::vector<TimePoint> FirstAt;
  std::multimap<TimePoint, GoneMessage> Messages;
  std::mt19937_64 Random;
  GoneResult Result;
};

} // namespace

std::string measureGone() {
  std::string Csv = "daemons,servers,gone,requests_per_s,loss_percent,told,"
                    "requests,misdirected,avoidable,peak_messages_per_s\n";
  const std::vector<GoneCase> Cases = {
      {3, 12, 16, 12, 100, 0, false},   {3, 12, 16, 12, 100, 0, true},
      {3, 12, 16, 12, 100, 0.2, true},  {7, 63, 300, 240, 1500, 0, false},
      {7, 63, 300, 240, 1500, 0, true}, {7, 63, 300, 240, 1500, 0.2, true},
  };
  for (const GoneCase &Case : Cases) {
    const GoneResult Result = GoneRun(Case).run();
    Csv += fmt::format(
        "{},{},{},{},{},{},{},{},{},{}\n", Case.Halls * Case.DaemonsOfHall,
        Case.Servers, Case.GoneServers, Case.RequestsPerSecond, Case.Loss * 100,
        Case.IsTold, Result.Requests, Result.Misdirected, Result.Avoidable,
        Result.PeakMessages);
  }
  return Csv;
}

} // namespace canvaswick
