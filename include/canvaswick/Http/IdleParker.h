//===- IdleParker.h - Waits for input on idle connections -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A kept connection that waits for the next request occupies a socket but no
/// thread. IdleParker watches such connections with one epoll thread and hands
/// each back when input arrives. The same thread accepts new connections.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_IDLEPARKER_H
#define CANVASWICK_HTTP_IDLEPARKER_H

#include "canvaswick/Http/SocketStream.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace canvaswick {

/// Watches idle connections and reports the readable ones. Thread-safe.
class IdleParker {
public:
  using StreamHandler = std::function<void(std::unique_ptr<SocketStream>)>;
  using AcceptHandler = std::function<void(int Descriptor)>;

  /// Calls Ready on the epoll thread for each connection with input. A
  /// connection without input for IdleLimit, or still parked when the parker
  /// stops, is passed to Expired instead.
  IdleParker(Duration IdleLimit, StreamHandler Ready, StreamHandler Expired);
  ~IdleParker();
  IdleParker(const IdleParker &) = delete;
  IdleParker &operator=(const IdleParker &) = delete;

  /// Sets how long a connection may stay without input.
  void setIdleLimit(Duration Limit) { this->IdleMicros = Limit.count(); }

  /// Takes ownership of a connection and watches it.
  void park(std::unique_ptr<SocketStream> Stream);

  /// Accepts connections on a listening socket and passes each descriptor to
  /// Accepted on the epoll thread. Called at most once. The caller keeps
  /// ownership of Socket and may close it after stop.
  void listen(int Socket, AcceptHandler Accepted);

  /// Stops the thread and passes all parked connections to Expired.
  void stop();

  /// Returns the number of parked connections.
  size_t countParked() const;

private:
  struct Parked {
    std::unique_ptr<SocketStream> Stream;
    TimePoint Since;
  };

  void runThread();
  void closeExpired(TimePoint Now);
  void acceptPending();
  std::unique_ptr<SocketStream> take(int Descriptor);

  std::atomic<int64_t> IdleMicros;
  const StreamHandler Ready;
  const StreamHandler Expired;
  AcceptHandler Accepted;
  int Epoll;
  int Wake;
  std::atomic<int> Listening{-1};
  mutable std::mutex Mutex;
  std::unordered_map<int, Parked> Connections;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

} // namespace canvaswick

#endif // CANVASWICK_HTTP_IDLEPARKER_H
