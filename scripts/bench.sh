#!/usr/bin/env bash
# Measures the gateway's overhead: sends the same online traffic to stand-in
# engines directly and through one node, alternately, and relates the node's CPU
# time to the number of tokens relayed. Needs an otherwise idle machine.
#
# Environment variables: BENCH_RATE (requests per second), BENCH_SECONDS (length
# of each phase), BENCH_ROUNDS, BENCH_TOKENS (per response), BENCH_ENGINES.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
run=$PWD/.run/bench
rate=${BENCH_RATE:-1000}
seconds=${BENCH_SECONDS:-5}
rounds=${BENCH_ROUNDS:-3}
tokens=${BENCH_TOKENS:-16}
engines=${BENCH_ENGINES:-8}
model=bench-model
key=bench-key

rm -rf "$run"
mkdir -p "$run/settings"
declare -A process_of

finish() {
  for pid in "${process_of[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap finish EXIT

# start NAME COMMAND... runs a command in the background and logs its output.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  process_of[$name]=$!
}

# field FILE NAME prints a string field of a flat JSON file.
field() { sed -n 's/.*"'"$2"'" *: *"\([^"]*\)".*/\1/p' "$1" | head -n 1; }

wait_for() {
  for _ in $(seq 600); do
    [ -s "$1" ] && return 0
    sleep 0.05
  done
  echo "bench: $1 did not appear; see $run" >&2
  exit 1
}

# cpu_ticks prints the node's user and system CPU time in clock ticks.
cpu_ticks() { awk '{ print $14, $15 }' "/proc/${process_of[node]}/stat"; }

echo "00112233445566778899aabbccddeeff" >"$run/keys"
start platform "$bin/chutelock-lab" platform -ready-file "$run/platform.ready"
wait_for "$run/platform.ready"
platform=$(field "$run/platform.ready" address)

# Steps take constant time whatever the batch, so that engine latency is the same
# with and without the gateway.
cat >"$run/engine.yaml" <<YAML
zone: bench
region: bench
models: [$model]
platform: $platform
report_lag: 100ms
scheduler: {max_running: 256, step_base: 2ms, step_per_sequence: 0s, step_per_prefill_token: 0s}
YAML
direct=""
for n in $(seq "$engines"); do
  start "engine-$n" "$bin/chutelock-lab" engine -name "engine-$n" -config "$run/engine.yaml" -ready-file "$run/engine-$n.ready"
done
for n in $(seq "$engines"); do
  wait_for "$run/engine-$n.ready"
  direct=$direct${direct:+,}http://$(field "$run/engine-$n.ready" address)
done

next_port=$((20000 + ($$ % 8000)))
free_port() {
  while next_port=$((next_port + 1)); (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do :; done
  port=$next_port
}

# One node stores the ledger and receives no load; the other stores nothing and is
# measured. Nodes become ready only after settings are applied, so the operator and
# seed addresses must be chosen in advance.
free_port; operators=127.0.0.1:$port
free_port; seed=127.0.0.1:$port
cat >"$run/keeper.yaml" <<YAML
node: {name: keeper, zone: bench, region: bench}
listen: {callers: "127.0.0.1:0", operators: "$operators", peers: "$seed"}
peers: {key_file: "$run/keys"}
platform: {address: "$platform"}
data: {folder: "$run/keeper.data"}
ledger: {copies: 1}
YAML
free_port
cat >"$run/node.yaml" <<YAML
node: {name: node, zone: bench, region: bench}
listen: {callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:$port"}
peers: {seeds: ["$seed"], key_file: "$run/keys"}
platform: {address: "$platform"}
ledger: {copies: 1}
YAML
cat >"$run/settings/bench.yaml" <<YAML
path: fleet
kind: folder
---
path: fleet/bench
kind: service
model: $model
models: [$model]
queueLimit: 10000
queueTimeout: 10s
slotsPerEngine: 256
---
path: fleet/bench/caller
kind: tenant
keys: [$key]
priority: 0
YAML
start keeper "$bin/chutelock" -config "$run/keeper.yaml" -ready-file "$run/keeper.ready"
start node "$bin/chutelock" -config "$run/node.yaml" -ready-file "$run/node.ready"
applied=1
for _ in $(seq 200); do
  "$bin/chutelockctl" apply -server "http://$operators" -f "$run/settings" >"$run/apply.log" 2>&1 && applied=0 && break
  sleep 0.1
done
[ $applied = 0 ] || { cat "$run/apply.log" >&2; exit 1; }
wait_for "$run/keeper.ready"
wait_for "$run/node.ready"
gateway=http://$(field "$run/node.ready" callers)

# load NAME TARGETS SEED RATE TOKENS sends online traffic and writes NAME.json.
load() {
  "$bin/chutelock-lab" load -target "$2" -key $key -model $model -rate "$4" -duration "${seconds}s" \
    -max-tokens "$5" -max-in-flight 20000 -seed "$3" -json "$run/$1.json" >"$run/$1.log" 2>&1 || true
}

# gateway_load NAME SEED RATE TOKENS loads the node and records its CPU time, less
# that of an idle phase.
gateway_load() {
  local before after
  before=($(cpu_ticks))
  load "$1" "$gateway" "$2" "$3" "$4"
  after=($(cpu_ticks))
  echo "$run/$1.json $((after[0] - before[0] - idle[0])) $((after[1] - before[1] - idle[1]))" >>"$run/cpu"
}

echo "warming up"
load warm-direct "$direct" 99 "$rate" "$tokens"
load warm-gateway "$gateway" 99 "$rate" "$tokens"
before=($(cpu_ticks))
sleep "$seconds"
after=($(cpu_ticks))
idle=($((after[0] - before[0])) $((after[1] - before[1])))
for round in $(seq "$rounds"); do
  echo "round $round of $rounds: $rate requests a second for ${seconds}s, directly and through the node"
  load "direct-$round" "$direct" "$round" "$rate" "$tokens"
  gateway_load "gateway-$round" "$round" "$rate" "$tokens"
  # Fewer, longer responses separate the cost per token from the cost per request.
  gateway_load "long-$round" "$round" $((rate / 4)) $((tokens * 8))
done
"$bin/chutelock-lab" overhead -cpu "$run/cpu" -ticks-per-second "$(getconf CLK_TCK)" \
  -direct "$(echo "$run"/direct-*.json | tr ' ' ,)" -gateway "$(echo "$run"/gateway-*.json | tr ' ' ,)"
