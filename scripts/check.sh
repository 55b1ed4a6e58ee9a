#!/usr/bin/env bash
# Runs the formatter and the linters in check mode. Prints findings only.
set -eu
cd "$(dirname "$0")/.."
files=$(git ls-files '*.h' '*.cpp')
# shellcheck disable=SC2086
clang-format --dry-run --Werror $files
sources=$(git ls-files '*.cpp' | grep -v '/tests/')
# shellcheck disable=SC2086
echo $sources | tr ' ' '\n' | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build 2> /dev/null
cppcheck --quiet --library=googletest --std=c++20 --language=c++ --error-exitcode=1 --inline-suppr -I . \
  --enable=warning,performance,portability --suppress=missingIncludeSystem \
  -j "$(nproc)" bulrushrun platform daemon ctl load scenario soak standins bench
# platform/ translates the names of the platform's protocol: they must not be used anywhere else
# except in stand-ins and tests.
names='X-(Request-Id|Request-Timeout-Ms|Target-Instance|Not-Executed|Response-Signature|Affinity-Key'
names="$names|Server-(Load|Leaving|Limit)|Instance-Id|Cold-Remaining)|pathPrefix|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)"
names="$names|Store-Era|coldRemainingMs|targetLatencyMs|trafficSplit|X-Tenant-Id|apiKeys|ratePerS"
leaks=$(git grep -nE "$names" -- '*.h' '*.cpp' ':!platform/' ':!standins/' ':!soak/' ':!ctl/tests/' | grep -v '/tests/' || true)
if [ -n "$leaks" ]; then
  echo "names of the platform's protocol are used outside platform/:"
  echo "$leaks"
  exit 1
fi
# The patches that switch one mechanism off each must still apply.
for patch in bench/ablations/*.patch; do
  git apply --check "$patch"
done
