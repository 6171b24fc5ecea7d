//===- GzipUpload.cpp - Requests with Content-Encoding: gzip --------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A consumer sends requests whose bodies are gzip streams, eight short ones
/// and two long ones. With the disruption they have the header
/// Content-Encoding: gzip; without it, the same bytes are sent without that
/// header. The text in one long body holds what looks like a request, as a
/// recording of HTTP traffic does.
///
//===----------------------------------------------------------------------===//

#include "../standin/StandIn.h"

#include <zlib.h>

#include <cstdlib>
#include <memory>

using namespace review;

static std::string compress(const std::string &Text) {
  z_stream Stream{};
  static constexpr int GzipWindow = 15 + 16;
  deflateInit2(&Stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED, GzipWindow, 8,
               Z_DEFAULT_STRATEGY);
  std::string Packed(deflateBound(&Stream, Text.size()), '\0');
  std::string Given = Text;
  Stream.next_in = reinterpret_cast<Bytef *>(Given.data());
  Stream.avail_in = static_cast<uInt>(Given.size());
  Stream.next_out = reinterpret_cast<Bytef *>(Packed.data());
  Stream.avail_out = static_cast<uInt>(Packed.size());
  deflate(&Stream, Z_FINISH);
  Packed.resize(Stream.total_out);
  deflateEnd(&Stream);
  return Packed;
}

/// Returns letters that gzip shortens by a quarter at most.
static std::string makeNoise(size_t Count) {
  static const char Signs[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Noise;
  uint64_t State = 88172645463325252ULL;
  while (Noise.size() < Count) {
    State ^= State << 13;
    State ^= State >> 7;
    State ^= State << 17;
    Noise += Signs[State >> 58];
  }
  return Noise;
}

/// Returns a text with a recorded request that begins at the place to which the
/// packed text is long.
static std::string makeRecording(const std::string &Recorded) {
  std::string Head = makeNoise(100000);
  for (size_t At = 70000; At < Head.size(); ++At) {
    const std::string Text =
        Head.substr(0, At) + Recorded + Head.substr(At) + "\n";
    const size_t Packed = compress(Text).size();
    if (Packed == At)
      return Text;
    if (Packed > At + 1)
      At = Packed - 2;
  }
  return Head + Recorded;
}

int main(int Count, char **Values) {
  if (Count < 4)
    return 2;
  const std::string Root = Values[1];
  const std::string Work = Values[3];
  openRecord(Values[2], "record-gzip.txt");
  Store Platform;
  Platform.start();
  RunLog Log;
  std::vector<std::unique_ptr<Upstream>> Servers;
  for (const char *Service : {"reads", "acts"})
    for (int I = 0; I < 4; ++I) {
      Servers.push_back(std::make_unique<Upstream>(
          Platform, Log, std::string("i-") + Service + std::to_string(I),
          Service, "ballerup-a"));
      Servers.back()->start();
    }
  Platform.put("op/config", makeConfig(7));
  Daemon Entry(Root, Work, "front-a-1", "ballerup-a");
  Entry.configure(Platform.getPort(),
                  "127.0.0.1:" + std::to_string(Entry.getControlPort()));
  Entry.start();
  if (!Entry.waitUntilReady(20)) {
    record("cannot run: the daemon is not ready");
    Entry.stop();
    return 2;
  }
  // Longer than contactS: the daemon is in touch.
  sleepFor(4);
  const std::string Recorded =
      "POST /act/pay HTTP/1.1\r\nHost: registry.example\r\nRequest-Id: "
      "recorded-1\r\nDeadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n";
  std::map<std::string, std::string> Sent;
  for (int I = 0; I < 8; ++I) {
    std::string Text;
    for (int K = 0; K < 40 + I; ++K)
      Text +=
          "{\"package\":\"p" + std::to_string(K) + "\",\"action\":\"yank\"}\n";
    Sent["short-" + std::to_string(I)] = compress(Text);
  }
  Sent["long-0"] = compress(makeNoise(300000));
  Sent["long-1"] = compress(makeRecording(Recorded));
  size_t Answered = 0;
  for (const auto &[Id, Body] : Sent) {
    Connection Caller(connectTo(Entry.getPort()));
    Message Answer;
    const std::string Encoding =
        hasTrouble() ? "Content-Encoding: gzip\r\n" : "";
    const bool IsAnswered =
        Caller.send("POST /act/batch HTTP/1.1\r\nHost: registry.example\r\n"
                    "Request-Id: " +
                    Id +
                    "\r\nDeadline-Ms: 5000\r\nContent-Type: "
                    "application/json\r\n" +
                    Encoding + "Content-Length: " +
                    std::to_string(Body.size()) + "\r\n\r\n" + Body) &&
        Caller.readMessage(Answer, 8);
    record("sent id=" + Id + " body-bytes=" + std::to_string(Body.size()) +
           " " +
           (IsAnswered ? "status=" + std::to_string(Answer.status())
                       : std::string("no answer")));
    Answered += IsAnswered ? 1 : 0;
    sleepFor(0.5);
  }
  sleepFor(2);
  Entry.stop();
  size_t Changed = 0;
  size_t NeverSent = 0;
  for (const Run &Each : Log.list()) {
    const auto Found = Sent.find(Each.Id);
    if (Found == Sent.end()) {
      ++NeverSent;
      record("never-sent id=" + Each.Id + " line=\"" + Each.Line +
             "\" server=" + Each.Server);
    } else if (Found->second != Each.Body) {
      ++Changed;
      record("changed id=" + Each.Id +
             " sent-bytes=" + std::to_string(Found->second.size()) +
             " run-bytes=" + std::to_string(Each.Body.size()) +
             " server=" + Each.Server);
    }
  }
  record("answered=" + std::to_string(Answered) +
         " runs=" + std::to_string(Log.list().size()) + " changed-bodies=" +
         std::to_string(Changed) + " never-sent=" + std::to_string(NeverSent));
  if (Answered == 0) {
    record("cannot run: nothing was answered");
    std::_Exit(2);
  }
  const bool IsBroken = Changed > 0 || NeverSent > 0;
  record(IsBroken ? "UNASKED broken" : "UNASKED held");
  std::_Exit(IsBroken ? 1 : 0);
}
