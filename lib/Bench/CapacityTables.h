//===- CapacityTables.h - Tables of the capacity benchmark ------*- C++ -*-===//
//
// Part of the canvaswick project, under the Apache License v2.0.
// See LICENSE for license information.
// SPDX-License-Identifier: Apache-2.0
//
//===----------------------------------------------------------------------===//
///
/// \file
/// Declares the helpers that the sources of the capacity benchmark share and
/// the tables that have a source of their own. Private to this library.
///
//===----------------------------------------------------------------------===//

#ifndef CANVASWICK_LIB_BENCH_CAPACITYTABLES_H
#define CANVASWICK_LIB_BENCH_CAPACITYTABLES_H

#include <fmt/format.h>

#include <sys/resource.h>

#include <cstdint>
#include <string>
#include <vector>

namespace canvaswick {

/// Measures the CPU time of this process, user and system, since construction.
class CpuTimer {
public:
  CpuTimer() : Start(read()) {}
  double getSeconds() const { return read() - this->Start; }

private:
  static double read() {
    rusage Usage{};
    ::getrusage(RUSAGE_SELF, &Usage);
    return static_cast<double>(Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec) +
           static_cast<double>(Usage.ru_utime.tv_usec +
                               Usage.ru_stime.tv_usec) /
               1e6;
  }

  double Start;
};

/// Returns the resident memory of this process in megabytes.
double readResidentMegabytes();

/// Returns the names of Count daemons.
std::vector<std::string> makeNames(size_t Count);

/// Measure calls, evidence pools, claims and membership. Each returns CSV.
std::string measureCalls();
std::string measurePool();
std::string measureClaims();
std::string measureMembers();

/// Computes the start of a whole fleet from a model. Returns CSV.
std::string measureStarts();

/// Computes how long a configuration takes to all daemons of a hall from a
/// model. Returns CSV.
std::string measureSpread();

/// Counts what arrives at servers that have ended while they stay listed, in a
/// model of the fleet.
std::string measureGone();

} // namespace canvaswick

#endif // CANVASWICK_LIB_BENCH_CAPACITYTABLES_H
