//===- RelayStandIn.h - A small TCP relay that can be cut or slowed, each way by
// itself -*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Stands between two processes in tests, to bring about one-way cuts and
/// delays without touching the machine's network.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_STANDIN_RELAYSTANDIN_H
#define CANVASWICK_STANDIN_RELAYSTANDIN_H

#include "canvaswick/Settings/FleetConfig.h"
#include "canvaswick/Support/Time.h"

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace canvaswick {

/// What the relay does to the bytes of one direction.
struct RelayFaults {
  std::atomic<bool> CutForward{false};
  std::atomic<bool> CutBackward{false};
  std::atomic<int64_t> DelayMs{0};
};

/// Relays one address to another.
class RelayStandIn {
public:
  explicit RelayStandIn(Endpoint Target);
  ~RelayStandIn();

  Result<void> start(const Endpoint &Address);
  void stop();
  uint16_t getPort() const { return this->Port; }

  /// Lets the connections that are open now carry nothing more, without an end;
  /// later ones work.
  void silenceOpenConnections();

  /// The faults in force; change them at any time.
  RelayFaults &getFaults() { return this->Faults; }

private:
  struct Connection {
    int Near = -1;
    int Far = -1;
    std::atomic<bool> IsSilent{false};
    std::thread Forward;
    std::thread Backward;
  };

  void acceptLoop();
  void pump(int From, int To, const std::atomic<bool> &Cut,
            const std::atomic<bool> &IsSilent);

  const Endpoint Target;
  RelayFaults Faults;
  int Listener = -1;
  uint16_t Port = 0;
  std::atomic<bool> Stopping{false};
  std::thread Acceptor;
  std::mutex Mutex;
  std::list<Connection> Connections;
};

} // namespace canvaswick

#endif // CANVASWICK_STANDIN_RELAYSTANDIN_H
