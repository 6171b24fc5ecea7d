//===- HttpServerTest.cpp - Tests for HttpServer and ConnectionPool -------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Tests resource limits, immediate refusals, graceful stops, and the required
/// settings of cpp-httplib.
//===----------------------------------------------------------------------===//

#include "canvaswick/Http/HttpServer.h"
#include "canvaswick/Http/HttpClient.h"
#include "canvaswick/Http/TcpConnect.h"
#include "canvaswick/StandIn/RelayStandIn.h"

#include <doctest/doctest.h>

#include <fmt/format.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <thread>

using namespace canvaswick;

namespace {

/// A server whose handler blocks until IsOpen is set.
class Gate {
public:
  explicit Gate(HttpServerLimits Limits)
      : Server(Limits, [this](HttpExchange &Exchange) {
          ++this->Entered;
          Exchange.Stream.setDeadline(TimePoint::max());
          while (!this->IsOpen)
            std::this_thread::yield();
          Exchange.Response.set_content("through", "text/plain");
        }) {
    REQUIRE(this->Server.start({"127.0.0.1", 0}));
  }
  ~Gate() { this->IsOpen = true; }

  Endpoint getAddress() const { return {"127.0.0.1", this->Server.getPort()}; }

  std::atomic<bool> IsOpen{false};
  std::atomic<int> Entered{0};
  HttpServer Server;
};

} // namespace

static ExchangeResult get(ConnectionPool &Pool, const Endpoint &Address) {
  return Pool.exchange(Address, OutgoingRequest(),
                       readSteadyClock() + fromSeconds(20), -1, nullptr);
}

TEST_CASE("a kept connection serves many requests and sets TCP_NODELAY") {
  Gate Open{HttpServerLimits()};
  Open.IsOpen = true;
  ConnectionPool Pool(1);
  for (int I = 0; I < 50; ++I)
    CHECK(get(Pool, Open.getAddress()).Status == 200);
  CHECK(Pool.countOpen(Open.getAddress()) == 1);
  CHECK(Open.Server.countConnections() == 1);
  SocketStream Stream(connectTcp("127.0.0.1", Open.Server.getPort(),
                                 readSteadyClock() + fromSeconds(5)));
  int NoDelay = 0;
  socklen_t Length = sizeof(NoDelay);
  ::getsockopt(Stream.socket(), IPPROTO_TCP, TCP_NODELAY, &NoDelay, &Length);
  CHECK(NoDelay != 0);
}

/// Returns all that a server answers to these bytes until it closes.
static std::string readUntilClosed(const HttpServer &Server,
                                   const std::string &Bytes) {
  SocketStream Stream(connectTcp("127.0.0.1", Server.getPort(),
                                 readSteadyClock() + fromSeconds(5)));
  Stream.setDeadline(readSteadyClock() + fromSeconds(5));
  static_cast<httplib::Stream &>(Stream).write(Bytes);
  std::string All;
  char Piece[4096];
  for (ssize_t Count = 1; Count > 0;) {
    Count = Stream.read(Piece, sizeof(Piece));
    if (Count > 0)
      All.append(Piece, static_cast<size_t>(Count));
  }
  // The deadline is not what ended it.
  CHECK(Stream.getFailure() != StreamFailure::Timeout);
  return All;
}

// Guards against callers that read to the end and wait for the idle limit.
TEST_CASE("a connection is closed if its request asks for that") {
  Gate Open{HttpServerLimits()};
  Open.IsOpen = true;
  for (const std::string Option : {"close", "CLOSE", "x-a ,\tClose"}) {
    const std::string Answer =
        readUntilClosed(Open.Server, "GET / HTTP/1.1\r\nHost: h\r\n"
                                     "Connection: " +
                                         Option + "\r\n\r\n");
    CHECK(Answer.starts_with("HTTP/1.1 200"));
    CHECK(Answer.find("\r\nConnection: close\r\n") != std::string::npos);
  }
}

// Guards against a request that is run although its caller has closed.
TEST_CASE("nothing that follows a request which asks for the close is run, "
          "however that is answered") {
  const std::string Next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const int Status : {200, 404, 503}) {
    CAPTURE(Status);
    std::atomic<int> Runs{0};
    HttpServer Server(HttpServerLimits(), [&](HttpExchange &Exchange) {
      ++Runs;
      Exchange.Response.status = Status;
    });
    REQUIRE(Server.start({"127.0.0.1", 0}));
    const std::string Answer =
        readUntilClosed(Server, "GET / HTTP/1.1\r\nHost: h\r\n"
                                "Connection: close\r\n\r\n" +
                                    Next);
    CHECK(Answer.starts_with(fmt::format("HTTP/1.1 {}", Status)));
    CHECK(Answer.find("\r\nConnection: close\r\n") != std::string::npos);
    CHECK(Answer.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(Runs == 1);
  }
  Gate Open{HttpServerLimits()};
  Open.IsOpen = true;
  const std::string Refused = readUntilClosed(
      Open.Server, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                   "Content-Length: 1\r\nContent-Length: 2\r\n\r\n" +
                       Next);
  CHECK(Refused.starts_with("HTTP/1.1 400"));
  CHECK(Refused.find("\r\nConnection: close\r\n") != std::string::npos);
  CHECK(Refused.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(Open.Entered == 0);
}

TEST_CASE("a burst of connections is accepted completely") {
  // The connections of a burst must wait in the listen queue of the kernel.
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = 4;
  Limits.Workers.Queue = 1000;
  Gate Open(Limits);
  Open.IsOpen = true;
  for (int Round = 0; Round < 5; ++Round) {
    ConnectionPool Pool(0);
    std::atomic<int> Served{0};
    std::vector<std::thread> Callers;
    Callers.reserve(100);
    for (int I = 0; I < 100; ++I)
      Callers.emplace_back([&] {
        if (get(Pool, Open.getAddress()).Status == 200)
          ++Served;
      });
    for (std::thread &Caller : Callers)
      Caller.join();
    CHECK(Served == 100);
  }
}

TEST_CASE("a request beyond the worker limits is refused with Retry-After") {
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = 1;
  Limits.Workers.Queue = 0;
  Gate Blocked(Limits);
  ConnectionPool Pool(0);
  std::thread First(
      [&] { CHECK(get(Pool, Blocked.getAddress()).Status == 200); });
  while (Blocked.Entered == 0)
    std::this_thread::yield();
  const ExchangeResult Refused = get(Pool, Blocked.getAddress());
  CHECK(Refused.Status == 503);
  CHECK(Refused.Headers.find("Retry-After") != Refused.Headers.end());
  CHECK(Refused.Headers.find("Canvaswick-Outcome")->second == "not-run");
  Blocked.IsOpen = true;
  First.join();
  CHECK(Blocked.Server.getCounters().RefusedBusy == 1);
}

TEST_CASE("idle connections occupy no thread but count towards the limit") {
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = 1;
  Limits.MaxConnections = 20;
  Gate Open(Limits);
  Open.IsOpen = true;
  std::vector<std::unique_ptr<SocketStream>> Idle;
  Idle.reserve(19);
  for (int I = 0; I < 19; ++I)
    Idle.push_back(std::make_unique<SocketStream>(
        connectTcp("127.0.0.1", Open.Server.getPort(),
                   readSteadyClock() + fromSeconds(5))));
  ConnectionPool Pool(0);
  CHECK(get(Pool, Open.getAddress()).Status == 200);
  // One connection beyond the limit is refused immediately instead of waiting.
  ConnectionPool Other(0);
  CHECK(get(Other, Open.getAddress()).Status == 503);
}

TEST_CASE("a graceful stop completes requests in flight") {
  Gate Blocked{HttpServerLimits()};
  ConnectionPool Pool(0);
  ExchangeResult Result;
  std::thread Caller([&] { Result = get(Pool, Blocked.getAddress()); });
  while (Blocked.Entered == 0)
    std::this_thread::yield();
  std::thread Opener([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Blocked.IsOpen = true;
  });
  CHECK(Blocked.Server.stopGracefully(readSteadyClock() + fromSeconds(20)));
  Caller.join();
  Opener.join();
  CHECK(Result.Status == 200);
  CHECK(Result.Body == "through");
}

TEST_CASE("a stop ends at its deadline when a request never ends") {
  Gate Blocked{HttpServerLimits()};
  ConnectionPool Pool(0);
  std::thread Caller([&] { get(Pool, Blocked.getAddress()); });
  while (Blocked.Entered == 0)
    std::this_thread::yield();
  CHECK(!Blocked.Server.stopGracefully(readSteadyClock() + fromMillis(50)));
  Blocked.IsOpen = true;
  Caller.join();
}

// Guards against a connection that is parked by a server that is being
// destroyed.
TEST_CASE("a server waits for its requests before it is gone") {
  for (int I = 0; I < 20; ++I) {
    std::atomic<bool> HasEntered{false};
    auto Server =
        std::make_unique<HttpServer>(HttpServerLimits{}, [&](HttpExchange &) {
          HasEntered = true;
          std::this_thread::sleep_for(std::chrono::milliseconds(20));
        });
    REQUIRE(Server->start({"127.0.0.1", 0}));
    const Endpoint Address{"127.0.0.1", Server->getPort()};
    ConnectionPool Pool(1);
    ExchangeResult Result;
    std::thread Caller([&] { Result = get(Pool, Address); });
    while (!HasEntered)
      std::this_thread::yield();
    Server.reset();
    Caller.join();
    CHECK(Result.Status == 200);
  }
}

TEST_CASE("the number of connections to one address is limited") {
  Gate Blocked{HttpServerLimits()};
  ConnectionPool Pool(1);
  std::thread First([&] { get(Pool, Blocked.getAddress()); });
  while (Blocked.Entered == 0)
    std::this_thread::yield();
  CHECK(get(Pool, Blocked.getAddress()).End == ExchangeEnd::NoConnection);
  Blocked.IsOpen = true;
  First.join();
}

TEST_CASE("a refused connection is not-sent, lost responses are a timeout") {
  ConnectionPool Pool(0);
  CHECK(get(Pool, {"127.0.0.1", 1}).End == ExchangeEnd::NotSent);
  Gate Open{HttpServerLimits()};
  Open.IsOpen = true;
  RelayStandIn Relay(Open.getAddress());
  REQUIRE(Relay.start({"127.0.0.1", 0}));
  const Endpoint Through{"127.0.0.1", Relay.getPort()};
  CHECK(get(Pool, Through).Status == 200);
  // Requests arrive but responses do not, so the request may have been
  // executed.
  Relay.getFaults().CutBackward = true;
  const ExchangeResult Cut =
      Pool.exchange(Through, OutgoingRequest(),
                    readSteadyClock() + fromMillis(300), -1, nullptr);
  CHECK(Cut.End == ExchangeEnd::Timeout);
  Relay.getFaults().CutBackward = false;
  // A late response on the old connection is not taken for the response to a
  // new request.
  CHECK(get(Pool, Through).Body == "through");
}

TEST_CASE("connections wait until the server begins to accept") {
  HttpServer Server(HttpServerLimits(), [](HttpExchange &Exchange) {
    Exchange.Response.set_content("late", "text/plain");
  });
  REQUIRE(Server.bind({"127.0.0.1", 0}));
  ConnectionPool Pool(0);
  ExchangeResult Result;
  std::thread Caller([&] {
    Result = get(Pool, {"127.0.0.1", Server.getPort()});
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(Server.countConnections() == 0);
  Server.beginAccepting();
  Server.beginAccepting();
  Caller.join();
  CHECK(Result.Body == "late");
}

TEST_CASE("a connection to one server instance is not reused for another") {
  HttpServer Server(HttpServerLimits{}, [](HttpExchange &Exchange) {
    Exchange.Response.set_content("ok", "text/plain");
  });
  REQUIRE(Server.start({"127.0.0.1", 0}));
  const Endpoint Address{"127.0.0.1", Server.getPort()};
  ConnectionPool Pool(0);
  const auto ExchangeWith = [&](const std::string &ServerInstance) {
    OutgoingRequest Request;
    Request.ServerInstance = ServerInstance;
    return Pool
        .exchange(Address, Request, readSteadyClock() + fromSeconds(5), -1,
                  nullptr)
        .End;
  };
  CHECK(ExchangeWith("one") == ExchangeEnd::Complete);
  CHECK(ExchangeWith("one") == ExchangeEnd::Complete);
  CHECK(Pool.countOpen(Address) == 1);
  CHECK(ExchangeWith("two") == ExchangeEnd::Complete);
  // The connection to the first instance is closed, not kept beside it.
  CHECK(Pool.countOpen(Address) == 1);
  const auto HasOneConnection = [&Server] {
    return Server.countConnections() == 1;
  };
  for (int I = 0; I < 500 && !HasOneConnection(); ++I)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  CHECK(HasOneConnection());
}
