#!/bin/bash
# Reruns every figure of docs/CAPACITY.md and docs/POLICY-BENCH.md and prints
# the tables. Takes about a quarter of an hour on eight cores.
set -euo pipefail
cd "$(dirname "$0")/.."
build/bin/canvaswick-capacity-bench
benchmarks/run-latency.sh
benchmarks/run-fleet.sh 40 15
benchmarks/run-platform-away.sh
benchmarks/run-policy-bench.sh 20
