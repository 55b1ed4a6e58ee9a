#!/usr/bin/env bash
# Runs the fault soak: first the seeds that failed before, then RUNS new seeds starting at SEED.
# Usage: soak.sh [RUNS] [SEED] [further flags of bulrush-soak]
# Exit code 1 when a guarantee was violated.
set -eu
cd "$(dirname "$0")/.."
runs=${1:-1}
seed=${2:-$(date +%s)}
shift $(($# < 2 ? $# : 2))
cmake -S . -B build -G Ninja > /dev/null
cmake --build build --target bulrush-soak bulrushrund-platform > /dev/null
status=0
while read -r failed cause; do
  case "$failed" in '#'* | '') continue ;; esac
  echo "failed before: $cause"
  ./build/bulrush-soak --seed="$failed" "$@" || status=1
done < soak/seeds.txt
./build/bulrush-soak --seed="$seed" --runs="$runs" "$@" || status=1
exit $status
