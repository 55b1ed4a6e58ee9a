#!/usr/bin/env bash
# Demonstrates the program. Builds it, starts the stand-ins for the platform and the targets, one
# instance in each zone of a deployment and a second one in the first four zones, and generates
# load. While the load runs, a target is drained and an instance stopped; then a table of results is
# printed. Usage: demo.sh [DEPLOYMENT] [RATE] [SECONDS] [faults]. With "faults", one instance is
# also frozen and another killed, and the platform loses responses and then becomes unavailable.
# Exit code 1 when a request was executed twice, a response was truncated, or the stop failed.
set -eu
cd "$(dirname "$0")"
deployment=${1:-symtal}
rate=${2:-300}
seconds=${3:-12}
faults=${4:-}
build=build
if [ -z "${BULRUSHRUN_NO_INSTALL:-}" ]; then ./scripts/install-packages.sh; fi
cmake -S . -B $build -G Ninja > /dev/null
cmake --build $build --target bulrushrund bulrushctl standin-platform standin-targets bulrush-load
run=$(mktemp -d)
pids=()
cleanup() { kill -KILL "${pids[@]}" 2> /dev/null || true; wait 2> /dev/null || true; rm -rf "$run"; }
trap cleanup EXIT
export BULRUSHRUN_TOKEN=demo-operator-token
configuration=examples/$deployment.yaml
$build/standin-platform --listen=127.0.0.2:9000 & pids+=($!)
$build/standin-targets --configuration=$configuration --answer_ms=8 & targets=$!; pids+=($targets)

zones=$(sed -n 's/^    zones: \[\(.*\)\]/\1/p' $configuration | tr -d ' ' | tr ',' '\n')
first_zones=$(echo "$zones" | head -4)
number=0
addresses=""
declare -A daemon
for zone in $zones $first_zones; do
  number=$((number + 1))
  cat > "$run/$number.yaml" <<SETTINGS
instance: $zone-$number
zone: $zone
listen: 127.0.1.$number:8080
admin: 127.0.1.$number:8081
peer: 127.0.1.$number:8082
platform: 127.0.0.2:9000
seeds: ["127.0.1.1:8082", "127.0.1.2:8082"]
peer_keys: [demo-peer-key-0123456789]
viewer_token: demo-viewer-token
operator_token: $BULRUSHRUN_TOKEN
log_level: ${BULRUSHRUN_LOG:-warn}
SETTINGS
  $build/bulrushrund --settings="$run/$number.yaml" & daemon[$number]=$!; pids+=($!)
  addresses="$addresses,127.0.1.$number:8080"
done
control() { $build/bulrushctl --address="127.0.1.$1:8081" "${@:2}"; }
wait_until() { for _ in $(seq 100); do "$@" > /dev/null 2>&1 && return; sleep 0.1; done; "$@"; }

wait_until control 1 status
echo "== applying the configuration of $deployment as an operator"
control 1 config apply $configuration --base=0 --author=demo --reason="first configuration"
for n in $(seq $number); do wait_until control "$n" config show; done
wait_until sh -c "$build/bulrushctl --address=127.0.1.$number:8081 status | grep -q '\"version\":1'"
sleep 2
echo "== load: $rate requests per second for $seconds s; a target is drained and an instance stopped"
$build/bulrush-load --configuration=$configuration --instances="${addresses#,}" --rate="$rate" \
  --seconds="$seconds" > "$run/table" & load=$!
target=$(grep -o '127[.0-9]*:7000' $configuration | head -1)
# send_control ADDRESS METHOD BODY: sends one request to the control endpoint of a stand-in.
send_control() {
  exec 3<> "/dev/tcp/${1%:*}/${1#*:}"
  printf '%s /control HTTP/1.1\r\nHost: demo\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$2" "${#3}" "$3" >&3
  tail -n 1 <&3
}
if [ "$faults" = faults ]; then
  echo "== faults: instance 3 is frozen for 4 s, instance 4 killed; the platform loses responses, then is unavailable"
  kill -STOP "${daemon[3]}"
  send_control 127.0.0.2:9000 PUT lose=0.5 > /dev/null
  sleep 2
  kill -KILL "${daemon[4]}"
  sleep 2
  kill -CONT "${daemon[3]}"
  send_control 127.0.0.2:9000 PUT 'lose=0&outage=1' > /dev/null
  sleep 3
  send_control 127.0.0.2:9000 PUT outage=0 > /dev/null
  sleep 2
else
  sleep $((seconds / 3))
fi
control 2 exception add target "$target" --author=demo --reason="planned maintenance"
sleep 1
started=$(date +%s%N)
kill -TERM "${daemon[1]}"
wait "${daemon[1]}" && stopped=0 || stopped=$?
drain_ms=$((($(date +%s%N) - started) / 1000000))
wait $load
cat "$run/table"
echo "instance 1 stopped with exit code $stopped after $drain_ms ms"
record=$(send_control "$target" GET "")
echo "executions counted by the targets for requests with a key (doubled must be 0): $record"
truncated=$(awk 'NR > 1 { sum += $7 } END { print sum + 0 }' "$run/table")
case "$record" in *doubled=0*) ;; *) exit 1 ;; esac
[ "$truncated" -eq 0 ] && [ "$stopped" -eq 0 ]
