#!/usr/bin/env bash
# Mutation test: applies one mutant at a time to a scratch copy and checks that the random schedules,
# or two of the scenarios, detect it.
#   run.sh [SCHEDULES [WORDS]]   runs only the mutants whose names contain WORDS
# Each line of mutants.txt: name | file | original text | replacement, with \n for a line break and
# <or> for ||, as | separates the fields.
set -eu
cd "$(dirname "$0")/../.."
schedules=${1:-300}
only=${2:-}
scratch=$(mktemp -d)
export CCACHE_BASEDIR=$scratch
trap 'rm -rf "$scratch"' EXIT
survived=0
git ls-files -z | xargs -0 cp --parents -t "$scratch"
cmake -S "$scratch" -B "$scratch/build" -G Ninja > /dev/null
while IFS='|' read -r name file from to; do
  from=${from//<or>/||}
  to=${to//<or>/||}
  case "$name" in '' | '#'*) continue ;; esac
  case "$name" in *"$only"*) ;; *) continue ;; esac
  cp "$scratch/$file" "$scratch/original"
  FROM=$from TO=$to perl -0pi -e \
    'BEGIN { $n = 0; s/\\n/\n/g for @ENV{"FROM", "TO"} } $n += s/\Q$ENV{FROM}\E/$ENV{TO}/; END { exit($n == 0) }' "$scratch/$file" ||
    { echo "$name: the original text was not found in $file"; exit 2; }
  if ! cmake --build "$scratch/build" --target bulrush-scenario > "$scratch/out"; then
    tail -n 20 "$scratch/out"
    echo "$name: the mutant does not build"
    exit 2
  fi
  if "$scratch/build/bulrush-scenario" --random="$schedules" --seed=1000 > "$scratch/out" &&
    "$scratch/build/bulrush-scenario" scenarios/{region-loss,long-requests}.yaml > "$scratch/out"; then
    echo "$name: SURVIVED $schedules schedules"
    survived=$((survived + 1))
  else
    echo "$name: detected; $(grep -E 'duplicate executions' "$scratch/out" | tail -n 1)"
  fi
  cp "$scratch/original" "$scratch/$file"
done < scenario/mutants/mutants.txt
exit $((survived > 0))
