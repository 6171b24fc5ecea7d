//===- TunnelEndTest.cpp - Tests of how tunnels end -----------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Guards against taking the end of a peer for the end of a server's answer:
/// answers without a length end with their connection, and a killed process
/// ends its connections in the ordinary way.
///
//===----------------------------------------------------------------------===//

#include "TunnelFixture.h"

#include <doctest/doctest.h>

using namespace canvaswick;

namespace {

constexpr const char *HalfAnswer = "HTTP/1.1 200 OK\r\n\r\nhalf an answer";

/// A peer that opens each tunnel, passes on half an answer and ends. Its answer
/// marks the end of tunnels only if IsMarking.
class EndingPeer {
public:
  explicit EndingPeer(bool IsMarking)
      : Server(HttpServerLimits{}, [IsMarking](HttpExchange &Each) {
          static const std::string Asked = "Canvaswick-Tunnel-Frames";
          const bool HasFrames = IsMarking && Each.Request.has_header(Asked);
          std::string Bytes = "HTTP/1.1 101 Switching Protocols\r\n";
          if (HasFrames)
            Bytes += Asked + ": 1\r\n";
          Bytes += "\r\n";
          const std::string Half = HalfAnswer;
          if (HasFrames)
            Bytes +=
                std::string{'\0', '\0', '\0', static_cast<char>(Half.size())};
          Bytes += Half;
          static_cast<httplib::Stream &>(Each.Stream).write(Bytes);
          Each.Stream.muteWrites(true);
          Each.MustClose = true;
        }) {
    REQUIRE(this->Server.start({"127.0.0.1", 0}));
  }

  OutgoingRequest makeRequest() const {
    OutgoingRequest Request;
    Request.MayEndWithConnection = true;
    Request.TunnelLimit = fromSeconds(5);
    Request.Through = TunnelTarget{{"127.0.0.1", this->Server.getPort()}, {}};
    return Request;
  }

private:
  HttpServer Server;
};

} // namespace

static ExchangeResult exchange(const OutgoingRequest &Request) {
  ConnectionPool Client(0);
  return Client.exchange({"127.0.0.1", 9}, Request,
                         readSteadyClock() + fromSeconds(5), -1, nullptr);
}

TEST_CASE(
    "a peer that ends while it passes on an answer leaves it incomplete") {
  const ExchangeResult Result = exchange(EndingPeer(true).makeRequest());
  CHECK(Result.End == ExchangeEnd::Broken);
  CHECK(Result.WasTunnelLost);
}

TEST_CASE("a peer that ends while a request is sent is a lost tunnel") {
  HttpServer Peer(HttpServerLimits{}, [](HttpExchange &Each) {
    static_cast<httplib::Stream &>(Each.Stream)
        .write("HTTP/1.1 101 Switching Protocols\r\n"
               "Canvaswick-Tunnel-Frames: 1\r\n\r\n");
    Each.Stream.muteWrites(true);
    Each.Stream.resetOnClose();
    Each.MustClose = true;
  });
  REQUIRE(Peer.start({"127.0.0.1", 0}));
  OutgoingRequest Request;
  Request.Method = "POST";
  Request.Body = std::string(20 << 20, 'x');
  Request.TunnelLimit = fromSeconds(5);
  Request.Through = TunnelTarget{{"127.0.0.1", Peer.getPort()}, {}};
  const ExchangeResult Result = exchange(Request);
  CHECK(Result.End == ExchangeEnd::Broken);
  CHECK(Result.WasTunnelLost);
}

TEST_CASE("an answer without a length is incomplete if the peer does not mark "
          "its end") {
  const ExchangeResult Result = exchange(EndingPeer(false).makeRequest());
  CHECK(Result.End == ExchangeEnd::Broken);
  CHECK(Result.HasUnmarkedEnd);
}

TEST_CASE_FIXTURE(TunnelFixture, "an answer without a length passes whole "
                                 "through a sound peer") {
  BackendFaults Faults;
  Faults.Unframed = true;
  this->setFaults(Faults);
  OutgoingRequest Request = this->makeRequest("b1", "/read?bytes=3000000");
  Request.MayEndWithConnection = true;
  const ExchangeResult Result = exchange(Request);
  CHECK(Result.End == ExchangeEnd::Complete);
  CHECK(Result.Body.size() == 3000000);
}

// A failed server counts against the server, unlike a peer that was lost.
TEST_CASE_FIXTURE(TunnelFixture, "an answer that its server cuts off is not "
                                 "taken for a lost tunnel") {
  BackendFaults Faults;
  Faults.CutAfter = 1000;
  this->setFaults(Faults);
  const ExchangeResult Result =
      exchange(this->makeRequest("b1", "/read?bytes=3000000"));
  CHECK(Result.End == ExchangeEnd::Broken);
  CHECK(!Result.WasTunnelLost);
}
