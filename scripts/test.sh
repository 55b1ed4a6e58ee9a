#!/usr/bin/env bash
# Installs the packages, builds everything and runs all tests.
set -eu
cd "$(dirname "$0")/.."
./scripts/install-packages.sh
cmake -S . -B build -G Ninja > /dev/null
cmake --build build
ctest --test-dir build --output-on-failure -j "$(nproc)" -E "$(./scripts/known-red.sh)"
