#!/usr/bin/env bash
# Validates a simulated experiment with separate processes on loopback: starts 12
# engines in three zones, configured as in experiments/confirm.yaml, and 6 nodes,
# sends the same online traffic without and with a batch job, and prints both results.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-$PWD/bin}
run=${RUN:-$PWD/.run/confirm}
rate=${RATE:-8}
seconds=${SECONDS_EACH:-40}
items=${ITEMS:-4000}
model=placement-draft
rm -rf "$run"
mkdir -p "$run/settings"
processes=()
finish() { for process in "${processes[@]}"; do kill -KILL "$process" 2>/dev/null || true; done; }
trap finish EXIT

start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  processes+=($!)
  disown $!
}
field() { sed -n 's/.*"'"$2"'" *: *"\([^"]*\)".*/\1/p' "$1" | head -n 1; }
wait_for() {
  for _ in $(seq 600); do
    [ -s "$1" ] && return 0
    sleep 0.05
  done
  echo "confirm: $1 did not appear" >&2
  exit 1
}
next_port=$((20000 + ($$ % 6000)))
free_port() {
  while next_port=$((next_port + 1)); (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do :; done
  port=$next_port
}

echo "00112233445566778899aabbccddeeff" >"$run/keys"
cp examples/nairamdal/settings/*.yaml "$run/settings/"
sed -i 's/batchShare: .*/batchShare: 0.5/' "$run"/settings/*.yaml
start platform "$bin/chutelock-lab" platform -ready-file "$run/platform.ready" -folder "$run/platform.state"
wait_for "$run/platform.ready"
platform=$(field "$run/platform.ready" address)
engine=0
for zone in bayanzurkh songino khan-uul; do
  for _ in 1 2 3 4; do
    engine=$((engine + 1))
    cat >"$run/engine-$engine.yaml" <<YAML
name: engine-$engine
zone: $zone
region: ulaanbaatar
models: [$model]
platform: $platform
report_every: 250ms
report_lag: 500ms
scheduler: {max_running: 32, token_budget: 512, block_tokens: 16, blocks: 4096, step_base: 100ms, step_per_sequence: 1ms, step_per_prefill_token: 300us}
YAML
    start "engine-$engine" "$bin/chutelock-lab" engine -config "$run/engine-$engine.yaml" -ready-file "$run/engine-$engine.ready" -truth-log "$run/engine-$engine.truth"
  done
done
seeds=""
node=0
for zone in bayanzurkh songino khan-uul bayanzurkh songino khan-uul; do
  node=$((node + 1))
  free_port; callers[$node]=127.0.0.1:$port
  free_port; operators[$node]=127.0.0.1:$port
  free_port; peers=127.0.0.1:$port
  seeds="$seeds${seeds:+, }\"$peers\""
  cat >"$run/node-$node.yaml" <<YAML
node: {name: node-$node, zone: $zone, region: ulaanbaatar}
listen: {callers: "${callers[$node]}", operators: "${operators[$node]}", peers: "$peers"}
peers: {seeds: [$seeds], key_file: "$run/keys"}
platform: {address: "$platform"}
data: {folder: "$run/node-$node.data"}
ledger: {copies: 5}
YAML
  start "node-$node" "$bin/chutelock" -config "$run/node-$node.yaml" -ready-file "$run/node-$node.ready"
done
for _ in $(seq 200); do
  "$bin/chutelockctl" apply -server "http://${operators[1]}" -f "$run/settings" >"$run/apply.log" 2>&1 && break
  sleep 0.1
done
for n in 1 2 3 4 5 6; do wait_for "$run/node-$n.ready"; done
targets=$(printf 'http://%s,' "${callers[@]}")

load() {
  "$bin/chutelock-lab" load -target "${targets%,}" -key demo-caseworkers-key -model $model -rate "$rate" -duration "${seconds}s" \
    -prompt-families 12 -shared-tokens 256 -own-tokens 128 -max-tokens 40 -seed "$1" -json "$run/$2.json" >"$run/$2.log" 2>&1 || true
  echo "== $2"
  cat "$run/$2.log"
}
sleep 2
load 1 warmup
load 2 alone
for i in $(seq "$items"); do
  printf '{"custom_id":"child-%d","method":"POST","url":"/v1/completions","body":{"model":"%s","prompt":"%0256d assign child %d to a seat in the hall where it may walk to","max_tokens":128}}\n' "$i" $model 7 "$i"
done >"$run/items.jsonl"
"$bin/chutelockctl" submit -server "http://${callers[1]}" -key demo-heads-key -idempotency-key confirm -o json "$run/items.jsonl" >"$run/job.json"
sleep 5
load 2 with-batch
"$bin/chutelockctl" jobs -server "http://${callers[1]}" -key demo-heads-key || true
for process in "${processes[@]}"; do kill -0 "$process" 2>/dev/null || echo "process $process had ended"; done
