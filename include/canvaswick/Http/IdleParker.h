//===- IdleParker.h - Waits for input on idle connections -------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A kept connection that waits for its caller's next request costs a socket
/// and no thread: it is parked here, on one epoll thread, and handed back as
/// soon as bytes arrive. The same thread accepts new connections.
///
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

/// Holds idle connections and reports those that can be read.
class IdleParker {
public:
  using StreamHandler = std::function<void(std::unique_ptr<SocketStream>)>;
  using AcceptHandler = std::function<void(int Descriptor)>;

  /// Calls Ready on the parker's thread for each connection with input. A
  /// connection without input for IdleLimit, or left over at the stop, goes to
  /// Expired instead.
  IdleParker(Duration IdleLimit, StreamHandler Ready, StreamHandler Expired);
  ~IdleParker();
  IdleParker(const IdleParker &) = delete;
  IdleParker &operator=(const IdleParker &) = delete;

  /// Changes how long a connection may be without input.
  void setIdleLimit(Duration Limit) { this->IdleMicros = Limit.count(); }

  /// Takes a connection.
  void park(std::unique_ptr<SocketStream> Stream);

  /// Accepts what comes to a listening socket and hands it to Accepted, on the
  /// parker's thread. Called once. The socket stays the caller's, who may close
  /// it after stop.
  void listen(int Socket, AcceptHandler Accepted);

  /// Ends the thread and hands all parked connections to Expired.
  void stop();

  /// Returns how many connections are parked.
  size_t countParked() const;

private:
  struct Parked {
    std::unique_ptr<SocketStream> Stream;
    TimePoint Since;
  };

  void runThread();
  void closeExpired(TimePoint Now);
  void acceptSome();
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
