//===- KilledPeer.cpp - A daemon dies while it carries an answer ----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Servers send answers that state no length and end with their connection. A
/// server crashes. Requests that a daemon then sends to it are sent on through
/// the other daemon of the hall, which is killed while these answers arrive.
///
//===----------------------------------------------------------------------===//

#include "../standin/StandIn.h"

#include <cstdlib>
#include <memory>

using namespace review;

namespace {

struct Outcome {
  std::mutex Mutex;
  size_t Whole = 0;
  size_t Cut = 0;
  size_t Failed = 0;
  size_t Incomplete = 0;
};

} // namespace

static constexpr size_t AnswerBytes = 400000;

static constexpr size_t Rounds = 4;

static void pull(const Daemon &Entry, const std::string &Id, Outcome &Seen) {
  Connection Caller(connectTo(Entry.getPort()));
  Message Answer;
  const bool IsComplete =
      Caller.send("GET /pull/" + Id +
                  " HTTP/1.1\r\nHost: registry.example\r\nRequest-Id: " + Id +
                  "\r\nDeadline-Ms: 4000\r\n\r\n") &&
      Caller.readMessage(Answer, 6);
  const bool IsWhole = Answer.Body == makeUnframedBody(Id, AnswerBytes);
  record("answer id=" + Id + " status=" + std::to_string(Answer.status()) +
         " complete=" + (IsComplete ? "yes" : "no") +
         " length-stated=" + Answer.get("Content-Length") +
         " body-bytes=" + std::to_string(Answer.Body.size()) +
         " whole=" + (IsWhole ? "yes" : "no"));
  std::lock_guard<std::mutex> Lock(Seen.Mutex);
  if (!IsComplete)
    ++Seen.Incomplete;
  else if (Answer.status() != 200)
    ++Seen.Failed;
  else
    ++(IsWhole ? Seen.Whole : Seen.Cut);
}

int main(int Count, char **Values) {
  if (Count < 4)
    return 2;
  const std::string Root = Values[1];
  const std::string Work = Values[3];
  openRecord(Values[2], "record.txt");
  Store Platform;
  Platform.start();
  RunLog Log;
  std::vector<std::unique_ptr<Upstream>> Servers;
  const auto StartServer = [&](const std::string &Service,
                               const std::string &Id) {
    Servers.push_back(
        std::make_unique<Upstream>(Platform, Log, Id, Service, "ballerup-a"));
    Servers.back()->setWork(1.2);
    Servers.back()->setUnframed(AnswerBytes);
    Servers.back()->start();
  };
  for (const char *Service : {"reads", "acts"})
    for (int I = 0; I < 8; ++I)
      StartServer(Service, std::string("i-") + Service + std::to_string(I));
  Platform.put("op/config", makeConfig(7));
  Daemon Entry(Root, Work, "front-a-1", "ballerup-a");
  Daemon Peer(Root, Work, "front-a-2", "ballerup-a");
  const std::string Seeds =
      "127.0.0.1:" + std::to_string(Entry.getControlPort()) +
      ",127.0.0.1:" + std::to_string(Peer.getControlPort());
  for (Daemon *Each : {&Entry, &Peer}) {
    Each->configure(Platform.getPort(), Seeds);
    Each->start();
  }
  if (!Entry.waitUntilReady(20) || !Peer.waitUntilReady(20)) {
    record("cannot run: a daemon is not ready");
    Entry.stop();
    Peer.stop();
    return 2;
  }
  // Both daemons are in touch, and know each other and the servers.
  sleepFor(12);
  Outcome Seen;
  std::vector<std::thread> Clients;
  int Number = 0;
  const auto PullSome = [&](int Pulls) {
    for (int I = 0; I < Pulls; ++I) {
      const std::string Id = "pull-" + std::to_string(++Number);
      Clients.emplace_back([&Entry, &Seen, Id] { pull(Entry, Id, Seen); });
      sleepFor(0.02);
    }
  };
  PullSome(16);
  sleepFor(3);
  for (size_t Round = 0; Round < Rounds; ++Round) {
    if (hasTrouble())
      Servers[Round]->crash();
    PullSome(12);
    sleepFor(0.4);
    if (hasTrouble()) {
      Peer.killNow();
      sleepFor(0.5);
      Peer.start();
    }
    // The server is replaced by a new one, and both daemons are in touch.
    sleepFor(3);
    if (hasTrouble())
      StartServer("reads", "i-later" + std::to_string(Round));
    sleepFor(7);
  }
  for (std::thread &Each : Clients)
    Each.join();
  Entry.stop();
  Peer.stop();
  record("whole=" + std::to_string(Seen.Whole) + " cut-but-complete=" +
         std::to_string(Seen.Cut) + " failed=" + std::to_string(Seen.Failed) +
         " incomplete=" + std::to_string(Seen.Incomplete));
  if (Seen.Whole < 16) {
    record("cannot run: hardly any request was answered");
    std::_Exit(2);
  }
  const bool IsBroken = Seen.Cut > 0;
  record(IsBroken ? "MIXED broken" : "MIXED held");
  std::_Exit(IsBroken ? 1 : 0);
}
