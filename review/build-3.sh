#!/usr/bin/env bash
# Builds the programs of the third review's cases against the deploy build, into target/review-3/.
# Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/tests/*.cpp; do
  [ -e "$source" ] || continue
  # shellcheck disable=SC2046
  g++ -std=c++20 -O1 -DH2O_USE_LIBUV=0 -DMSGPACK_NO_BOOST -I. "$source" \
    standins/RowStoreServer.cpp standins/InMemoryRowStore.cpp \
    target/libbulrushrun_net.a target/libbulrushrun_platform.a target/libbulrushrun_core.a \
    $(pkg-config --cflags --libs libh2o-evloop liblog4cxx yaml-cpp) -lhttp_parser -lssl -lcrypto -lz -pthread \
    -o "target/review-3/$(basename "$source" .cpp)"
done
