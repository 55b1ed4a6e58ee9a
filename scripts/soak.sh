#!/usr/bin/env bash
# Plays the fault soak: first the seeds that once failed, then RUNS fresh ones from SEED on.
# soak.sh [RUNS] [SEED] [more flags of bulrush-soak]. Exit code 1 when a promise was broken.
set -eu
cd "$(dirname "$0")/.."
runs=${1:-1}
seed=${2:-$(date +%s)}
shift $(($# < 2 ? $# : 2))
cmake -S . -B build -G Ninja > /dev/null
cmake --build build --target bulrush-soak bulrushrund-platform > /dev/null
kept=0
while read -r failed cause; do
  case "$failed" in '#'* | '') continue ;; esac
  echo "once failed: $cause"
  ./build/bulrush-soak --seed="$failed" "$@" || kept=1
done < soak/seeds.txt
./build/bulrush-soak --seed="$seed" --runs="$runs" "$@" || kept=1
exit $kept
