# Sends orders under faults, then compares the verdicts that callers got with
# the journals of the backend servers: no order may run twice or against its
# verdict.
. "$(dirname "$0")/lib.sh"
start_small_fleet

# start_load NAME SECONDS [OPTIONS...]: starts the load in the background; its
# process id is in $LOAD.
start_load() {
	local name=$1 seconds=$2
	shift 2
	"$BENCH" load --entries "$(entry_addresses)" --service cleft --path /cleft \
		--from fyn,jylland --rate 60 --seconds "$seconds" \
		--orders 700 --threads 40 --timeout 2500 \
		--history "$OUT/$name.history" "$@" >"$OUT/$name.txt" 2>&1 &
	LOAD=$!
	PIDS+=("$LOAD")
}

# check_history NAME: waits for the load, then checks its history against the
# journals and empties them.
check_history() {
	wait $LOAD
	"$BENCH" check --history "$OUT/$1.history" "$OUT"/*.journal \
		>"$OUT/$1.check" || { cat "$OUT/$1.check"; die "$1: a verdict does not match the journals"; }
	for journal in "$OUT"/*.journal; do
		: >"$journal"
	done
	echo "ok: $1: $(sed -n 2p "$OUT/$1.check")"
}

start_load store-loses-answers 4
sleep 1; set_store_fault lose-answers
sleep 2; set_store_fault none
check_history store-loses-answers

start_load store-down 5
sleep 1; set_store_fault down
sleep 2; set_store_fault none
check_history store-down

start_load entry-killed 6
sleep 1; kill -9 "${ENTRY_PID[e1]}"
sleep 2; fleet_start_entry e1
check_history entry-killed

start_load entry-paused 6
sleep 1; kill -STOP "${ENTRY_PID[e3]}"
sleep 3; kill -CONT "${ENTRY_PID[e3]}"
check_history entry-paused

start_load answers-lost 4 --fault lost --fault-orders 150
check_history answers-lost
start_load answers-truncated 4 --fault truncate --fault-orders 100
check_history answers-truncated
start_load answers-crossed 4 --fault crossed --fault-orders 100
check_history answers-crossed
start_load answers-garbled 4 --fault garbage --fault-orders 100
check_history answers-garbled

# two faults at once: an entry VM is killed while the store is down
start_load store-down-entry-killed 6
sleep 1; set_store_fault down
sleep 1; kill -9 "${ENTRY_PID[e2]}"
sleep 1; set_store_fault none
fleet_start_entry e2
check_history store-down-entry-killed

# a graceful shutdown under load
start_load planned-stop 8
sleep 1; kill -TERM "${ENTRY_PID[e4]}"
wait "${ENTRY_PID[e4]}" || die "the graceful shutdown failed"
check_history planned-stop
expect "the graceful shutdown left no request unfinished" \
	grep -q 'leave: done .*left_over=0' "$OUT/e4.log"
