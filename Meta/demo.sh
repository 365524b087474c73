#!/usr/bin/env bash
# Starts the agency's deployment on loopback with stand-ins, submits jobs and
# stops all processes. Exits 0 only if every answer was complete.
set -euo pipefail
BUILD=$1
WORK=$(mktemp -d)
PROCESSES=()

stop_all() {
  for id in "${PROCESSES[@]}"; do kill "$id" 2>/dev/null || true; done
  for id in "${PROCESSES[@]}"; do wait "$id" 2>/dev/null || true; done
  rm -rf "$WORK"
}
trap stop_all EXIT

# Starts a process and stores the first line of its output in LINE.
start() {
  local output=$1
  shift
  "$@" >"$output" 2>"$output.log" &
  PROCESSES+=($!)
  for _ in $(seq 200); do
    if [ -s "$output" ]; then
      LINE=$(head -n 1 "$output")
      return
    fi
    sleep 0.05
  done
  cat "$output.log" >&2
  return 1
}

start "$WORK/platform" "$BUILD/Tests/platform_stand_in" 127.0.0.1:0
PLATFORM=$LINE
cat >"$WORK/workers.json" <<JSON
{"data_centers": ["rif", "tanger", "chefchaouen", "oued-laou"], "workers": 48,
 "slots": 8, "rack_size": 6, "latency_ms": 1, "platform": "$PLATFORM"}
JSON
start "$WORK/workers" "$BUILD/Tests/worker_stand_in" "$WORK/workers.json"

"$BUILD/mustardbank" check --configuration examples/agency.configuration.json
"$BUILD/mustardbank" apply --platform="$PLATFORM" examples/agency.configuration.json

ENTRIES=()
OPERATORS=()
SEEDS=""
for place in rif tanger chefchaouen; do
  cat >"$WORK/$place.json" <<JSON
{
  // Settings of the entry VM of the demo in $place.
  "name": "entry-$place", "data_center": "$place",
  "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
  "peer_seeds": [$SEEDS], "platform": "$PLATFORM",
  "job_id_key": "$(head -c 16 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$WORK/key.new"; [ -s "$WORK/key" ] || cp "$WORK/key.new" "$WORK/key"; cat "$WORK/key")",
}
JSON
  "$BUILD/mustardbank" check --settings "$WORK/$place.json"
  start "$WORK/entry-$place" "$BUILD/mustardbank" entry "$WORK/$place.json"
  ENTRIES+=("$(jq -r .callers <<<"$LINE")")
  OPERATORS+=("$(jq -r .operators <<<"$LINE")")
  SEEDS="$SEEDS${SEEDS:+, }\"$(jq -r .peers <<<"$LINE")\""
done
for operators in "${OPERATORS[@]}"; do
  for _ in $(seq 100); do
    curl -sf "http://$operators/healthz" >/dev/null && break
    sleep 0.1
  done
done

TOKEN=example-pool-keepers
COMPLETE=0
JOBS=0

# Prints the answer $1 and counts it as complete if it has state complete and $2
# results.
check_answer() {
  echo "$1" | jq -c '{job, state, results: (.results | length)}'
  JOBS=$((JOBS + 1))
  if [ "$(jq -r '.state + " " + (.results | length | tostring)' <<<"$1")" = "complete $2" ]; then
    COMPLETE=$((COMPLETE + 1))
  fi
}

submit() {
  "$BUILD/mustardbank" submit --entry="$1" --token=$TOKEN --wait=20 "${@:3}" "$2"
}

cat >"$WORK/alert.json" <<'JSON'
{"service": "guide", "tasks": [
  {"request": "safety-alert", "payload": {"run_ms": 120}},
  {"request": "spot-card", "payload": {"run_ms": 80}},
  {"request": "route-sheet", "payload": {"run_ms": 300}}]}
JSON
jq -n '{service: "guide", tasks: [range(100) | {request: "spot-card",
  payload: {run_ms: (50 + .)}}]}' >"$WORK/cards.json"
cat >"$WORK/closure.json" <<'JSON'
{"service": "guide", "tasks": [{"request": "closure-notice", "payload": {"run_ms": 100}}]}
JSON

echo "-- a job at each entry VM"
for entry in "${ENTRIES[@]}"; do
  check_answer "$(submit "$entry" "$WORK/alert.json")" 3
done
echo "-- a job of 100 tasks"
check_answer "$(submit "${ENTRIES[0]}" "$WORK/cards.json")" 100
echo "-- a closure notice with an idempotency key, resubmitted at another entry VM"
FIRST=$(submit "${ENTRIES[0]}" "$WORK/closure.json" --key=closure-7)
check_answer "$FIRST" 1
AGAIN=$(submit "${ENTRIES[1]}" "$WORK/closure.json" --key=closure-7)
check_answer "$AGAIN" 1
[ "$FIRST" = "$AGAIN" ] || COMPLETE=-1
echo "-- a job resubmitted with curl at another entry VM"
ID=$(curl -s -X POST -H "Authorization: Bearer $TOKEN" "http://${ENTRIES[0]}/v1/job-ids" | jq -r '.ids[0]')
ONE=$(curl -s -X POST -H "Authorization: Bearer $TOKEN" -d @"$WORK/alert.json" "http://${ENTRIES[0]}/v1/jobs/$ID?wait=20")
check_answer "$ONE" 3
TWO=$(curl -s -X POST -H "Authorization: Bearer $TOKEN" -d @"$WORK/alert.json" "http://${ENTRIES[2]}/v1/jobs/$ID?wait=20")
check_answer "$TWO" 3
[ "$ONE" = "$TWO" ] || COMPLETE=-1

echo "-- summary"
STARTS=0
for operators in "${OPERATORS[@]}"; do
  STARTS=$((STARTS + $("$BUILD/mustardbank" dump --operators="$operators" --token=example-agency-duty | jq .counters.task_starts)))
done
echo "complete answers: $COMPLETE of $JOBS, tasks started: $STARTS"
[ "$COMPLETE" -eq "$JOBS" ]
