#!/bin/bash
# Installs the Debian 12 packages that the build and the tests need.
set -euo pipefail

Packages=(
  g++ clang-14 cmake ninja-build pkg-config ccache git
  clang-format-14 clang-tidy-14
  libjsonrpccpp-dev libjsoncpp-dev libcpp-httplib-dev libssl-dev zlib1g-dev
  libbrotli-dev libboost1.81-dev libgflags-dev libfmt-dev doctest-dev
  librapidcheck-dev libinih-dev libxxhash-dev libcurl4-openssl-dev curl
)

Missing=()
for Package in "${Packages[@]}"; do
  dpkg -s "$Package" >/dev/null 2>&1 || Missing+=("$Package")
done
[ "${#Missing[@]}" -eq 0 ] && exit 0

Sudo=()
[ "$(id -u)" -eq 0 ] || Sudo=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${Sudo[@]}" apt-get update -q
"${Sudo[@]}" apt-get install -y -q --no-install-recommends "${Missing[@]}"
