//===- CancelSignal.h - Ends calls that wait --------------------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// A thread that waits for a peer's answer must end when its daemon does. The
/// exchange watches a descriptor, which this class makes readable.
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_HTTP_CANCELSIGNAL_H
#define CANVASWICK_HTTP_CANCELSIGNAL_H

namespace canvaswick {

/// A descriptor that looks disconnected once the signal is given. Thread-safe.
class CancelSignal {
public:
  CancelSignal();
  ~CancelSignal();
  CancelSignal(const CancelSignal &) = delete;
  CancelSignal &operator=(const CancelSignal &) = delete;

  /// Cancels all exchanges that watch the descriptor, now and later.
  void trigger();

  /// Returns the descriptor for ConnectionPool::exchange; -1 if the system had
  /// none left, so that nothing is canceled.
  int getDescriptor() const { return this->Sockets[0]; }

private:
  /// A local socket pair. Exchanges end when the second one is shut down.
  int Sockets[2] = {-1, -1};
};

} // namespace canvaswick

#endif // CANVASWICK_HTTP_CANCELSIGNAL_H
