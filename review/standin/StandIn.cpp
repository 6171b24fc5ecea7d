//===- StandIn.cpp - Stand-ins of the review's scripts --------------------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Plain blocking sockets, one thread per connection: the scripts are small.
///
//===----------------------------------------------------------------------===//

#include "StandIn.h"

#include <json/json.h>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace review {

double now() {
  static const auto Began = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Began)
      .count();
}

void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

static std::mutex RecordMutex;
static std::ofstream RecordFile;

void openRecord(const std::string &Folder, const std::string &Name) {
  RecordFile.open(Folder + "/" + Name, std::ios::trunc);
}

void record(const std::string &Line) {
  char Time[32];
  std::snprintf(Time, sizeof(Time), "%8.3f ", now());
  std::lock_guard<std::mutex> Lock(RecordMutex);
  RecordFile << Time << Line << std::endl;
}

bool hasTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string(Text) != "0";
}

std::string Message::get(const std::string &Name) const {
  for (const auto &[Each, Value] : this->Headers)
    if (::strcasecmp(Each.c_str(), Name.c_str()) == 0)
      return Value;
  return "";
}

int Message::status() const {
  return this->Start.size() > 12 ? std::atoi(this->Start.c_str() + 9) : 0;
}

Connection::~Connection() { this->close(); }

void Connection::close() {
  if (this->Socket >= 0)
    ::close(this->Socket);
  this->Socket = -1;
}

bool Connection::fill(double Until) {
  if (this->Socket < 0)
    return false;
  const double Left = Until - now();
  pollfd Poll{this->Socket, POLLIN, 0};
  if (Left <= 0 || ::poll(&Poll, 1, static_cast<int>(Left * 1000) + 1) <= 0)
    return false;
  char Bytes[16384];
  const ssize_t Count = ::recv(this->Socket, Bytes, sizeof(Bytes), 0);
  if (Count <= 0)
    return false;
  this->Buffer.append(Bytes, static_cast<size_t>(Count));
  return true;
}

bool Connection::readLine(std::string &Line, double Until) {
  size_t End = 0;
  while ((End = this->Buffer.find("\r\n")) == std::string::npos)
    if (!this->fill(Until))
      return false;
  Line = this->Buffer.substr(0, End);
  this->Buffer.erase(0, End + 2);
  return true;
}

bool Connection::readBytes(std::string &Bytes, size_t Count, double Until) {
  while (this->Buffer.size() < Count)
    if (!this->fill(Until))
      return false;
  Bytes += this->Buffer.substr(0, Count);
  this->Buffer.erase(0, Count);
  return true;
}

bool Connection::readMessage(Message &Read, double Seconds) {
  const double Until = now() + Seconds;
  Read = {};
  std::string Line;
  // Empty lines before a message are skipped, as HTTP/1.1 advises.
  do {
    if (!this->readLine(Read.Start, Until))
      return false;
  } while (Read.Start.empty());
  while (this->readLine(Line, Until) && !Line.empty()) {
    const size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      return false;
    const size_t First = Line.find_first_not_of(" \t", Colon + 1);
    Read.Headers.emplace_back(Line.substr(0, Colon), First == std::string::npos
                                                         ? ""
                                                         : Line.substr(First));
  }
  if (!Line.empty())
    return false;
  if (Read.get("Transfer-Encoding") == "chunked") {
    while (true) {
      if (!this->readLine(Line, Until))
        return false;
      const size_t Size = std::strtoul(Line.c_str(), nullptr, 16);
      if (!this->readBytes(Read.Body, Size, Until) ||
          !this->readLine(Line, Until))
        return false;
      if (Size == 0)
        return true;
    }
  }
  const std::string Length = Read.get("Content-Length");
  return Length.empty() ||
         this->readBytes(Read.Body, std::strtoul(Length.c_str(), nullptr, 10),
                         Until);
}

bool Connection::send(const std::string &Bytes) {
  size_t Done = 0;
  while (this->Socket >= 0 && Done < Bytes.size()) {
    const ssize_t Count = ::send(this->Socket, Bytes.data() + Done,
                                 Bytes.size() - Done, MSG_NOSIGNAL);
    if (Count <= 0)
      return false;
    Done += static_cast<size_t>(Count);
  }
  return this->Socket >= 0;
}

static sockaddr_in makeAddress(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<uint16_t>(Port));
  ::inet_pton(AF_INET, "127.0.0.1", &Address.sin_addr);
  return Address;
}

static int readPort(int Socket) {
  sockaddr_in Address{};
  socklen_t Size = sizeof(Address);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  return ntohs(Address.sin_port);
}

int findFreePort() {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = makeAddress(0);
  ::bind(Socket, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address));
  const int Port = readPort(Socket);
  ::close(Socket);
  return Port;
}

int connectTo(int Port) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = makeAddress(Port);
  const int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  if (::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) == 0)
    return Socket;
  ::close(Socket);
  return -1;
}

void Listener::start(Handler Given) {
  this->Handle = std::move(Given);
  this->Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in Address = makeAddress(0);
  ::bind(this->Socket, reinterpret_cast<const sockaddr *>(&Address),
         sizeof(Address));
  ::listen(this->Socket, 256);
  this->Port = readPort(this->Socket);
  std::thread([this] {
    while (true) {
      const int Accepted =
          ::accept4(this->Socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (Accepted < 0)
        return;
      const int On = 1;
      ::setsockopt(Accepted, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
      std::thread([this, Accepted] { this->serve(Accepted); }).detach();
    }
  }).detach();
}

void Listener::refuse() { ::shutdown(this->Socket, SHUT_RDWR); }

void Listener::serve(int Accepted) {
  Connection Caller(Accepted);
  Message Request;
  while (Caller.readMessage(Request, 60) && this->Handle(Request, Caller))
    continue;
}

static std::string encodeBase64(const std::string &Text) {
  static const char Signs[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Encoded;
  for (size_t I = 0; I < Text.size(); I += 3) {
    uint32_t Group = 0;
    for (size_t K = 0; K < 3; ++K)
      Group =
          Group << 8 |
          (I + K < Text.size() ? static_cast<unsigned char>(Text[I + K]) : 0U);
    for (size_t K = 0; K < 4; ++K)
      Encoded += I + K > Text.size() ? '=' : Signs[Group >> (18 - 6 * K) & 63];
  }
  return Encoded;
}

static std::string decodeBase64(const std::string &Text) {
  std::string Decoded;
  uint32_t Group = 0;
  int Bits = 0;
  for (const char Sign : Text) {
    static const std::string Signs =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    const size_t Value = Signs.find(Sign);
    if (Value == std::string::npos)
      break;
    Group = Group << 6 | static_cast<uint32_t>(Value);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Decoded += static_cast<char>(Group >> Bits & 255);
  }
  return Decoded;
}

/// Returns a parameter of a query, percent-decoded.
static std::string findParameter(const std::string &Query,
                                 const std::string &Name) {
  std::istringstream Parts(Query);
  std::string Part;
  while (std::getline(Parts, Part, '&')) {
    if (Part.rfind(Name + "=", 0) != 0)
      continue;
    std::string Value;
    for (size_t I = Name.size() + 1; I < Part.size(); ++I)
      if (Part[I] == '%' && I + 2 < Part.size()) {
        Value += static_cast<char>(
            std::strtoul(Part.substr(I + 1, 2).c_str(), nullptr, 16));
        I += 2;
      } else {
        Value += Part[I];
      }
    return Value;
  }
  return "";
}

static std::string writeJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

static Json::Value parseJson(const std::string &Text) {
  Json::Value Value(Json::objectValue);
  std::istringstream Stream(Text);
  std::string Errors;
  if (!Text.empty())
    Json::parseFromStream(Json::CharReaderBuilder(), Stream, &Value, &Errors);
  return Value;
}

static std::string formatAnswer(int Status, const std::string &Body,
                                const std::string &Headers = "") {
  return "HTTP/1.1 " + std::to_string(Status) + " Answer\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

void Store::start() {
  this->Serving.start([this](const Message &Request, Connection &Caller) {
    return this->answer(Request, Caller);
  });
  std::thread([this] {
    while (true) {
      sleepFor(0.1);
      this->expireLeases();
    }
  }).detach();
}

uint64_t Store::put(const std::string &Key, const std::string &Value,
                    uint64_t Lease) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->putLocked(Key, Value, Lease);
}

uint64_t Store::putLocked(const std::string &Key, const std::string &Value,
                          uint64_t Lease) {
  Item &Entry = this->Items[Key];
  Entry.Revision = ++this->Revision;
  if (Entry.Created == 0)
    Entry.Created = Entry.Revision;
  Entry.Value = Value;
  Entry.Lease = Lease;
  this->History.push_back({Key, Entry, false});
  this->Changed.notify_all();
  return Entry.Revision;
}

void Store::remove(const std::string &Key) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->removeLocked(Key);
}

void Store::removeLocked(const std::string &Key) {
  if (this->Items.erase(Key) == 0)
    return;
  Item Gone;
  Gone.Revision = ++this->Revision;
  this->History.push_back({Key, Gone, true});
  this->Changed.notify_all();
}

void Store::endLease(uint64_t Lease) {
  this->Leases.erase(Lease);
  std::vector<std::string> Keys;
  for (const auto &[Key, Entry] : this->Items)
    if (Entry.Lease == Lease)
      Keys.push_back(Key);
  for (const std::string &Key : Keys)
    this->removeLocked(Key);
}

void Store::expireLeases() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  std::vector<uint64_t> Ended;
  for (const auto &[Number, Each] : this->Leases)
    if (Each.Until < now())
      Ended.push_back(Number);
  for (const uint64_t Number : Ended)
    this->endLease(Number);
}

bool Store::answer(const Message &Request, Connection &Caller) {
  std::istringstream Line(Request.Start);
  std::string Method;
  std::string Target;
  Line >> Method >> Target;
  const size_t Mark = Target.find('?');
  const std::string Path = Target.substr(0, Mark);
  const std::string Query =
      Mark == std::string::npos ? "" : Target.substr(Mark + 1);
  const std::string KeepPath = "/kv-keep/";
  const std::string EndPath = "/kv-lease-end/";
  int Status = 200;
  std::string Body;
  if (Path == "/kv-key")
    Body = this->answerItem(Query, Status);
  else if (Path == "/kv-range")
    Body = this->answerRange(Query);
  else if (Path == "/kv-watch")
    Body = this->answerWatch(Query);
  else if (Path == "/kv-txn")
    Body = this->answerTransaction(Request.Body, Status);
  else if (Path == "/kv-lease")
    Body = this->answerLease(Request.Body, Status);
  else if (Path.rfind(KeepPath, 0) == 0)
    Body = this->answerRenewal(
        std::strtoull(Path.c_str() + KeepPath.size(), nullptr, 10), Status);
  else if (Path.rfind(EndPath, 0) == 0) {
    std::lock_guard<std::mutex> Lock(this->Mutex);
    this->endLease(std::strtoull(Path.c_str() + EndPath.size(), nullptr, 10));
    Body = "{}";
  } else {
    Status = 404;
    Body = "{}";
  }
  return Caller.send(
      formatAnswer(Status, Body, "Content-Type: application/json\r\n"));
}

std::string Store::answerItem(const std::string &Query, int &Status) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const std::string Key = findParameter(Query, "tlsKey");
  const auto Found = this->Items.find(Key);
  Json::Value Answer(Json::objectValue);
  Answer["asOf"] = static_cast<Json::UInt64>(this->Revision);
  if (Found == this->Items.end()) {
    Status = 404;
    return writeJson(Answer);
  }
  Answer["tlsKey"] = Key;
  Answer["value"] = encodeBase64(Found->second.Value);
  Answer["revision"] = static_cast<Json::UInt64>(Found->second.Revision);
  Answer["created"] = static_cast<Json::UInt64>(Found->second.Created);
  Answer["lease"] = static_cast<Json::UInt64>(Found->second.Lease);
  return writeJson(Answer);
}

std::string Store::answerRange(const std::string &Query) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const std::string Prefix = findParameter(Query, "pathPrefix");
  const std::string After = findParameter(Query, "after");
  Json::Value Answer(Json::objectValue);
  Answer["items"] = Json::arrayValue;
  for (const auto &[Key, Entry] : this->Items) {
    if (Key.rfind(Prefix, 0) != 0 || Key <= After)
      continue;
    Json::Value Row;
    Row["tlsKey"] = Key;
    Row["value"] = encodeBase64(Entry.Value);
    Row["revision"] = static_cast<Json::UInt64>(Entry.Revision);
    Row["created"] = static_cast<Json::UInt64>(Entry.Created);
    Row["lease"] = static_cast<Json::UInt64>(Entry.Lease);
    Answer["items"].append(Row);
  }
  Answer["truncated"] = false;
  Answer["asOf"] = static_cast<Json::UInt64>(this->Revision);
  return writeJson(Answer);
}

std::string Store::answerWatch(const std::string &Query) {
  const std::string Prefix = findParameter(Query, "pathPrefix");
  const uint64_t After =
      std::strtoull(findParameter(Query, "after").c_str(), nullptr, 10);
  const double Wait =
      std::strtod(findParameter(Query, "waitMs").c_str(), nullptr) / 1000;
  const auto Until = std::chrono::steady_clock::now() +
                     std::chrono::duration_cast<std::chrono::nanoseconds>(
                         std::chrono::duration<double>(Wait));
  std::unique_lock<std::mutex> Lock(this->Mutex);
  Json::Value Answer(Json::objectValue);
  while (true) {
    Answer["events"] = Json::arrayValue;
    for (const Event &Each : this->History) {
      if (Each.Is.Revision <= After || Each.Key.rfind(Prefix, 0) != 0)
        continue;
      Json::Value Row;
      Row["tlsKey"] = Each.Key;
      Row["revision"] = static_cast<Json::UInt64>(Each.Is.Revision);
      if (Each.IsRemoved) {
        Row["tombstone"] = true;
      } else {
        Row["value"] = encodeBase64(Each.Is.Value);
        Row["created"] = static_cast<Json::UInt64>(Each.Is.Created);
        Row["lease"] = static_cast<Json::UInt64>(Each.Is.Lease);
      }
      Answer["events"].append(Row);
    }
    Answer["asOf"] = static_cast<Json::UInt64>(this->Revision);
    if (!Answer["events"].empty() ||
        this->Changed.wait_until(Lock, Until) == std::cv_status::timeout)
      return writeJson(Answer);
  }
}

std::string Store::answerTransaction(const std::string &Body, int &Status) {
  const Json::Value Asked = parseJson(Body);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  Json::Value Answer(Json::objectValue);
  bool IsMet = true;
  Answer["items"] = Json::arrayValue;
  for (const Json::Value &Row : Asked["ifRev"]) {
    const std::string Key = Row["tlsKey"].asString();
    const auto Found = this->Items.find(Key);
    const uint64_t Known =
        Found == this->Items.end() ? 0 : Found->second.Revision;
    IsMet = IsMet && Known == Row["revision"].asUInt64();
    if (Known == 0)
      continue;
    Json::Value Is;
    Is["tlsKey"] = Key;
    Is["value"] = encodeBase64(Found->second.Value);
    Is["revision"] = static_cast<Json::UInt64>(Known);
    Is["created"] = static_cast<Json::UInt64>(Found->second.Created);
    Is["lease"] = static_cast<Json::UInt64>(Found->second.Lease);
    Answer["items"].append(Is);
  }
  if (!IsMet) {
    Status = 412;
    return writeJson(Answer);
  }
  for (const Json::Value &Row : Asked["setKeys"]) {
    const uint64_t Lease = Row["lease"].asUInt64();
    if (Lease != 0 && this->Leases.count(Lease) == 0) {
      Status = 404;
      return "{}";
    }
  }
  for (const Json::Value &Row : Asked["setKeys"])
    this->putLocked(Row["tlsKey"].asString(),
                    decodeBase64(Row["value"].asString()),
                    Row["lease"].asUInt64());
  for (const Json::Value &Key : Asked["remove"])
    this->removeLocked(Key.asString());
  Json::Value Done(Json::objectValue);
  Done["revision"] = static_cast<Json::UInt64>(this->Revision);
  return writeJson(Done);
}

std::string Store::answerLease(const std::string &Body, int &) {
  const Json::Value Asked = parseJson(Body);
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const double Length = std::max(1.0, Asked["ttlS_time"].asDouble());
  this->Leases[++this->NextLease] = {Length, now() + Length};
  Json::Value Answer(Json::objectValue);
  Answer["lease"] = static_cast<Json::UInt64>(this->NextLease);
  Answer["ttlS_time"] = Length;
  return writeJson(Answer);
}

std::string Store::answerRenewal(uint64_t Number, int &Status) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Leases.find(Number);
  if (Found == this->Leases.end()) {
    Status = 404;
    return "{}";
  }
  Found->second.Until = now() + Found->second.Length;
  Json::Value Answer(Json::objectValue);
  Answer["ttlS_time"] = Found->second.Length;
  return writeJson(Answer);
}

void RunLog::add(Run Seen) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Runs.push_back(std::move(Seen));
}

std::vector<Run> RunLog::list() {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Runs;
}

Upstream::Upstream(Store &Entries, RunLog &Log, std::string Id,
                   std::string Service, std::string Zone)
    : Entries(Entries), Log(Log), Id(std::move(Id)),
      Service(std::move(Service)), Zone(std::move(Zone)) {}

void Upstream::start() {
  this->Serving.start([this](const Message &Request, Connection &Caller) {
    return this->answer(Request, Caller);
  });
  this->writeEntry();
  std::thread([this] {
    while (!this->IsCrashed) {
      sleepFor(1.5);
      if (!this->IsCrashed)
        this->writeEntry();
    }
  }).detach();
}

void Upstream::writeEntry() {
  Json::Value Entry;
  Entry["address"] = "127.0.0.1:" + std::to_string(this->Serving.getPort());
  Entry["info"]["service"] = this->Service;
  Entry["info"]["version"] = "v1";
  Entry["info"]["zone"] = this->Zone;
  Entry["info"]["slots"] = 3;
  Entry["status"]["state"] = "ready";
  Entry["status"]["seq"] = ++this->Sequence;
  Entry["status"]["warmupLeftS"] = 0;
  this->Entries.put("servers/" + this->Id, writeJson(Entry));
}

void Upstream::crash() {
  record("server " + this->Id + " crashes");
  this->IsCrashed = true;
  this->Serving.refuse();
  // Its entry goes after three pings of silence.
  std::thread([this] {
    sleepFor(4.5);
    this->Entries.remove("servers/" + this->Id);
  }).detach();
}

std::string makeUnframedBody(const std::string &Id, size_t Bytes) {
  std::string Body;
  for (size_t Line = 0; Body.size() < Bytes; ++Line)
    Body += Id + " line " + std::to_string(Line) + "\n";
  Body.resize(Bytes);
  return Body;
}

bool Upstream::answerUnframed(const std::string &Id, const std::string &Head,
                              Connection &Caller) {
  static constexpr size_t Pieces = 40;
  const std::string Body = makeUnframedBody(Id, this->UnframedBytes);
  Caller.send("HTTP/1.1 200 Answer\r\n" + Head + "Connection: close\r\n\r\n");
  for (size_t I = 0; I < Pieces && !this->IsCrashed; ++I) {
    sleepFor(this->WorkSeconds / Pieces);
    const size_t From = Body.size() * I / Pieces;
    const size_t To = Body.size() * (I + 1) / Pieces;
    if (!Caller.send(Body.substr(From, To - From))) {
      record("answer-not-taken id=" + Id + " server=" + this->Id);
      break;
    }
  }
  return false;
}

bool Upstream::answer(const Message &Request, Connection &Caller) {
  if (this->IsCrashed)
    return false;
  const std::string Load = "Server-Load: " + std::to_string(this->InWork) +
                           ",0,3\r\nInstance-Id: " + this->Id + "\r\n";
  if (Request.Start.rfind("GET /healthz ", 0) == 0)
    return Caller.send(formatAnswer(200, "", Load));
  const std::string Id = Request.get("Request-Id");
  if (Id.empty())
    return Caller.send(formatAnswer(400, "", Load + "Not-Executed: 1\r\n"));
  const std::string Echo = Load + "Request-Id: " + Id + "\r\n";
  const std::string Expected = Request.get("Expect-Instance");
  if (!Expected.empty() && Expected != this->Id)
    return Caller.send(formatAnswer(421, "", Echo + "Not-Executed: 1\r\n"));
  ++this->InWork;
  this->Log.add({now(), this->Id, Id, Request.Start, Request.Body});
  record("run id=" + Id + " server=" + this->Id + " line=\"" + Request.Start +
         "\" body-bytes=" + std::to_string(Request.Body.size()));
  const std::string Stamp =
      "Server-Stamp: 3e1b.07." + this->Id + ".c9f2a4d1\r\n";
  if (this->UnframedBytes > 0) {
    const bool IsKept = this->answerUnframed(Id, Echo + Stamp, Caller);
    --this->InWork;
    return IsKept;
  }
  const double Until = now() + this->WorkSeconds;
  while (now() < Until && !this->IsCrashed)
    sleepFor(std::min(0.005, std::max(0.0001, Until - now())));
  --this->InWork;
  if (this->IsCrashed)
    return false;
  return Caller.send(formatAnswer(200, "done " + Id + "\n", Echo + Stamp));
}

Daemon::Daemon(std::string Root, std::string Folder, std::string Name,
               std::string Zone)
    : Root(std::move(Root)), Folder(std::move(Folder)), Name(std::move(Name)),
      Zone(std::move(Zone)), FrontPort(findFreePort()),
      ReadyPort(findFreePort()), ControlPort(findFreePort()),
      PeerPort(findFreePort()) {}

void Daemon::configure(int StorePort, const std::string &Seeds) {
  std::ofstream File(this->Folder + "/" + this->Name + ".ini");
  const std::string Host = "127.0.0.1:";
  File << "[daemon]\nsource = platform\nname = " << this->Name
       << "\nregion = dk-east\nhall = " << this->Zone
       << "\ncaller-address = " << Host << this->FrontPort
       << "\nready-address = " << Host << this->ReadyPort
       << "\ncontrol-address = " << Host << this->ControlPort
       << "\nplatform-address = " << Host << StorePort
       << "\npeer-port = " << this->PeerPort
       << "\nworkers = 48\nseeds = " << Seeds
       << "\ngrace-s = 6\ndrain-s = 2\nfloor-share = 0.7\nrepeat-share = 0.2"
          "\nrepeat-window-s = 10\nrepeat-reserve = 60\n\n[policy]\n"
          "many-servers = 48\n";
}

void Daemon::start() {
  const std::string Settings = this->Folder + "/" + this->Name + ".ini";
  const std::string Output = this->Folder + "/" + this->Name + ".log";
  this->Process = ::fork();
  if (this->Process == 0) {
    // The daemon ends with the script, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Log = ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(Log, 1);
    ::dup2(Log, 2);
    ::setenv("CANVASWICK_NODE_FILE", Settings.c_str(), 1);
    if (::chdir(this->Root.c_str()) == 0)
      ::execl("target/bin/canvaswickd", "target/bin/canvaswickd",
              static_cast<char *>(nullptr));
    ::_exit(127);
  }
  record("daemon " + this->Name + " started");
}

bool Daemon::waitUntilReady(double Seconds) const {
  const double Until = now() + Seconds;
  while (now() < Until) {
    Connection Asked(connectTo(this->ReadyPort));
    Message Answer;
    if (Asked.isOpen() &&
        Asked.send("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
        Asked.readMessage(Answer, 1) && Answer.status() == 200)
      return true;
    sleepFor(0.1);
  }
  return false;
}

bool Daemon::hasEnded(std::string &How) {
  int Status = 0;
  if (this->Process <= 0 ||
      ::waitpid(this->Process, &Status, WNOHANG) != this->Process)
    return false;
  this->Process = -1;
  How = WIFSIGNALED(Status)
            ? "signal " + std::to_string(WTERMSIG(Status))
            : "exit status " + std::to_string(WEXITSTATUS(Status));
  return true;
}

void Daemon::killNow() {
  record("daemon " + this->Name + " killed (SIGKILL)");
  ::kill(this->Process, SIGKILL);
  ::waitpid(this->Process, nullptr, 0);
  this->Process = -1;
}

void Daemon::stop() {
  if (this->Process <= 0)
    return;
  ::kill(this->Process, SIGTERM);
  for (int I = 0; I < 70; ++I) {
    std::string How;
    if (this->hasEnded(How))
      return;
    sleepFor(0.1);
  }
  ::kill(this->Process, SIGKILL);
  ::waitpid(this->Process, nullptr, 0);
  this->Process = -1;
}

static Json::Value makeRule(const std::string &Name, const std::string &Kind,
                            const std::string &Service, double Timeout) {
  Json::Value Rule;
  Rule["name"] = "r-" + Name;
  Rule["kind"] = Kind;
  Rule["goalS"] = 1.5;
  Rule["priority"] = 1;
  Rule["match"]["pathPrefix"] = "/" + Name + "/";
  Rule["action"]["service"] = Service;
  Rule["action"]["timeoutS"] = Timeout;
  Rule["action"]["attempts"] = 2;
  return Rule;
}

std::string makeConfig(int Version) {
  Json::Value Config;
  Config["version"] = Version;
  Config["limits"]["maxHeaderBytes"] = 16384;
  Config["limits"]["maxBodyBytes"] = 67108864;
  Config["limits"]["headerTimeoutS"] = 3;
  Config["limits"]["idleTimeoutS"] = 15;
  Json::Value Host;
  Host["host"] = "registry.example";
  Host["rules"].append(makeRule("read", "idempotent", "reads", 4));
  Host["rules"].append(makeRule("pull", "download", "reads", 4));
  Host["rules"].append(makeRule("act", "non_idempotent", "acts", 3));
  Config["listeners"].append(Host);
  for (const char *Name : {"reads", "acts"}) {
    Json::Value Service;
    Service["name"] = Name;
    Service["healthPath"] = "/healthz";
    Service["maxConns"] = 360;
    Service["protocol"] = "h1";
    Service["tls"] = false;
    Config["clusters"].append(Service);
  }
  return writeJson(Config);
}

} // namespace review
