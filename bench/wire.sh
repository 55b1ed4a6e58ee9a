#!/usr/bin/env bash
# Compares one instance on one core with a bare h2o handler and with direct requests to its target,
# in alternating rounds: lookups and forwarded requests per second, latency, memory. Requires wrk.
set -eu
cd "$(dirname "$0")/.."
build=build
seconds=${1:-4}
run=$(mktemp -d)
pids=()
cleanup() { kill "${pids[@]}" 2> /dev/null || true; rm -rf "$run"; }
trap cleanup EXIT
export BULRUSHRUN_TOKEN=bench-operator-token
cat > "$run/configuration.yaml" <<YAML
regions: [{name: r, zones: [z]}]
tenants:
  - name: t
    services:
      - name: s
        slots: 64
        classes: [{name: c, deadline_ms: 5000}]
        targets: {z: ["127.0.3.2:7000"]}
YAML
cat > "$run/settings.yaml" <<YAML
instance: bench
zone: z
listen: 127.0.3.3:8080
admin: 127.0.3.3:8081
peer: 127.0.3.3:8082
platform: 127.0.3.4:9000
peer_keys: [bench-peer-key-0123456789]
viewer_token: bench-viewer-token
operator_token: $BULRUSHRUN_TOKEN
log_level: error
YAML
$build/standin-platform --listen=127.0.3.4:9000 & pids+=($!)
taskset -c 1 $build/standin-targets --configuration="$run/configuration.yaml" --answer_ms=0 \
  --answer_bytes=350 & pids+=($!)
taskset -c 0 $build/bench-bare-server & pids+=($!)
taskset -c 0 $build/bulrushrund --settings="$run/settings.yaml" & daemon=$!; pids+=($!)
control() { $build/bulrushctl --address=127.0.3.3:8081 "$@"; }
for _ in $(seq 50); do control status > /dev/null 2>&1 && break; sleep 0.1; done
control config apply "$run/configuration.yaml" --base=0 --author=bench --reason=bench > /dev/null
sleep 2
memory() { awk '/VmRSS/ {print $2 " KiB resident set"}' /proc/$daemon/status; }
echo "idle: $(memory), $(ls /proc/$daemon/task | wc -l) threads"
load() { taskset -c 2-5 wrk -t2 -c"$1" -d"$seconds" --latency "${@:3}" "$2" | grep -E '50%|99%|Requests/sec|Non-2xx|Socket' | tr '\n' ' '; echo; }
headers=(-H 'Bulrush-Tenant: t' -H 'Bulrush-Service: s' -H 'Bulrush-Exchange: wrk')
for round in 1 2 3; do
  echo "round $round, bare handler:     $(load 32 http://127.0.3.1:8080/)"
  echo "round $round, lookups:          $(load 32 http://127.0.3.3:8080/v1/lookup/t/s/z)"
  echo "round $round, direct to target: $(load 8 http://127.0.3.2:7000/work "${headers[@]}")"
  echo "round $round, through instance: $(load 8 http://127.0.3.3:8080/work "${headers[@]}")"
done
load 360 http://127.0.3.3:8080/v1/lookup/t/s/z > /dev/null & sleep 1
echo "with 360 connections: $(memory)"
wait $!
