#!/usr/bin/env bash
# Runs a deployment from examples/ (default: nairamdal) as separate processes on
# loopback with batch and online traffic, kills a node and an engine during the
# run, and prints a summary. Exits with 0 only if every check passed.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
run=$PWD/.run/demo
deployment=examples/${1:-nairamdal}
. "$deployment/deployment.env"
items=${DEMO_ITEMS:-$batch_items}
rate=${DEMO_RATE:-$online_rate}
settings=$deployment/settings

rm -rf "$run"
mkdir -p "$run"
declare -A process_of

finish() {
  for pid in "${process_of[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}
trap finish EXIT

say() { printf '\n== %s\n' "$*"; }

# start NAME COMMAND... runs a command in the background and logs its output.
start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  process_of[$name]=$!
  disown $! # so that the shell does not report the kills
}

# field FILE NAME prints a string field of a flat JSON file.
field() { sed -n 's/.*"'"$2"'" *: *"\([^"]*\)".*/\1/p' "$1" | head -n 1; }

# number FILE NAME prints a numeric field of a flat JSON file.
number() { sed -n 's/.*"'"$2"'" *: *\([0-9.]*\).*/\1/p' "$1" | head -n 1; }

wait_for() {
  for _ in $(seq 600); do
    [ -s "$1" ] && return 0
    sleep 0.05
  done
  echo "demo: $1 did not appear; see $run" >&2
  exit 1
}

next_port=$((13000 + ($$ % 6000)))
free_port() {
  while next_port=$((next_port + 1)); (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do :; done
  port=$next_port
}

say "starting the platform, the engines and the nodes of $deployment"
echo "00112233445566778899aabbccddeeff" >"$run/keys"
start platform "$bin/chutelock-lab" platform -config "$deployment/platform.yaml" -listen 127.0.0.1:0 \
  -ready-file "$run/platform.ready" -folder "$run/platform.state" -truth-log "$run/platform.truth"
wait_for "$run/platform.ready"
platform=$(field "$run/platform.ready" address)

engine=0
read -ra counts <<<"$engines_per_zone"
for zone in $zones; do
  for _ in $(seq "${counts[0]}"); do
    engine=$((engine + 1))
    start "engine-$engine" "$bin/chutelock-lab" engine -config "$deployment/engines/$zone.yaml" -name "engine-$engine" \
      -platform "$platform" -ready-file "$run/engine-$engine.ready" -truth-log "$run/engine-$engine.truth"
  done
  counts=("${counts[@]:1}")
done

# Each node runs with the example's configuration file and free ports; the first two
# nodes are the seeds.
nodes=$(ls "$deployment/nodes" | wc -l)
for node in $(seq "$nodes"); do
  free_port; callers[$node]=127.0.0.1:$port
  free_port; operators[$node]=127.0.0.1:$port
  free_port; peers[$node]=127.0.0.1:$port
done
for node in $(seq "$nodes"); do
  sed "s|seeds: .*|seeds: [\"${peers[1]}\", \"${peers[2]}\"]|" "$deployment/nodes/node-$node.yaml" >"$run/node-$node.yaml"
  start "node-$node" "$bin/chutelock" -config "$run/node-$node.yaml" -ready-file "$run/node-$node.ready" \
    -listen.callers "${callers[$node]}" -listen.operators "${operators[$node]}" -listen.peers "${peers[$node]}" \
    -peers.key_file "$run/keys" -platform.address "$platform" -data.folder "$run/node-$node.data"
done

say "writing the settings tree through a node's operator port"
for _ in $(seq 200); do
  "$bin/chutelockctl" apply -server "http://${operators[1]}" -f "$settings" >"$run/apply.log" 2>&1 && break
  sleep 0.1
done
echo "$(wc -l <"$run/apply.log") lines of changes, in $run/apply.log"
for n in $(seq "$nodes"); do wait_for "$run/node-$n.ready"; done
# The last node is killed and the one before it is drained. Online traffic goes to
# every node except the last.
victim=$nodes
draining=$((nodes - 1))
targets=$(printf 'http://%s,' "${callers[@]:1:$((nodes - 1))}")
targets=${targets%,}

load() {
  "$bin/chutelock-lab" load -target "$targets" -key $online_key -model $model \
    -rate "$rate" -duration "$1" -max-tokens 24 -seed "$2" -failover -strict -json "$run/$3.json" >"$run/$3.log" 2>&1
}

"$bin/chutelockctl" fleet -server "http://${operators[1]}" nodes shards

say "online traffic alone, $rate requests a second for 6 s"
load 6s 1 alone

say "a batch job of $items items beside the same online traffic; node-$victim and engine-$engine are killed on the way"
for i in $(seq "$items"); do
  printf '{"custom_id":"child-%d","method":"POST","url":"/v1/completions","body":{"model":"%s","prompt":"assign child %d to a seat","max_tokens":16}}\n' "$i" $model "$i"
done >"$run/items.jsonl"
load 14s 1 with-batch &
load_process=$!
"$bin/chutelockctl" submit -server "http://${callers[$victim]}" -key $batch_key -idempotency-key demo -o json "$run/items.jsonl" >"$run/job.json"
job=$(field "$run/job.json" id)
echo "accepted by node-$victim as $job"
sleep 1
kill -KILL "${process_of[node-$victim]}"
echo "killed node-$victim, which accepted the job"
"$bin/chutelockctl" submit -server "http://${callers[1]}" -key $batch_key -idempotency-key demo -o json "$run/items.jsonl" >"$run/again.json"
again=$(field "$run/again.json" id)
echo "resent to node-1: $again"
sleep 1
kill -KILL "${process_of[engine-$engine]}"
echo "killed engine-$engine"

online_ok=0
wait $load_process || online_ok=$?
say "waiting for the job and reading its results at node-2"
results_ok=0
"$bin/chutelockctl" submit -server "http://${callers[2]}" -key $batch_key -idempotency-key demo -wait -wait-timeout 60s "$run/items.jsonl" >"$run/wait.log" 2>&1 || results_ok=$?
"$bin/chutelockctl" results -server "http://${callers[2]}" -key $batch_key -f "$run/results.jsonl" "$job" >"$run/results.log" 2>&1 || results_ok=$?
verify_ok=0
"$bin/chutelock-lab" verify -input "$run/items.jsonl" -output "$run/results.jsonl" "$run"/engine-*.truth >"$run/verify.json" || verify_ok=$?

say "a planned stop of node-$draining under online traffic"
load 4s 3 planned-stop &
load_process=$!
sleep 1
kill -TERM "${process_of[node-$draining]}"
while kill -0 "${process_of[node-$draining]}" 2>/dev/null; do sleep 0.1; done
grep -q 'node stopped' "$run/node-$draining.log" && echo "node-$draining drained and ended by itself"
stop_ok=0
wait $load_process || stop_ok=$?

say "summary"
row() { printf '  %-46s %s\n' "$1" "$2"; }
row "batch items accepted" "$(number "$run/verify.json" items)"
row "batch items completed" "$(number "$run/verify.json" results)"
row "lost / duplicated / wrong results" "$(number "$run/verify.json" missing) / $(number "$run/verify.json" duplicated) / $(number "$run/verify.json" wrong)"
row "items that engines ran again after the failures" "$(number "$run/verify.json" repeated)"
row "resent job is the same job" "$([ "$job" = "$again" ] && echo yes || echo NO)"
"$bin/chutelock-lab" compare "$run/alone.json" "$run/with-batch.json" "$run/planned-stop.json" || true

verdict=0
[ "$job" = "$again" ] || verdict=1
for code in $online_ok $results_ok $verify_ok $stop_ok; do [ "$code" = 0 ] || verdict=1; done
if [ $verdict = 0 ]; then say "every promise held"; else say "A PROMISE WAS BROKEN: see $run (online $online_ok, results $results_ok, verify $verify_ok, planned stop $stop_ok)"; fi
exit $verdict
