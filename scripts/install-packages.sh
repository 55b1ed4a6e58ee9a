#!/usr/bin/env bash
# Installs the Debian packages that are needed to build, test and check this repository.
set -eu
packages="g++ cmake ninja-build ccache pkg-config clang-format clang-tidy cppcheck \
  libh2o-evloop-dev libhttp-parser-dev libyaml-cpp-dev libabsl-dev liblog4cxx-dev \
  libmsgpack-cxx-dev nlohmann-json3-dev libboost-dev libssl-dev zlib1g-dev libgtest-dev libbenchmark-dev"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2> /dev/null | grep -q 'ok installed' || missing="$missing $package"
done
if [ -n "$missing" ]; then
  apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing
fi
