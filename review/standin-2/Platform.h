//===- Platform.h - The platform's store, servers and daemons ---*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A store, backend servers and the supervision of daemons, as the users' pages
/// describe them, for the cases of the second review.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_REVIEW_STANDIN2_PLATFORM_H
#define CANVASWICK_REVIEW_STANDIN2_PLATFORM_H

#include "Wire.h"

#include <sys/types.h>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace Json {
class Value;
} // namespace Json

namespace review {

/// The platform's store: keys, watches, transactions and leases in memory.
class Store {
public:
  Store();

  uint16_t getPort() const { return this->Server->getPort(); }

  /// Writes or removes a key, as the operator and the servers do.
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);

  /// Leaves every call unanswered while set.
  void setSilent(bool IsSilent);

private:
  struct Item {
    std::string Value;
    uint64_t Revision = 0;
    uint64_t Lease = 0;
  };
  struct Event {
    std::string Key;
    std::string Value;
    uint64_t Revision = 0;
    bool IsRemoved = false;
  };

  void serve(Connection &Stream);
  Message answer(const Message &Call);
  int answerKey(const Message &Call, Json::Value &Answer);
  int answerRange(const Message &Call, Json::Value &Answer);
  int answerWatch(const Message &Call, Json::Value &Answer);
  int answerWrite(const Message &Call, Json::Value &Answer);
  int answerLease(const Message &Call, Json::Value &Answer);
  void putLocked(const std::string &Key, const std::string &Value,
                 uint64_t Lease);
  void removeLocked(const std::string &Key);
  void endLeases();

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  /// When leases end, by their numbers.
  std::map<uint64_t, std::pair<double, double>> Leases;
  uint64_t Revision = 1;
  uint64_t NextLease = 1;
  bool IsSilent = false;
  std::unique_ptr<Listener> Server;
};

/// Returns the entry of a server in the store.
std::string makeEntry(const std::string &Service, uint16_t Port,
                      const std::string &State, uint64_t Sequence);

/// One start of a backend server.
class Backend {
public:
  /// Answers a request that the server runs. It has been read whole.
  using Worker = std::function<void(Connection &, const Message &)>;

  Backend(Store &Platform, Record &Log, std::string Id, std::string Service,
          Worker Work);

  const std::string &getId() const { return this->Id; }
  uint16_t getPort() const { return this->Server->getPort(); }

  /// Writes the server's entry.
  void announce(const std::string &State);

  /// Returns how often a request was run.
  int countRuns(const std::string &RequestId);

private:
  void serve(Connection &Stream);

  Store &Platform;
  Record &Log;
  const std::string Id;
  const std::string Service;
  const Worker Work;
  std::mutex Mutex;
  std::map<std::string, int> Runs;
  std::unique_ptr<Listener> Server;
  uint64_t Sequence = 0;
};

/// Returns an answer of a server: success, with a stamp.
Message makeSuccess(const Message &Request, const std::string &Body);

/// A route of the configuration.
struct Route {
  std::string Name;
  std::string Prefix;
  std::string Kind;
  std::string Service;
  double TimeoutSeconds = 3;
  double GoalSeconds = 1;
  int Attempts = 3;
};

/// Returns the text of a configuration.
std::string makeConfig(int Version, const std::vector<Route> &Routes,
                       const std::vector<std::string> &Services);

/// The host of all routes.
inline constexpr const char *HostName = "jepu9.example";

/// A daemon, started by the command of the deploy file.
class Daemon {
public:
  Daemon(Record &Log, std::string Folder, std::string Name, uint16_t StorePort);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  void setGrace(double Seconds) { this->Grace = Seconds; }

  /// Lays the settings file, as the platform does.
  void writeSettings();

  void start();
  void signal(int Number);
  bool isReady() const;
  bool waitUntilReady(double Deadline) const;

  /// Waits for the process to end by itself, and kills it at the deadline.
  /// Returns how it ended.
  std::string waitOrKill(double Deadline);

  uint16_t getPort() const { return this->Callers; }
  uint16_t getControl() const { return this->Control; }
  pid_t getProcess() const { return this->Process; }

  /// Kills the process if it still runs.
  void end();

private:
  Record &Log;
  const std::string Folder;
  const std::string Name;
  const uint16_t StorePort;
  const uint16_t Callers;
  const uint16_t Ready;
  const uint16_t Control;
  const uint16_t Peer;
  double Grace = 6;
  pid_t Process = -1;
};

/// What a client sent and saw.
struct Exchange {
  std::string Id;
  double Sent = 0;
  double Ended = 0;
  /// Whether a whole answer arrived.
  bool IsWhole = false;
  Message Answer;
  End How = End::None;
};

/// Sends one request on an open connection and waits for its answer.
Exchange ask(Connection &Stream, Record &Log, const std::string &Id,
             const std::string &Method, const std::string &Target,
             const std::string &Body, double LimitSeconds);

/// Ends the daemon and this process at once. Threads of the stand-ins may still
/// use them, so nothing is destroyed.
[[noreturn]] void endCase(Daemon &Front, int Status);
[[noreturn]] void endCase(const std::vector<std::unique_ptr<Daemon>> &Fronts,
                          int Status);

/// Where a case runs: its folder of the repository, a temporary folder, and
/// whether the disruption is to happen.
struct Place {
  std::string RecordPath;
  std::string Folder;
  bool HasTrouble = true;
};

/// Reads FOLDER from the command line and TROUBLE from the environment.
Place findPlace(int Count, char **Values);

} // namespace review

#endif // CANVASWICK_REVIEW_STANDIN2_PLATFORM_H
