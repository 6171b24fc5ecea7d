//===- RelayStandIn.h - TCP relay with faults per direction -----*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Forwards TCP connections between two processes in tests. It simulates
/// one-way network partitions and delays without changes to the network of the
/// host.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_STANDIN_RELAYSTANDIN_H
#define CANVASWICK_STANDIN_RELAYSTANDIN_H

#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Support/Error.h"
#include "canvaswick/Support/Time.h"

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace canvaswick {

/// The faults that the relay injects.
struct RelayFaults {
  /// Bytes from the client to the target are held back.
  std::atomic<bool> CutForward{false};
  /// Bytes from the target to the client are held back.
  std::atomic<bool> CutBackward{false};
  /// Delay before each read is forwarded, in either direction.
  std::atomic<int64_t> DelayMs{0};
  /// Bandwidth from the target to the clients, which all connections share, in
  /// bytes per second. 0 means no limit.
  std::atomic<int64_t> BytesPerSecond{0};
};

/// What happens to new connections.
enum class NewConnections : uint8_t {
  Accept,
  /// Nothing answers, as behind a firewall that drops packets.
  Hang,
  Refuse,
};

/// Relays the connections of one address to another. Thread-safe after start().
class RelayStandIn {
public:
  explicit RelayStandIn(Endpoint Target);
  ~RelayStandIn();

  /// Binds the address and starts to accept. A port of 0 picks a free one.
  Result<void> start(const Endpoint &Address);
  /// Closes all connections and waits for the threads.
  void stop();
  /// Returns the port that is served.
  uint16_t getPort() const { return this->Port; }

  /// Stops forwarding on the connections that are open now, without closing
  /// them. Later connections work.
  void silenceOpenConnections();

  /// Sets what happens to connections that are opened from now on.
  void setNewConnections(NewConnections Next);

  /// Resets the connections that are open now, on the client's side.
  void resetOpenConnections();

  /// Returns how many bytes were forwarded from the target to the clients.
  size_t countBytesBackward() const { return this->BytesBackward; }

  /// Returns the faults in force, which may be changed at any time.
  RelayFaults &getFaults() { return this->Faults; }

private:
  struct Connection {
    int Client = -1;
    int Upstream = -1;
    std::atomic<bool> IsSilent{false};
    std::thread Forward;
    std::thread Backward;
  };

  Result<void> listen(int Backlog);
  void acceptLoop();
  int getListener();
  void acceptOne();
  void fillQueue();
  void clearQueue();
  void forwardBytes(int From, int To, const std::atomic<bool> &Cut,
                    const std::atomic<bool> &IsSilent, bool IsBackward);
  void waitForBandwidth(size_t Bytes);

  const Endpoint Target;
  RelayFaults Faults;
  Endpoint Address;
  /// Guards Listener, Fillers and Mode.
  std::mutex ListenMutex;
  int Listener = -1;
  /// Connections that keep the listen queue full while new ones hang.
  std::vector<int> Fillers;
  NewConnections Mode = NewConnections::Accept;
  uint16_t Port = 0;
  std::atomic<bool> Stopping{false};
  std::thread Acceptor;
  std::mutex Mutex;
  std::list<Connection> Connections;
  std::atomic<size_t> BytesBackward{0};
  std::mutex BandwidthMutex;
  /// When the link from the target is free again.
  TimePoint LinkFreeAt{};
};

} // namespace canvaswick

#endif // CANVASWICK_STANDIN_RELAYSTANDIN_H
