#!/usr/bin/env bash
# A waiting job is cancelled at another entry VM than the one that took it. The
# cancelling is acknowledged, and the job runs all the same.
set -uo pipefail
HERE=$(cd "$(dirname "$0")" && pwd)
source "$HERE/../stand_ins_3/deployment.sh"

CANCEL_MS=3000 # bound `cancel_ms` of the deployment

start_platform '{"workers": 4, "data_centers": ["rif", "tanger"],
  "millicores": 4000, "log": "'"$WORK"'/starts"}'
put_configuration '"timeoutMs": 20000, "targetLatencyMs": 200, "stretch": 3.0'
start_entry edge-rif-1 rif
start_entry edge-tanger-1 tanger
await_ready
sleep 2 # both VMs own the workers of their data centre

job() { # TASKS RUN_MS: tasks that each take a whole worker
  echo "{\"spec\": \"4000 $2\", \"bestEffort\": true, \"steps\": [{\"count\": $1,
    \"cpu\": 4000, \"memMb\": 64, \"estimateMs\": $2}]}"
}

BLOCK_1=00000000000000b1
BLOCK_2=00000000000000b2
JOB=5c0e7a21d94b36f8
submit edge-rif-1 $BLOCK_1 "$(job 2 6000)" 20000 &
CLIENTS=($!)
submit edge-tanger-1 $BLOCK_2 "$(job 2 6000)" 20000 &
CLIENTS+=($!)
sleep 0.7
[ "$(grep -c ^start "$WORK/starts")" = 4 ] || give_up "the workers are not busy"
submit edge-rif-1 $JOB "$(job 1 3000)" 20000 &
CLIENTS+=($!)
sleep 0.5
grep -q " $JOB\." "$WORK/starts" && give_up "the job did not have to wait"

CANCELLED_AT=
if [ "$TROUBLE" != 0 ]; then
  note "send DELETE $JOB to edge-tanger-1"
  ANSWER=$("$CALL" 3000 DELETE "${ENTRY_CALLERS[edge-tanger-1]}" "/jobs/$JOB" \
    "" Host=nony24.example)
  CANCELLED_AT=$(now_ms)
  note "answer DELETE $JOB from edge-tanger-1: $ANSWER"
fi
wait "${CLIENTS[@]}"

# The log of the workers has the time of a monotonic clock: its offset to the
# time of day is taken from an answer of the store.
STORE_NOW=$("$CALL" 2000 GET "$STORE" "/mustardbank/rows-get?table=op&part=" |
  grep -oE '"nowMs":[0-9]+' | cut -d: -f2)
OFFSET=$(($(now_ms) - STORE_NOW))
BROKEN=0
while read -r kind at worker task run; do
  [ "$kind" = start ] || continue
  echo "$((at + OFFSET - START_MS)) worker $worker starts $task run $run" \
    >>"$RECORD"
  case $task in
  "$JOB".*)
    if [ -n "$CANCELLED_AT" ] &&
      [ $((at + OFFSET - CANCELLED_AT)) -gt $CANCEL_MS ]; then
      note "UNASKED: $task started $((at + OFFSET - CANCELLED_AT)) ms after" \
        "its job's cancelling was acknowledged (bound $CANCEL_MS ms)"
      BROKEN=1
    fi
    ;;
  esac
done <"$WORK/starts"
if [ "$TROUBLE" != 0 ]; then
  case $ANSWER in
  *"status 2"* | *"status 410"*) ;;
  *) give_up "the cancelling was not acknowledged" ;;
  esac
fi
note "broken: $BROKEN"
exit $BROKEN
