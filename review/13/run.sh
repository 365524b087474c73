#!/usr/bin/env bash
# The bound graceS changes from 6 to 6.5 in the settings files. Entry VMs that
# are stopped and started again end by themselves, each time.
set -uo pipefail
HERE=$(cd "$(dirname "$0")" && pwd)
source "$HERE/../stand_ins_3/deployment.sh"

GRACE_S=6.5   # `graceS`, in force from the change on
RESTARTS=3    # after which a process that ends by itself counts as a fault
VMS="edge-rif-1 edge-rif-2"
JOB='{"spec": "1000 60", "bestEffort": true, "steps": [{"count": 2,
  "cpu": 1000, "memMb": 64, "estimateMs": 60}]}'

[ "$TROUBLE" != 0 ] || GRACE_S=6
start_platform '{"workers": 4, "data_centers": ["rif"], "millicores": 4000,
  "log": "'"$WORK"'/starts"}'
put_configuration '"timeoutMs": 1500, "targetLatencyMs": 60, "stretch": 1.6'
for vm in $VMS; do start_entry $vm rif; done
await_ready
sleep 2
for vm in $VMS; do submit $vm "$(printf '%016x' $RANDOM)" "$JOB" 1500; done
grep -q 'answer POST .* status 200' "$RECORD" || give_up "no job is served"

# The platform renders the template again.
for vm in $VMS; do
  sed -i "s/\"grace_s\": 6,/\"grace_s\": $GRACE_S,/" "$WORK/$vm.json"
  grep -q "\"grace_s\": $GRACE_S," "$WORK/$vm.json" || give_up "no grace_s"
  note "$vm: the settings have graceS $GRACE_S"
done
sleep 1

# Both are stopped and started again in turn.
ENDED=0 # VMs whose process ended by itself each time
for vm in $VMS; do
  note "$vm: SIGTERM"
  kill -TERM "${ENTRY_PROCESS[$vm]}"
  wait "${ENTRY_PROCESS[$vm]}"
  note "$vm: ended with $?"
  for ((try = 1; try <= RESTARTS; ++try)); do
    sleep 0.3
    "$BINARY" lease-entry "$WORK/$vm.json" >"$WORK/$vm.log" 2>"$WORK/$vm.err" &
    ENTRY_PROCESS[$vm]=$!
    PROCESSES+=($!)
    note "$vm: started again"
    sleep 1.5
    if kill -0 "${ENTRY_PROCESS[$vm]}" 2>/dev/null; then
      note "$vm: runs"
      break
    fi
    wait "${ENTRY_PROCESS[$vm]}"
    note "$vm: ended by itself with $?: $(tr '\n' ' ' <"$WORK/$vm.err" |
      sed "s|$WORK/||g")"
  done
  if [ $try -gt $RESTARTS ]; then
    note "Fault: $vm doesn't start, $RESTARTS times of $RESTARTS"
    ENDED=$((ENDED + 1))
  else
    LINE=$(head -n 1 "$WORK/$vm.log")
    ENTRY_CALLERS[$vm]=$(grep -oE 'callers [0-9.:]+' <<<"$LINE" | cut -d' ' -f2)
  fi
done
sleep 2
for vm in $VMS; do submit $vm "$(printf '%016x' $RANDOM)" "$JOB" 1500; done
note "VMs that don't start: $ENDED of 2"
[ $ENDED -lt 2 ] || exit 1
exit 0
