# Functions for the scripts of the third review: starts a small deployment on
# loopback, and ends all of its processes. A script sets HERE, its own folder,
# before it reads this file.
ROOT=$(cd "$HERE/../.." && pwd)
BINARY=$ROOT/target/mustardbank
STAND_INS=$ROOT/target/review-3
CALL=$STAND_INS/call_3
TROUBLE=${TROUBLE:-1}
RECORD=$HERE/record.txt
WORK=$(mktemp -d)
PROCESSES=()
: >"$RECORD"

stop_all() {
  local id
  for id in "${PROCESSES[@]}"; do
    kill -CONT "$id" 2>/dev/null || true
    kill -KILL "$id" 2>/dev/null || true
  done
  for id in "${PROCESSES[@]}"; do wait "$id" 2>/dev/null || true; done
  rm -rf "$WORK"
}
trap stop_all EXIT

[ -x "$BINARY" ] && [ -x "$CALL" ] || {
  echo "not built: target/mustardbank, or review/build-3.sh" >"$RECORD"
  exit 2
}

now_ms() { date +%s%3N; }
START_MS=$(now_ms)

# Writes a line to the record, with the milliseconds since the script began.
note() { echo "$(($(now_ms) - START_MS)) $*" >>"$RECORD"; }

# The case can't run.
give_up() {
  note "could not run: $*"
  exit 2
}

# start FILE COMMAND...: starts a process, waits for the first line of its
# output and stores it in LINE, and its id in STARTED.
start() {
  local output=$1
  shift
  "$@" >"$output" 2>"$output.err" &
  STARTED=$!
  PROCESSES+=("$STARTED")
  for _ in $(seq 200); do
    if [ -s "$output" ]; then
      LINE=$(head -n 1 "$output")
      return
    fi
    sleep 0.05
  done
  give_up "no output from $*"
}

# start_entry NAME DATA_CENTRE: starts an entry VM with the settings of a small
# deployment, and stores its addresses in ENTRY_CALLERS and ENTRY_READY.
# One that has a door reaches the store and the named peers and workers through
# it.
declare -A ENTRY_CALLERS ENTRY_READY ENTRY_METRICS ENTRY_PROCESS DOOR
start_entry() {
  cat >"$WORK/$1.json" <<JSON
{"name": "$1", "data_center": "$2", "callers": "127.0.0.1:0",
 "readiness": "127.0.0.1:0", "ip": "127.0.0.1", "peer_port": 0,
 "metrics_port": 0, "store": "${DOOR[$1]:-$STORE}",
 "processors": {"share": 0.25, "speed": 1}, "memory_mb": 260,
 "longest_lease_ms": 1000, "stop_ms": 50, "grace_s": 6, "drain_ms": 2000,
 "worker_heartbeat_ms": 1500, "capacity_notice_ms": 3000,
 "configuration_ms": 2000}
JSON
  start "$WORK/$1.log" "$BINARY" lease-entry "$WORK/$1.json"
  ENTRY_PROCESS[$1]=$STARTED
  ENTRY_CALLERS[$1]=$(grep -oE 'callers [0-9.:]+' <<<"$LINE" | cut -d' ' -f2)
  ENTRY_READY[$1]=$(grep -oE 'readiness [0-9.:]+' <<<"$LINE" | cut -d' ' -f2)
  ENTRY_METRICS[$1]=$(grep -oE 'metrics [0-9.:]+' <<<"$LINE" | cut -d' ' -f2)
  [ -n "${ENTRY_CALLERS[$1]}" ] || give_up "no address in the log of $1"
}

# Waits until all entry VMs say that they are ready.
await_ready() {
  local name
  for name in "${!ENTRY_READY[@]}"; do
    for _ in $(seq 200); do
      "$CALL" 1000 GET "${ENTRY_READY[$name]}" /mustardbank/readiness \
        >/dev/null && continue 2
      sleep 0.1
    done
    give_up "$name is not ready"
  done
}

# submit ENTRY ID BODY BUDGET_MS [LEAVE_MS]: sends a job and writes its answer to
# the record. The caller closes its connection after LEAVE_MS.
submit() {
  local answer
  note "send POST $2 to $1"
  answer=$("$CALL" "${5:-$(($4 + 500))}" POST "${ENTRY_CALLERS[$1]}" "/jobs/$2" \
    "$3" Host=nony24.example "X-Mustardbank-Deadline-Ms=$4" \
    Content-Type=application/json)
  note "answer POST $2 from $1: $answer"
}

# start_platform PLAN: starts the project's stand-in for the platform, with its
# store, and stores the store's address in STORE.
start_platform() {
  echo "$1" >"$WORK/plan.json"
  start "$WORK/platform" "$STAND_INS/users_platform_stand_in" \
    "$WORK/plan.json"
  STORE=$LINE
}

# put_configuration ROUTE: writes the operator's configuration with the members
# that ROUTE adds to its one route, /jobs/.
put_configuration() {
  "$CALL" 2000 POST "$STORE" /admin '{"configuration": {"version": 3,
    "routes": [{"name": "cards", "host": "nony24.example",
    "pathPrefix": "/jobs/", "type": "non_idempotent", "priority": 0,
    "service": "guide", "attempts": 2, '"$1"'}]}}' >/dev/null ||
    give_up "no configuration"
}

# start_worker ID DATA_CENTER LABELS CPU [ADDRESS]: starts a worker of the
# review's own, or starts it again.
declare -A WORKER_ADDRESS WORKER_PROCESS
start_worker() {
  cat >"$WORK/$1.json" <<JSON
{"id": "$1", "data_center": "$2", "service": "guide", "labels": $3, "cpu": $4,
 "address": "${WORKER_ADDRESS[$1]:-127.0.0.1:0}", "store": "$STORE",
 "log": "$WORK/runs"}
JSON
  rm -f "$WORK/$1.out"
  start "$WORK/$1.out" "$STAND_INS/worker_3" "$WORK/$1.json"
  WORKER_ADDRESS[$1]=$LINE
  WORKER_PROCESS[$1]=$STARTED
  note "worker $1 starts at $LINE with labels $3"
}

# Kills a worker: it crashes.
crash_worker() {
  note "worker $1 crashes"
  kill -KILL "${WORKER_PROCESS[$1]}"
  wait "${WORKER_PROCESS[$1]}" 2>/dev/null || true
}

# start_door ENTRY PEERS WORKERS CUTS_STORE: starts the links of an entry VM to
# these peers and workers of another data centre, before the entry VM.
start_door() {
  cat >"$WORK/$1.door.json" <<JSON
{"store": "$STORE", "peers": $2, "workers": $3, "round_trip_us": 1800,
 "cuts_store": $4}
JSON
  start "$WORK/$1.door" "$STAND_INS/door_3" "$WORK/$1.door.json"
  DOOR[$1]=$LINE
}

# set_links MODE: of all doors.
set_links() {
  local name
  for name in "${!DOOR[@]}"; do
    note "links of $name: $1:" \
      "$("$CALL" 2000 POST "${DOOR[$name]}" "/link/$1")"
  done
}
