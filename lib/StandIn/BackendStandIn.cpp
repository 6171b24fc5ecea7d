//===- BackendStandIn.cpp - Test double of a backend server ---------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Answers are written to the stream directly instead of through the HTTP
/// library, so that they can be malformed: truncated, stalled, too long,
/// without a length, or with the id of another request.
///
//===----------------------------------------------------------------------===//

#include "canvaswick/StandIn/BackendStandIn.h"
#include "canvaswick/Json/JsonText.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <thread>

#include <unistd.h>

namespace canvaswick {

static constexpr size_t StandInWorkers = 96;
static constexpr int MisdirectedStatus = 421;
static constexpr size_t PieceBytes = 64 * 1024;

/// Exit code of the process after a request that matches ExitTargetPrefix.
static constexpr int EndedByRequest = 70;

BackendStandIn::BackendStandIn(BackendSetup Setup)
    : Setup(std::move(Setup)), Started(readSteadyClock()) {
  HttpServerLimits Limits;
  Limits.Workers.MaxThreads = StandInWorkers;
  Limits.Workers.Queue = 1024;
  this->Server = std::make_unique<HttpServer>(
      Limits, [this](HttpExchange &Exchange) { this->handle(Exchange); });
}

BackendStandIn::~BackendStandIn() { this->stop(); }

Result<void> BackendStandIn::start(const Endpoint &Address) {
  return this->Server->start(Address);
}

void BackendStandIn::stop() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Stopping = true;
    this->Faults = BackendFaults();
  }
  this->SlotFree.notify_all();
  this->Server->stopGracefully(readSteadyClock() + fromSeconds(5));
}

uint16_t BackendStandIn::getPort() const { return this->Server->getPort(); }

void BackendStandIn::setFaults(const BackendFaults &Faults) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Faults = Faults;
}

std::map<std::string, int> BackendStandIn::getLedger() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Ledger;
}

httplib::Headers BackendStandIn::getLastHeaders() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->LastHeaders;
}

uint64_t BackendStandIn::countRuns() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Runs;
}

uint64_t BackendStandIn::countArrivals() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Arrivals;
}

uint64_t BackendStandIn::countCanceled() const {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Canceled;
}

static bool readBody(HttpExchange &Exchange, std::string &Body) {
  if (!Exchange.Body)
    return true;
  // Of a long upload, all is read but only the beginning is kept.
  const BodyEnd End =
      Exchange.Body->read([&Body](const char *Data, size_t Size) {
        if (Body.size() < PieceBytes)
          Body.append(Data, Size);
        return true;
      });
  return End == BodyEnd::Whole;
}

bool BackendStandIn::isHit(const httplib::Request &Request) {
  const BackendFaults &Set = this->Faults;
  if (Request.target.compare(0, Set.OnlyTarget.size(), Set.OnlyTarget) != 0)
    return false;
  if (!Set.OnlyDaemon.empty() &&
      Request.get_header_value("Via").find(Set.OnlyDaemon) == std::string::npos)
    return false;
  return std::uniform_int_distribution<int>(1, 100)(this->Random) <=
         Set.Percent;
}

void BackendStandIn::handle(HttpExchange &Exchange) {
  const std::string &Target = Exchange.Request.target;
  Exchange.Stream.setDeadline(TimePoint::max());
  if (Target.compare(0, 9, "/control/") == 0) {
    this->handleControl(Exchange);
    return;
  }
  if (Target == "/health" || Target == "/load") {
    this->handleHealth(Exchange);
    return;
  }
  BackendFaults Active;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->Arrivals;
  }
  std::string Body;
  if (!readBody(Exchange, Body)) {
    Exchange.MustClose = true;
    return;
  }
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->isHit(Exchange.Request))
      Active = this->Faults;
    Active.Drain = this->Faults.Drain;
  }
  this->run(Exchange, Body, Active);
}

void BackendStandIn::handleHealth(HttpExchange &Exchange) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const bool IsRed = this->Faults.HealthLiesRed || this->Faults.Drain;
  Exchange.Response.status = IsRed ? 503 : 200;
  Exchange.Response.set_content(
      fmt::format("{{\"state\":\"{}\",\"load\":{}}}\n",
                  this->Faults.Drain ? "leaving" : "serving",
                  this->Busy + this->Waiting),
      "application/json");
}

bool BackendStandIn::acquireSlot(TimePoint Deadline) {
  std::unique_lock<std::mutex> Lock(this->Mutex);
  if (this->Busy >= this->Setup.Slots &&
      this->Waiting >= this->Setup.QueueLimit)
    return false;
  ++this->Waiting;
  this->SlotFree.wait_until(Lock, Deadline, [this] {
    return this->Busy < this->Setup.Slots || this->Stopping;
  });
  --this->Waiting;
  if (this->Busy >= this->Setup.Slots)
    return false;
  ++this->Busy;
  return true;
}

void BackendStandIn::releaseSlot() {
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    --this->Busy;
  }
  this->SlotFree.notify_one();
}

static bool hasPeerLeft(SocketStream &Stream) {
  // A client that waits for its answer sends nothing, so readable input means
  // that it closed the connection.
  return Stream.hasUnexpectedInput();
}

/// Simulates execution for Length. Returns false if the client closed the
/// connection meanwhile.
bool BackendStandIn::work(HttpExchange &Exchange, Duration Length) {
  const TimePoint End = readSteadyClock() + Length;
  while (readSteadyClock() < End) {
    const Duration Left = End - readSteadyClock();
    std::this_thread::sleep_for(std::min(Left, fromMillis(20)));
    if (hasPeerLeft(Exchange.Stream))
      return false;
    std::lock_guard<std::mutex> Lock(this->Mutex);
    if (this->Stopping)
      return true;
  }
  return true;
}

static void refuseAsNotRun(HttpExchange &Exchange,
                           const std::string &RetryAfter) {
  Exchange.Response.status = 503;
  Exchange.Response.set_header("Canvaswick-Outcome", "not-run");
  if (!RetryAfter.empty())
    Exchange.Response.set_header("Retry-After", RetryAfter);
}

/// Sets the headers by which a server reports its limit and that it is leaving.
static void setServerNotices(HttpExchange &Exchange,
                             const BackendFaults &Active) {
  if (!Active.Limit.empty())
    Exchange.Response.set_header("Canvaswick-Request-Limit", Active.Limit);
  if (Active.SendsLeaving)
    Exchange.Response.set_header("Canvaswick-Leaving", "1");
}

void BackendStandIn::run(HttpExchange &Exchange, const std::string &Body,
                         const BackendFaults &Active) {
  static constexpr Duration HangTime = fromSeconds(300);
  setServerNotices(Exchange, Active);
  if (Active.Misdirect) {
    Exchange.Response.status = MisdirectedStatus;
    return;
  }
  if (Active.Shed || Active.Drain) {
    refuseAsNotRun(Exchange, Active.RetryAfter);
    return;
  }
  const std::string DeadlineText =
      Exchange.Request.get_header_value("X-Deadline-Ms");
  TimePoint Deadline = readSteadyClock() + fromSeconds(60);
  if (!DeadlineText.empty())
    Deadline = readSteadyClock() +
               fromMillis(std::strtoll(DeadlineText.c_str(), nullptr, 10));
  if (!this->acquireSlot(Deadline)) {
    refuseAsNotRun(Exchange, "1");
    return;
  }
  Duration Length = fromMillis(this->Setup.ServiceMs + Active.SlowMs);
  if (readSteadyClock() - this->Started < fromMillis(this->Setup.ColdMs))
    Length *= this->Setup.ColdFactor;
  {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->Runs;
    this->LastHeaders = Exchange.Request.headers;
    const std::string Key =
        Exchange.Request.get_header_value("Idempotency-Key");
    if (!Key.empty())
      ++this->Ledger[Key];
  }
  const bool IsStaying = this->work(Exchange, Active.Hang ? HangTime : Length);
  this->releaseSlot();
  if (!IsStaying) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    ++this->Canceled;
    Exchange.MustClose = true;
    return;
  }
  if (!this->Setup.ExitTargetPrefix.empty() &&
      Exchange.Request.target.starts_with(this->Setup.ExitTargetPrefix))
    ::_exit(EndedByRequest);
  if (Active.LoseAnswer) {
    Exchange.Stream.muteWrites(true);
    Exchange.MustClose = true;
    return;
  }
  if (Active.Fail) {
    Exchange.Response.status = 500;
    Exchange.Response.set_content("failed\n", "text/plain");
    return;
  }
  Exchange.Response.set_header("X-Body-Bytes", fmt::format("{}", Body.size()));
  this->answer(Exchange, Active);
}

static int64_t readSize(const std::string &Target, int64_t Default) {
  const size_t At = Target.find("bytes=");
  if (At == std::string::npos)
    return Default;
  return std::strtoll(Target.c_str() + At + 6, nullptr, 10);
}

/// Returns the byte at an offset of the body, which is the same on every
/// server, so that a download can be resumed elsewhere.
static char getBodyByte(int64_t At) { return static_cast<char>('a' + At % 23); }

static std::string makePiece(int64_t From, int64_t Length) {
  std::string Piece(static_cast<size_t>(Length), ' ');
  for (int64_t I = 0; I < Length; ++I)
    Piece[static_cast<size_t>(I)] = getBodyByte(From + I);
  return Piece;
}

/// Writes the answer to the stream with the faults applied.
void BackendStandIn::answer(HttpExchange &Exchange,
                            const BackendFaults &Active) {
  const httplib::Request &Request = Exchange.Request;
  const bool IsSized = Request.target.find("bytes=") != std::string::npos;
  const std::string Greeting = fmt::format("served by {}\n", this->Setup.Name);
  const int64_t Whole = IsSized ? readSize(Request.target, 0)
                                : static_cast<int64_t>(Greeting.size());
  int64_t From = 0;
  const std::string Range = Request.get_header_value("Range");
  if (IsSized && Range.compare(0, 6, "bytes=") == 0)
    From = std::strtoll(Range.c_str() + 6, nullptr, 10);
  std::string Head =
      From > 0 ? "HTTP/1.1 206 Partial Content\r\n" : "HTTP/1.1 200 OK\r\n";
  if (From > 0)
    Head += fmt::format("Content-Range: bytes {}-{}/{}\r\n", From, Whole - 1,
                        Whole);
  if (!Active.Unframed)
    Head += fmt::format("Content-Length: {}\r\n", Whole - From);
  if (IsSized)
    Head += fmt::format("ETag: \"pack-{}\"\r\n", Whole);
  Head += fmt::format("Content-Type: text/plain\r\nX-Served-By: {}\r\n",
                      this->Setup.Name);
  if (Request.has_header("X-Echo"))
    Head += "X-Echo: " + Request.get_header_value("X-Echo") +
            "\r\nLocation: " + Request.get_header_value("X-Echo") + "\r\n";
  const std::string Id = Request.get_header_value("Canvaswick-Request");
  if (!Id.empty())
    Head += fmt::format("Canvaswick-Request: {}\r\n",
                        Active.ForeignAnswer ? "another" : Id);
  for (const auto &[Name, Value] : Exchange.Response.headers)
    Head += Name + ": " + Value + "\r\n";
  Head += "\r\n";
  httplib::Stream &Stream = Exchange.Stream;
  bool IsWhole = Stream.write(Head) > 0;
  const int64_t Stop = std::max(Active.CutAfter, Active.StallAfter);
  for (int64_t At = From; IsWhole && At < Whole && Request.method != "HEAD";) {
    int64_t Length = std::min<int64_t>(PieceBytes, Whole - At);
    if (Stop >= 0)
      Length = std::min(Length, Stop - (At - From));
    if (Length <= 0) {
      if (Active.StallAfter >= 0)
        this->work(Exchange, fromSeconds(300));
      IsWhole = false;
      break;
    }
    const std::string Piece = IsSized ? makePiece(At, Length) : Greeting;
    IsWhole = Stream.write(Piece.data(), Piece.size()) > 0;
    At += Length;
  }
  if (Active.Overlong)
    Stream.write("and more than was promised");
  Exchange.Stream.muteWrites(true);
  Exchange.MustClose = !IsWhole || Active.Unframed;
}

void BackendStandIn::handleControl(HttpExchange &Exchange) {
  std::string Body;
  readBody(Exchange, Body);
  Json::Value Wanted;
  if (!Body.empty() && !parseJson(Body, Wanted)) {
    Exchange.Response.status = 400;
    return;
  }
  if (Exchange.Request.target == "/control/faults") {
    BackendFaults Set;
    Set.Percent = Wanted.get("percent", 100).asInt();
    Set.OnlyTarget = Wanted.get("only-target", "").asString();
    Set.OnlyDaemon = Wanted.get("only-daemon", "").asString();
    Set.Hang = Wanted.get("hang", false).asBool();
    Set.Fail = Wanted.get("fail", false).asBool();
    Set.SlowMs = Wanted.get("slow-ms", 0).asInt64();
    Set.CutAfter = Wanted.get("cut-after", -1).asInt64();
    Set.StallAfter = Wanted.get("stall-after", -1).asInt64();
    Set.Overlong = Wanted.get("overlong", false).asBool();
    Set.ForeignAnswer = Wanted.get("foreign-answer", false).asBool();
    Set.LoseAnswer = Wanted.get("lose-answer", false).asBool();
    Set.Unframed = Wanted.get("unframed", false).asBool();
    Set.Shed = Wanted.get("shed", false).asBool();
    Set.Misdirect = Wanted.get("misdirect", false).asBool();
    Set.Limit = Wanted.get("limit", "").asString();
    Set.SendsLeaving = Wanted.get("says-leaving", false).asBool();
    Set.RetryAfter = Wanted.get("rest", "1").asString();
    Set.Drain = Wanted.get("drain", false).asBool();
    Set.HealthLiesRed = Wanted.get("health-lies-red", false).asBool();
    this->setFaults(Set);
  }
  Json::Value Answer;
  Answer["runs"] = static_cast<Json::UInt64>(this->countRuns());
  Answer["canceled"] = static_cast<Json::UInt64>(this->countCanceled());
  for (const auto &[Key, Count] : this->getLedger())
    Answer["ledger"][Key] = Count;
  Exchange.Response.set_content(writeJson(Answer), "application/json");
}

} // namespace canvaswick
