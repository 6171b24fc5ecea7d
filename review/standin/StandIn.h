//===- StandIn.h - Stand-ins of the review's scripts ------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A store, servers, callers and the starting of daemons, as the users' pages
/// describe them. Everything listens on loopback addresses and runs in the
/// process of the script; the daemons are processes of their own.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_REVIEW_STANDIN_H
#define CANVASWICK_REVIEW_STANDIN_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// Seconds on the steady clock since the script began.
double now();

void sleepFor(double Seconds);

/// Writes a line to the record, with the time before it.
void record(const std::string &Line);

/// Opens the record, a file of this name in a folder.
void openRecord(const std::string &Folder, const std::string &Name);

/// An HTTP/1.1 message. Start is its first line.
struct Message {
  std::string Start;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
  /// Returns a header's value, or an empty text.
  std::string get(const std::string &Name) const;
  int status() const;
};

/// A connection with a buffer for what was read too far.
class Connection {
public:
  explicit Connection(int Socket) : Socket(Socket) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  /// Reads one message. Returns false at the end of the connection, or after
  /// Seconds.
  bool readMessage(Message &Read, double Seconds);
  bool send(const std::string &Bytes);
  void close();
  bool isOpen() const { return this->Socket >= 0; }

private:
  bool fill(double Until);
  bool readLine(std::string &Line, double Until);
  bool readBytes(std::string &Bytes, size_t Count, double Until);

  int Socket;
  std::string Buffer;
};

/// Listens on 127.0.0.1; each connection has a thread.
class Listener {
public:
  using Handler = std::function<bool(const Message &, Connection &)>;
  /// The handler returns whether the connection stays open.
  void start(Handler Given);
  /// Refuses new connections from now on.
  void refuse();
  int getPort() const { return this->Port; }

private:
  void serve(int Socket);
  Handler Handle;
  int Socket = -1;
  int Port = 0;
};

/// Returns a port that is free for TCP and UDP now.
int findFreePort();

/// Connects to a port of 127.0.0.1. Returns a descriptor, or -1.
int connectTo(int Port);

/// The platform's store: items, pages, watches, transactions and leases.
class Store {
public:
  void start();
  int getPort() const { return this->Serving.getPort(); }
  uint64_t put(const std::string &Key, const std::string &Value,
               uint64_t Lease = 0);
  void remove(const std::string &Key);

private:
  struct Item {
    std::string Value;
    uint64_t Revision = 0;
    uint64_t Created = 0;
    uint64_t Lease = 0;
  };
  struct Event {
    std::string Key;
    Item Is;
    bool IsRemoved = false;
  };
  bool answer(const Message &Request, Connection &Caller);
  std::string answerItem(const std::string &Query, int &Status);
  std::string answerRange(const std::string &Query);
  std::string answerWatch(const std::string &Query);
  std::string answerTransaction(const std::string &Body, int &Status);
  std::string answerLease(const std::string &Body, int &Status);
  std::string answerRenewal(uint64_t Lease, int &Status);
  uint64_t putLocked(const std::string &Key, const std::string &Value,
                     uint64_t Lease);
  void removeLocked(const std::string &Key);
  void endLease(uint64_t Lease);
  void expireLeases();

  Listener Serving;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, Item> Items;
  std::vector<Event> History;
  struct Lease {
    double Length = 0;
    double Until = 0;
  };
  std::map<uint64_t, Lease> Leases;
  uint64_t Revision = 1;
  uint64_t NextLease = 100;
};

/// A request that a server has begun to work on.
struct Run {
  double At = 0;
  std::string Server;
  std::string Id;
  std::string Line;
  std::string Body;
};

/// What all servers have run.
class RunLog {
public:
  void add(Run Seen);
  std::vector<Run> list();

private:
  std::mutex Mutex;
  std::vector<Run> Runs;
};

/// A backend server, with an entry in the store that it renews.
class Upstream {
public:
  Upstream(Store &Entries, RunLog &Log, std::string Id, std::string Service,
           std::string Zone);
  void start();
  /// Sets how long a request takes.
  void setWork(double Seconds) { this->WorkSeconds = Seconds; }
  /// Makes answers of this many bytes that state no length, are sent in pieces
  /// over the time that a request takes, and end with their connection.
  void setUnframed(size_t Bytes) { this->UnframedBytes = Bytes; }
  /// Crashes: connections break off and new ones are refused.
  void crash();
  std::string getId() const { return this->Id; }

private:
  bool answer(const Message &Request, Connection &Caller);
  bool answerUnframed(const std::string &Id, const std::string &Head,
                      Connection &Caller);
  void writeEntry();

  Store &Entries;
  RunLog &Log;
  const std::string Id;
  const std::string Service;
  const std::string Zone;
  Listener Serving;
  std::atomic<double> WorkSeconds{0.02};
  std::atomic<size_t> UnframedBytes{0};
  std::atomic<bool> IsCrashed{false};
  std::atomic<int> Sequence{0};
  std::atomic<size_t> InWork{0};
};

/// A daemon, started with the command of the deploy file.
class Daemon {
public:
  Daemon(std::string Root, std::string Folder, std::string Name,
         std::string Zone);
  /// Writes the settings file from the fields of the deploy file's template.
  void configure(int StorePort, const std::string &Seeds);
  void start();
  /// Waits until the daemon answers 200 on its ready address.
  bool waitUntilReady(double Seconds) const;
  /// Returns whether the process has ended by itself, and how.
  bool hasEnded(std::string &How);
  /// Kills the process (SIGKILL).
  void killNow();
  void stop();
  int getPort() const { return this->FrontPort; }
  int getControlPort() const { return this->ControlPort; }
  std::string getName() const { return this->Name; }

private:
  const std::string Root;
  const std::string Folder;
  const std::string Name;
  const std::string Zone;
  const int FrontPort;
  const int ReadyPort;
  const int ControlPort;
  const int PeerPort;
  pid_t Process = -1;
};

/// Returns the body that a server without framing sends for a request.
std::string makeUnframedBody(const std::string &Id, size_t Bytes);

/// Returns the operators' configuration with three routes: "/read/"
/// (idempotent) and "/pull/" (download) to the service reads, "/act/"
/// (non_idempotent) to the service acts.
std::string makeConfig(int Version);

/// Returns whether the script runs with its disruption.
bool hasTrouble();

} // namespace review

#endif // CANVASWICK_REVIEW_STANDIN_H
