//===- Platform.cpp - The platform's store, servers and daemons -----------===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//

#include "Platform.h"

#include <json/json.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {

static const char Digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

static std::string encodeBase64(const std::string &Bytes) {
  std::string Text;
  for (size_t I = 0; I < Bytes.size(); I += 3) {
    uint32_t Group = 0;
    const size_t Count = std::min<size_t>(3, Bytes.size() - I);
    for (size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (J < Count ? static_cast<unsigned char>(Bytes[I + J]) : 0);
    for (size_t J = 0; J < 4; ++J)
      Text += J <= Count ? Digits[Group >> (18 - 6 * J) & 63] : '=';
  }
  return Text;
}

static std::string decodeBase64(const std::string &Text) {
  std::string Bytes;
  uint32_t Group = 0;
  int Bits = 0;
  for (const char Digit : Text) {
    const char *At = std::strchr(Digits, Digit);
    if (!At || Digit == '\0')
      break;
    Group = Group << 6 | static_cast<uint32_t>(At - Digits);
    Bits += 6;
    if (Bits < 8)
      continue;
    Bits -= 8;
    Bytes += static_cast<char>(Group >> Bits & 255);
  }
  return Bytes;
}

static std::string writeJson(const Json::Value &Value) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = "";
  return Json::writeString(Builder, Value);
}

static std::string readQuery(const Message &Call, const std::string &Name) {
  const std::string Target = Call.target();
  const size_t Mark = Target.find('?');
  std::istringstream Parts(Mark == std::string::npos ? ""
                                                     : Target.substr(Mark + 1));
  for (std::string Part; std::getline(Parts, Part, '&');) {
    if (Part.rfind(Name + "=", 0) != 0)
      continue;
    std::string Value;
    for (size_t I = Name.size() + 1; I < Part.size(); ++I)
      if (Part[I] == '%' && I + 2 < Part.size()) {
        Value += static_cast<char>(
            std::strtol(Part.substr(I + 1, 2).c_str(), nullptr, 16));
        I += 2;
      } else {
        Value += Part[I];
      }
    return Value;
  }
  return "";
}

Store::Store() {
  this->Server = std::make_unique<Listener>(
      [this](Connection &Stream) { this->serve(Stream); });
}

void Store::put(const std::string &Key, const std::string &Value) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->putLocked(Key, Value, 0);
}

void Store::remove(const std::string &Key) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->removeLocked(Key);
}

void Store::setSilent(bool Given) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->IsSilent = Given;
  this->Changed.notify_all();
}

void Store::putLocked(const std::string &Key, const std::string &Value,
                      uint64_t Lease) {
  this->Items[Key] = {Value, ++this->Revision, Lease};
  this->History.push_back({Key, Value, this->Revision, false});
  this->Changed.notify_all();
}

void Store::removeLocked(const std::string &Key) {
  if (this->Items.erase(Key) == 0)
    return;
  this->History.push_back({Key, "", ++this->Revision, true});
  this->Changed.notify_all();
}

/// Ends the leases whose time is over. The caller holds the mutex.
void Store::endLeases() {
  for (auto Each = this->Leases.begin(); Each != this->Leases.end();) {
    if (now() < Each->second.first) {
      ++Each;
      continue;
    }
    std::vector<std::string> Keys;
    for (const auto &[Key, Entry] : this->Items)
      if (Entry.Lease == Each->first)
        Keys.push_back(Key);
    for (const std::string &Key : Keys)
      this->removeLocked(Key);
    Each = this->Leases.erase(Each);
  }
}

void Store::serve(Connection &Stream) {
  while (true) {
    Message Call;
    if (!Stream.readMessage(Call, false))
      return;
    const Message Answer = this->answer(Call);
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      // A connection on which an answer was lost says nothing further.
      if (this->IsSilent)
        break;
    }
    sleepFor(0.004);
    if (!Stream.write(formatMessage(Answer, true)))
      return;
  }
  std::string Ignored;
  Stream.readToEnd(Ignored);
}

Message Store::answer(const Message &Call) {
  const std::string Target = Call.target();
  const std::string Path = Target.substr(0, Target.find('?'));
  Json::Value Answer(Json::objectValue);
  int Status = 404;
  if (Path == "/kv-key")
    Status = this->answerKey(Call, Answer);
  else if (Path == "/kv-range")
    Status = this->answerRange(Call, Answer);
  else if (Path == "/kv-watch")
    Status = this->answerWatch(Call, Answer);
  else if (Path == "/kv-txn")
    Status = this->answerWrite(Call, Answer);
  else
    Status = this->answerLease(Call, Answer);
  return {"HTTP/1.1 " + std::to_string(Status) + " Answer",
          {{"Content-Type", "application/json"}},
          writeJson(Answer)};
}

int Store::answerKey(const Message &Call, Json::Value &Answer) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  const auto Found = this->Items.find(readQuery(Call, "tlsKey"));
  Answer["asOf"] = Json::UInt64(this->Revision);
  if (Found == this->Items.end())
    return 404;
  Answer["tlsKey"] = Found->first;
  Answer["value"] = encodeBase64(Found->second.Value);
  Answer["revision"] = Json::UInt64(Found->second.Revision);
  Answer["created"] = Json::UInt64(Found->second.Revision);
  Answer["lease"] = Json::UInt64(Found->second.Lease);
  return 200;
}

int Store::answerRange(const Message &Call, Json::Value &Answer) {
  const std::string Prefix = readQuery(Call, "pathPrefix");
  const std::string After = readQuery(Call, "after");
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->endLeases();
  Answer["items"] = Json::arrayValue;
  Answer["truncated"] = false;
  Answer["asOf"] = Json::UInt64(this->Revision);
  for (const auto &[Key, Entry] : this->Items) {
    if (Key.rfind(Prefix, 0) != 0 || (!After.empty() && Key <= After))
      continue;
    Json::Value Row;
    Row["tlsKey"] = Key;
    Row["value"] = encodeBase64(Entry.Value);
    Row["revision"] = Json::UInt64(Entry.Revision);
    Row["created"] = Json::UInt64(Entry.Revision);
    Row["lease"] = Json::UInt64(Entry.Lease);
    Answer["items"].append(Row);
  }
  return 200;
}

int Store::answerWatch(const Message &Call, Json::Value &Answer) {
  const std::string Prefix = readQuery(Call, "pathPrefix");
  const uint64_t After =
      std::strtoull(readQuery(Call, "after").c_str(), nullptr, 10);
  const double Until =
      now() + std::atof(readQuery(Call, "waitMs").c_str()) / 1000;
  std::unique_lock<std::mutex> Lock(this->Mutex);
  Answer["events"] = Json::arrayValue;
  while (true) {
    this->endLeases();
    for (const Event &Each : this->History) {
      if (Each.Revision <= After || Each.Key.rfind(Prefix, 0) != 0)
        continue;
      Json::Value Row;
      Row["tlsKey"] = Each.Key;
      Row["revision"] = Json::UInt64(Each.Revision);
      if (Each.IsRemoved)
        Row["tombstone"] = true;
      else
        Row["value"] = encodeBase64(Each.Value);
      Answer["events"].append(Row);
    }
    const double Left = Until - now();
    if (!Answer["events"].empty() || Left <= 0 || this->IsSilent)
      break;
    this->Changed.wait_for(Lock,
                           std::chrono::duration<double>(std::min(Left, 0.2)));
  }
  Answer["asOf"] = Json::UInt64(this->Revision);
  return 200;
}

int Store::answerWrite(const Message &Call, Json::Value &Answer) {
  Json::Value Body;
  std::istringstream(Call.Body) >> Body;
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->endLeases();
  for (const Json::Value &Row : Body["ifRev"]) {
    const auto Found = this->Items.find(Row["tlsKey"].asString());
    const uint64_t Current =
        Found == this->Items.end() ? 0 : Found->second.Revision;
    if (Current != Row["revision"].asUInt64())
      return 412;
  }
  for (const Json::Value &Row : Body["setKeys"])
    if (Row["lease"].asUInt64() != 0 &&
        this->Leases.count(Row["lease"].asUInt64()) == 0)
      return 404;
  for (const Json::Value &Row : Body["setKeys"])
    this->putLocked(Row["tlsKey"].asString(),
                    decodeBase64(Row["value"].asString()),
                    Row["lease"].asUInt64());
  for (const Json::Value &Key : Body["remove"])
    this->removeLocked(Key.asString());
  Answer["revision"] = Json::UInt64(this->Revision);
  return 200;
}

int Store::answerLease(const Message &Call, Json::Value &Answer) {
  const std::string Target = Call.target();
  std::lock_guard<std::mutex> Lock(this->Mutex);
  this->endLeases();
  if (Target == "/kv-lease") {
    Json::Value Body;
    std::istringstream(Call.Body) >> Body;
    const double Seconds = Body["ttlS_time"].asDouble();
    this->Leases[this->NextLease] = {now() + Seconds, Seconds};
    Answer["lease"] = Json::UInt64(this->NextLease++);
    Answer["ttlS_time"] = Seconds;
    return 200;
  }
  const auto Found = this->Leases.find(
      std::strtoull(Target.substr(Target.rfind('/') + 1).c_str(), nullptr, 10));
  if (Found == this->Leases.end())
    return 404;
  Found->second.first = now() + Found->second.second;
  if (Target.rfind("/kv-lease-end/", 0) == 0) {
    Found->second.first = 0;
    this->endLeases();
  }
  return 200;
}

Backend::Backend(Store &Platform, Record &Log, std::string Id,
                 std::string Service, Worker Work)
    : Platform(Platform), Log(Log), Id(std::move(Id)),
      Service(std::move(Service)), Work(std::move(Work)) {
  this->Server = std::make_unique<Listener>(
      [this](Connection &Stream) { this->serve(Stream); });
  this->announce("ready");
}

std::string makeEntry(const std::string &Service, uint16_t Port,
                      const std::string &State, uint64_t Sequence) {
  Json::Value Entry;
  Entry["address"] = "127.0.0.1:" + std::to_string(Port);
  Entry["info"]["service"] = Service;
  Entry["info"]["zone"] = "vancouver-hall";
  Entry["info"]["version"] = "1.0";
  Entry["info"]["slots"] = 3;
  Entry["status"]["state"] = State;
  Entry["status"]["warmupLeftS"] = 0;
  Entry["status"]["seq"] = Json::UInt64(Sequence);
  return writeJson(Entry);
}

void Backend::announce(const std::string &State) {
  this->Platform.put(
      "servers/" + this->Id,
      makeEntry(this->Service, this->getPort(), State, ++this->Sequence));
}

int Backend::countRuns(const std::string &RequestId) {
  std::lock_guard<std::mutex> Lock(this->Mutex);
  return this->Runs[RequestId];
}

void Backend::serve(Connection &Stream) {
  while (Stream.isOpen() && Stream.getEnd() == End::None) {
    Message Request;
    if (!Stream.readMessage(Request, false))
      return;
    if (Request.target() == "/healthz") {
      Stream.write("HTTP/1.1 200 OK\r\nInstance-Id: " + this->Id +
                   "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    const std::string Expected = Request.get("Expect-Instance");
    const std::string RequestId = Request.get("Request-Id");
    if (!Expected.empty() && Expected != this->Id) {
      Stream.write("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " +
                   this->Id + "\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    {
      std::lock_guard<std::mutex> Lock(this->Mutex);
      ++this->Runs[RequestId];
    }
    this->Log.line("server " + this->Id + " begins " + RequestId + " (" +
                   Request.method() + " " + Request.target() +
                   ", Deadline-Ms " + Request.get("Deadline-Ms") + ")");
    this->Work(Stream, Request);
  }
}

Message makeSuccess(const Message &Request, const std::string &Body) {
  return {"HTTP/1.1 200 OK",
          {{"Request-Id", Request.get("Request-Id")},
           {"Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"}},
          Body};
}

std::string makeConfig(int Version, const std::vector<Route> &Routes,
                       const std::vector<std::string> &Services) {
  Json::Value Config;
  Config["version"] = Version;
  Json::Value Listener;
  Listener["host"] = HostName;
  for (const Route &Each : Routes) {
    Json::Value Rule;
    Rule["name"] = Each.Name;
    Rule["kind"] = Each.Kind;
    Rule["goalS"] = Each.GoalSeconds;
    Rule["priority"] = 1;
    Rule["match"]["pathPrefix"] = Each.Prefix;
    Rule["action"]["service"] = Each.Service;
    Rule["action"]["timeoutS"] = Each.TimeoutSeconds;
    Rule["action"]["attempts"] = Each.Attempts;
    Listener["rules"].append(Rule);
  }
  Config["listeners"].append(Listener);
  for (const std::string &Name : Services) {
    Json::Value Cluster;
    Cluster["name"] = Name;
    Cluster["healthPath"] = "/healthz";
    Cluster["maxConns"] = 330;
    Config["clusters"].append(Cluster);
  }
  Config["limits"]["maxHeaderBytes"] = 16384;
  Config["limits"]["maxBodyBytes"] = 16 << 20;
  Config["limits"]["headerTimeoutS"] = 5;
  Config["limits"]["idleTimeoutS"] = 20;
  return writeJson(Config);
}

Daemon::Daemon(Record &Log, std::string Folder, std::string Name,
               uint16_t StorePort)
    : Log(Log), Folder(std::move(Folder)), Name(std::move(Name)),
      StorePort(StorePort), Callers(findFreePort()), Ready(findFreePort()),
      Control(findFreePort()), Peer(findFreePort()) {}

Daemon::~Daemon() { this->end(); }

void Daemon::end() {
  if (this->Process <= 0)
    return;
  ::kill(this->Process, SIGKILL);
  ::waitpid(this->Process, nullptr, 0);
  this->Process = -1;
}

void endCase(const std::vector<std::unique_ptr<Daemon>> &Fronts, int Status) {
  for (const auto &Each : Fronts)
    Each->end();
  std::fflush(nullptr);
  std::_Exit(Status);
}

void endCase(Daemon &Front, int Status) {
  Front.end();
  std::fflush(nullptr);
  std::_Exit(Status);
}

/// Writes what the template in deploy/gateway.ini gives with the example of the
/// users' pages, with loopback addresses.
void Daemon::writeSettings() {
  const auto Address = [](uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port) + "\n";
  };
  const std::string Path = this->Folder + "/" + this->Name + ".ini";
  std::ofstream File(Path + ".new");
  File << "[daemon]\nsource = platform\nname = " << this->Name
       << "\nregion = bc-coast\nhall = vancouver-hall\n"
       << "caller-address = " << Address(this->Callers)
       << "ready-address = " << Address(this->Ready)
       << "control-address = " << Address(this->Control)
       << "platform-address = " << Address(this->StorePort)
       << "peer-port = " << this->Peer << "\nworkers = 48\n"
       << "seeds = " << Address(this->Control) << "grace-s = " << this->Grace
       << "\ndrain-s = 2\nfloor-share = 0.7\nrepeat-share = 0.2\n"
       << "repeat-window-s = 10\nrepeat-reserve = 58\n"
       << "[policy]\nmany-servers = 48\n";
  File.close();
  if (std::rename((Path + ".new").c_str(), Path.c_str()) != 0)
    throw std::runtime_error("cannot lay the settings file");
  this->Log.line("platform lays the settings of " + this->Name + ", graceS " +
                 std::to_string(this->Grace));
}

void Daemon::start() {
  const std::string Output = this->Folder + "/" + this->Name + ".log";
  this->Process = ::fork();
  if (this->Process == 0) {
    // The daemon must not outlast the case.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const std::string Path = this->Folder + "/" + this->Name + ".ini";
    ::setenv("CANVASWICK_NODE_FILE", Path.c_str(), 1);
    const int File =
        ::open(Output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(File, 1);
    ::dup2(File, 2);
    ::execl("target/bin/canvaswickd", "target/bin/canvaswickd", nullptr);
    ::_exit(127);
  }
  this->Log.line("platform starts " + this->Name);
}

void Daemon::signal(int Number) {
  this->Log.line("platform sends " + std::string(::strsignal(Number)) + " to " +
                 this->Name);
  ::kill(this->Process, Number);
}

bool Daemon::isReady() const {
  const std::unique_ptr<Connection> Stream(Connection::connectTo(this->Ready));
  if (!Stream->isOpen())
    return false;
  Stream->setDeadline(now() + 1);
  Stream->write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
  Message Answer;
  return Stream->readMessage(Answer, true) && Answer.status() == 200;
}

bool Daemon::waitUntilReady(double Deadline) const {
  while (now() < Deadline) {
    if (this->isReady())
      return true;
    sleepFor(0.1);
  }
  return false;
}

std::string Daemon::waitOrKill(double Deadline) {
  int Status = 0;
  while (now() < Deadline) {
    if (::waitpid(this->Process, &Status, WNOHANG) == this->Process) {
      this->Process = -1;
      const std::string How =
          WIFEXITED(Status)
              ? "ended by itself with " + std::to_string(WEXITSTATUS(Status))
              : "ended by signal " + std::to_string(WTERMSIG(Status));
      this->Log.line(this->Name + " " + How);
      return How;
    }
    sleepFor(0.01);
  }
  this->Log.line("platform kills " + this->Name);
  ::kill(this->Process, SIGKILL);
  ::waitpid(this->Process, &Status, 0);
  this->Process = -1;
  return "killed";
}

Exchange ask(Connection &Stream, Record &Log, const std::string &Id,
             const std::string &Method, const std::string &Target,
             const std::string &Body, double LimitSeconds) {
  Exchange Done;
  Done.Id = Id;
  Done.Sent = now();
  Message Request{
      Method + " " + Target + " HTTP/1.1",
      {{"Host", HostName},
       {"Request-Id", Id},
       {"Deadline-Ms", std::to_string(static_cast<int>(LimitSeconds * 1000))}},
      Body};
  Log.line("client sends " + Id + " (" + Method + " " + Target + ")");
  Stream.setDeadline(Done.Sent + LimitSeconds + 0.5);
  Stream.write(formatMessage(Request, false));
  Done.IsWhole = Stream.readMessage(Done.Answer, true);
  Done.How = Stream.getEnd();
  Done.Ended = now();
  Log.line("client sees of " + Id + ": " +
           (Done.IsWhole ? "whole answer " : "no whole answer ") + "\"" +
           Done.Answer.StartLine + "\", stamp \"" +
           Done.Answer.get("Server-Stamp") + "\", " +
           std::to_string(Done.Answer.Body.size()) + " bytes, connection " +
           getName(Done.How));
  return Done;
}

Place findPlace(int Count, char **Values) {
  if (Count < 3)
    throw std::runtime_error("usage: CASE RECORD FOLDER");
  const char *Trouble = std::getenv("TROUBLE");
  return {Values[1], Values[2], !Trouble || std::string(Trouble) != "0"};
}

} // namespace review
