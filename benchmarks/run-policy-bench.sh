#!/bin/bash
# Runs every scenario with every policy and prints medians over seeds as CSV.
# Usage: benchmarks/run-policy-bench.sh [SEEDS [SCENARIO PATTERN]]
set -euo pipefail
cd "$(dirname "$0")/.."
Seeds="${1:-20}"
Pattern="${2:-*}"
Bench=build/bin/canvaswick-policy-bench
"$Bench" --scenario benchmarks/scenarios/guild-catalogue-calm.ini --seeds 0
# shellcheck disable=SC2086
ls benchmarks/scenarios/$Pattern.ini |
  xargs -P "$(nproc)" -I{} "$Bench" --scenario {} --policy all \
    --seeds "$Seeds" --medians --header=false |
  sort
