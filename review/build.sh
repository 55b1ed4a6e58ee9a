#!/usr/bin/env bash
# Builds the scripts' stand-ins into target/review, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
# Word splitting of the flags is intended.
# shellcheck disable=SC2046
for main in review/[1-5]/tests/*.cpp; do
  [ -e "$main" ] || continue
  output="target/review/$(basename "$main" .cpp)"
  [ "$output" -nt "$main" ] && [ "$output" -nt review/tests/Harness.h ] && [ "$output" -nt review/tests/Workload.h ] && continue
  g++ -std=c++20 -O1 -DH2O_USE_LIBUV=0 -DMSGPACK_NO_BOOST -I. "$main" \
    standins/RowStoreServer.cpp standins/InMemoryRowStore.cpp standins/RegisteredTarget.cpp \
    target/libbulrushrun_net.a target/libbulrushrun_platform.a target/libbulrushrun_core.a \
    $(pkg-config --cflags --libs libh2o-evloop liblog4cxx yaml-cpp) \
    -lhttp_parser -lssl -lcrypto -lz -o "$output"
done
