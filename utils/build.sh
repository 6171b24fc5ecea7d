#!/bin/bash
# Builds everything. Usage: utils/build.sh [DIRECTORY [CMAKE OPTIONS]]
set -euo pipefail
cd "$(dirname "$0")/.."
Directory="${1:-build}"
[ $# -gt 0 ] && shift
cmake -S . -B "$Directory" -G Ninja "$@" >/dev/null
ninja -C "$Directory"
