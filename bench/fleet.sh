#!/usr/bin/env bash
# Usage: bench/fleet.sh [INSTANCES [ZONES [CHANGES [IDLE_SECONDS]]]]
# Measures the cost of an idle fleet per instance (memory, CPU time, control traffic), and the time
# from the acceptance of a configuration until it is in force on all instances.
set -eu
cd "$(dirname "$0")/.."
build=build
nodes=${1:-10}
zones=${2:-6}
changes=${3:-5}
rest=${4:-15}
run=$(mktemp -d)
pids=()
cleanup() { kill -KILL "${pids[@]}" 2> /dev/null || true; wait 2> /dev/null || true; rm -rf "$run"; }
trap cleanup EXIT
export BULRUSHRUN_TOKEN=fleet-operator-token
{
  echo "regions:"
  for z in $(seq 0 3 $((zones - 1))); do
    names=$(seq -s ', ' -f 'z%g' "$z" $((z + 2 < zones ? z + 2 : zones - 1)))
    echo "  - {name: r$((z / 3)), zones: [$names]}"
  done
  printf 'tenants:\n  - name: t\n    services:\n      - name: s\n        slots: 3\n        classes: [{name: c}]\n        targets:\n'
  for z in $(seq 0 $((zones - 1))); do
    echo "          z$z: [\"127.0.7.$((z + 1)):7000\"]"
  done
} > "$run/configuration.yaml"
$build/bulrushctl config validate "$run/configuration.yaml" > /dev/null
$build/standin-platform --listen=127.0.4.1:9000 & pids+=($!)
$build/standin-targets --configuration="$run/configuration.yaml" & pids+=($!)
for n in $(seq "$nodes"); do
  ip=127.0.5.$n
  cat > "$run/$n.yaml" <<YAML
instance: node-$n
zone: z$((n % zones))
listen: $ip:8080
admin: $ip:8081
peer: $ip:8082
platform: 127.0.4.1:9000
seeds: ["127.0.5.1:8082", "127.0.5.2:8082"]
peer_keys: [fleet-peer-key-0123456789]
viewer_token: fleet-viewer-token
operator_token: $BULRUSHRUN_TOKEN
log_level: info
YAML
  $build/bulrushrund --settings="$run/$n.yaml" > "$run/$n.log" 2>&1 & pids+=($!); echo $! >> "$run/pids"
done
control() { $build/bulrushctl --address=127.0.5.1:8081 --author=fleet --reason=measure "$@"; }
for _ in $(seq 100); do control status > /dev/null 2>&1 && break; sleep 0.1; done
control config apply "$run/configuration.yaml" --base=0 > /dev/null
for _ in $(seq 300); do
  [ "$(grep -l 'instance-ready' "$run"/*.log | wc -l)" -eq "$nodes" ] && break
  sleep 0.2
done
sleep 10
ticks() { while read -r pid; do awk '{print $14 + $15}' "/proc/$pid/stat"; done < "$run/pids" | paste -sd+ | bc; }
before=$(ticks)
sent() { $build/bulrushctl --address=127.0.5.2:8081 status | grep -o '"control_bytes_sent":[0-9]*' | cut -d: -f2; }
sent_before=$(sent)
sleep "$rest"
after=$(ticks)
sent_after=$(sent)
memory=$(while read -r pid; do awk '/VmRSS/ {print $2}' "/proc/$pid/status"; done < "$run/pids" | sort -n | tail -1)
hz=$(getconf CLK_TCK)
echo "instances $nodes, zones $zones: largest resident set $memory KiB; CPU $(echo "scale=3; 100 * ($after - $before) / $hz / $rest / $nodes" | bc) % of a core per instance; control messages sent by one instance $(((sent_after - sent_before) / rest)) B/s"
for c in $(seq "$changes"); do
  echo "# change $c" >> "$run/configuration.yaml"
  control config apply "$run/configuration.yaml" --base="$c" > /dev/null
  sleep 3
done
for v in $(seq 2 $((changes + 1))); do
  grep -h "configuration-adopted version=$v " "$run"/*.log || grep -h "configuration-adopted version=$v\$" "$run"/*.log
done | awk '{ split($2, t, ":"); s = t[1] * 3600 + t[2] * 60 + t[3]; v = $NF; if (!(v in first) || s < first[v]) first[v] = s; n++; at[n] = s; of[n] = v }
  END { for (i = 1; i <= n; i++) print (at[i] - first[of[i]]) * 1000 }' | sort -n |
  awk '{ d[NR] = $1 } END { printf "in force after acceptance, %d samples: p50 %.0f ms, p99 %.0f ms, max %.0f ms\n", NR, d[int(NR * .5) + 1], d[int(NR * .99)], d[NR] }'
