#!/usr/bin/env bash
# Streams 100 MiB to a slow caller through one instance and prints the growth of its memory. Any
# argument makes the target use chunked encoding. Requires curl.
set -eu
cd "$(dirname "$0")/.."
run=$(mktemp -d)
pids=()
cleanup() { kill -KILL "${pids[@]}" 2> /dev/null || true; wait 2> /dev/null || true; rm -rf "$run"; }
trap cleanup EXIT
export BULRUSHRUN_TOKEN=stream-operator-token
cat > "$run/c.yaml" <<YAML
regions: [{name: r, zones: [z]}]
tenants: [{name: t, services: [{name: s, slots: 4, classes: [{name: c, deadline_ms: 60000}], targets: {z: ["127.0.8.2:7000"]}}]}]
YAML
cat > "$run/s.yaml" <<YAML
instance: stream
zone: z
listen: 127.0.8.3:8080
admin: 127.0.8.3:8081
peer: 127.0.8.3:8082
platform: 127.0.8.4:9000
peer_keys: [stream-peer-key-0123456789]
viewer_token: stream-viewer-token
operator_token: $BULRUSHRUN_TOKEN
log_level: error
YAML
build/standin-platform --listen=127.0.8.4:9000 & pids+=($!)
build/standin-targets --configuration="$run/c.yaml" & pids+=($!)
build/bulrushrund --settings="$run/s.yaml" & daemon=$!; pids+=($!)
control() { build/bulrushctl --address=127.0.8.3:8081 "$@"; }
for _ in $(seq 50); do control status > /dev/null 2>&1 && break; sleep 0.1; done
control config apply "$run/c.yaml" --base=0 --author=bench --reason=bench > /dev/null
sleep 2
memory() { awk "/$1/ {print \$2}" /proc/$daemon/status; }
before=$(memory VmRSS)
curl -s --limit-rate 20M -o "$run/body" -H 'Bulrush-Tenant: t' -H 'Bulrush-Service: s' \
  -H 'Stand-In-Bytes: 104857600' ${1:+-H 'Stand-In-Chunked: 1'} http://127.0.8.3:8080/artwork
echo "$(stat -c %s "$run/body") bytes received; resident set $before KiB before, $(memory VmHWM) KiB at its peak"
