#!/usr/bin/env bash
# Model-checks the Promela models exhaustively with spin, and checks that each
# variant with one safety rule removed yields a counterexample. Prints one line per
# case and fails if any verdict differs from the expected one.
set -euo pipefail

spec=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
parallel=${MODEL_PARALLEL:-4}
memory_megabytes=2000
depth=100000

# Each case: model, name, expected verdict ("holds" or "breaks"), macros to define.
cases=(
  "ledger three-terms-disk-loss holds MAX_TERM=3 MAX_INDEX=2"
  "ledger four-terms holds MAX_TERM=4 MAX_INDEX=2 TWO_CONTENDERS MAX_DISK_LOSSES=0"
  "ledger reads holds MAX_TERM=3 MAX_INDEX=2 TWO_CONTENDERS READS"
  "replacement four-voters holds"
  "replacement three-voters-disk-loss holds FIRST_VOTERS=7 ANY_CHANGE MAX_DISK_LOSSES=1"
  "jobs repeatable holds"
  "jobs non-repeatable holds NON_REPEATABLE"
  "permits two-granters holds"
  "texts two-runs holds RUNS=2 EVENTS=3"
  "texts three-runs holds RUNS=3 EVENTS=4 NO_ENDS"
  "texts three-runs-ends holds RUNS=3 EVENTS=2 NO_RETRIES"
  "texts retry-any-end holds RETRY_ANY_END"
  "texts releases holds RUNS=2 EVENTS=2 RELEASES"
  "texts releases-three-runs holds RUNS=3 EVENTS=2 NO_ENDS RELEASES"
  "origins two-releases holds"
  "parts two-nodes holds"
  "parts three-nodes holds NODES=3"
  "ledger empty-disk-votes breaks MAX_TERM=2 MAX_INDEX=2 EMPTY_DISK_VOTES"
  "ledger commit-old-term breaks MAX_TERM=4 MAX_INDEX=2 TWO_CONTENDERS MAX_DISK_LOSSES=0 COMMIT_OLD_TERM"
  "ledger vote-any-log breaks MAX_TERM=3 MAX_INDEX=2 VOTE_ANY_LOG"
  "ledger vote-twice breaks MAX_TERM=2 MAX_INDEX=2 VOTE_TWICE"
  "ledger unsynced-vote breaks MAX_TERM=2 MAX_INDEX=2 UNSYNCED_VOTE"
  "ledger append-without-match breaks MAX_TERM=3 MAX_INDEX=3 TWO_CONTENDERS MAX_DISK_LOSSES=0 APPEND_WITHOUT_MATCH"
  "ledger accept-old-term breaks MAX_TERM=2 MAX_INDEX=2 ACCEPT_OLD_TERM"
  "ledger read-without-quorum breaks MAX_TERM=2 MAX_INDEX=2 READS READ_WITHOUT_QUORUM"
  "ledger read-before-commit breaks MAX_TERM=2 MAX_INDEX=2 READS READ_BEFORE_COMMIT"
  "replacement two-pending breaks FIRST_VOTERS=7 ANY_CHANGE TWO_PENDING"
  "replacement before-own-commit breaks BEFORE_OWN_COMMIT"
  "replacement small-quorum breaks SMALL_QUORUM"
  "jobs no-key breaks NO_KEY"
  "jobs last-result-wins breaks LAST_RESULT_WINS"
  "jobs result-after-cancel breaks RESULT_AFTER_CANCEL"
  "jobs lease-after-cancel breaks LEASE_AFTER_CANCEL"
  "jobs start-not-recorded breaks NON_REPEATABLE START_NOT_RECORDED"
  "jobs start-again breaks NON_REPEATABLE START_AGAIN"
  "jobs hand-back-any breaks NON_REPEATABLE HAND_BACK_ANY"
  "jobs lapse-reopens breaks NON_REPEATABLE LAPSE_REOPENS"
  "jobs cancel-not-run breaks NON_REPEATABLE CANCEL_NOT_RUN"
  "permits short-window breaks SHORT_WINDOW"
  "permits no-quiet breaks NO_QUIET"
  "permits life-from-answer breaks LIFE_FROM_ANSWER"
  "permits check-early breaks CHECK_EARLY"
  "permits answer-twice breaks ANSWER_TWICE"
  "permits whole-bound breaks WHOLE_BOUND"
  "permits three-grant breaks THREE_GRANT"
  "texts silent-rejection breaks SILENT_REJECTION"
  "texts go-on-unknown breaks GO_ON_UNKNOWN"
  "texts unconditional breaks UNCONDITIONAL"
  "texts end-anywhere breaks END_ANYWHERE"
  "texts change-final breaks CHANGE_FINAL"
  "texts never-start-over breaks RUNS=3 EVENTS=2 NO_ENDS RELEASES NEVER_START_OVER"
  "texts no-restart-count breaks RUNS=3 EVENTS=2 NO_ENDS RELEASES NO_RESTART_COUNT"
  "origins any-release breaks ANY_RELEASE"
  "origins guess breaks GUESS"
  "origins record-at-choice breaks RECORD_AT_CHOICE"
  "origins stale-list breaks STALE_LIST"
  "origins short-window breaks SHORT_WINDOW"
  "parts unconditional breaks UNCONDITIONAL"
  "parts local-trials breaks LOCAL_TRIALS"
  "parts unread-start breaks UNREAD_START"
  "parts not-stored breaks NOT_STORED"
  "parts expires breaks EXPIRES"
)

# check MODEL NAME EXPECTED MACRO... runs one case and prints its result.
check() {
  local model=$1 name=$2 expected=$3
  shift 3
  local folder="$work/$model-$name" verdict=failed
  mkdir "$folder"
  cd "$folder"
  spin -a "${@/#/-D}" "$spec/$model.pml" >spin.log 2>&1 || true
  gcc -w -O2 -DSAFETY -DCOLLAPSE -DNOREDUCE "-DMEMLIM=$memory_megabytes" -o pan pan.c >gcc.log 2>&1 || true
  ./pan "-m$depth" >pan.log 2>&1 || true
  if grep -Eq 'Search not completed|depth too small|out of memory|memory limit' pan.log && [ "$expected" = holds ]; then
    verdict=incomplete
  elif grep -q 'errors: 0$' pan.log; then
    verdict=holds
  elif grep -q 'assertion violated' pan.log; then
    verdict=breaks
  fi
  local result=ok
  [ "$verdict" = "$expected" ] || result=FAILED
  local states
  states=$(awk '/states, stored/ {print $1}' pan.log 2>/dev/null || true)
  printf '%-12s %-24s %12s states  %-10s %s\n' "$model" "$name" "${states:-0}" "$verdict" "$result"
  if [ "$result" = FAILED ]; then
    tail -n 20 spin.log gcc.log pan.log 2>/dev/null | sed 's/^/    /' >&2 || true
  fi
}
export -f check
export spec work memory_megabytes depth

printf '%s\n' "${cases[@]}" | xargs -P "$parallel" -I{} bash -c 'check {}' | tee "$work/report"
failed=$(grep -c 'FAILED$' "$work/report" || true)
passed=$(grep -c 'ok$' "$work/report" || true)
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -eq "${#cases[@]}" ]
