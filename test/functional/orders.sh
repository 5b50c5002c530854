# Orders of many callers while things fail; afterwards what callers were told
# is compared with what backend servers ran.
. "$(dirname "$0")/lib.sh"
small_fleet

# load NAME SECONDS [OPTIONS...]: in the background, as $LOAD
load() {
	local name=$1 seconds=$2
	shift 2
	"$BENCH" load --entries "$(entries)" --service cleft --path /cleft \
		--from fyn,jylland --rate 60 --seconds "$seconds" \
		--orders 700 --threads 40 --timeout 2500 \
		--history "$OUT/$name.history" "$@" >"$OUT/$name.txt" 2>&1 &
	LOAD=$!
	PIDS+=("$LOAD")
}

judge() {
	wait $LOAD
	"$BENCH" check --history "$OUT/$1.history" "$OUT"/*.journal \
		>"$OUT/$1.check" || { cat "$OUT/$1.check"; die "$1: a promise broke"; }
	for journal in "$OUT"/*.journal; do
		: >"$journal"
	done
	echo "ok: $1: $(sed -n 2p "$OUT/$1.check")"
}

load store-loses-answers 4
sleep 1; store_fault lose-answers
sleep 2; store_fault none
judge store-loses-answers

load store-down 5
sleep 1; store_fault down
sleep 2; store_fault none
judge store-down

load entry-killed 6
sleep 1; kill -9 "${ENTRY_PID[e1]}"
sleep 2; fleet_start_entry e1
judge entry-killed

load entry-paused 6
sleep 1; kill -STOP "${ENTRY_PID[e3]}"
sleep 3; kill -CONT "${ENTRY_PID[e3]}"
judge entry-paused

load answers-lost 4 --fault lost --fault-orders 150
judge answers-lost
load answers-truncated 4 --fault truncate --fault-orders 100
judge answers-truncated
load answers-crossed 4 --fault crossed --fault-orders 100
judge answers-crossed
load answers-garbled 4 --fault garbage --fault-orders 100
judge answers-garbled

# two at once: the store is away while an entry VM is killed
load store-down-entry-killed 6
sleep 1; store_fault down
sleep 1; kill -9 "${ENTRY_PID[e2]}"
sleep 1; store_fault none
fleet_start_entry e2
judge store-down-entry-killed

# a planned stop under load
load planned-stop 8
sleep 1; kill -TERM "${ENTRY_PID[e4]}"
wait "${ENTRY_PID[e4]}" || die "the planned stop failed"
judge planned-stop
expect "the planned stop left nothing over" \
	grep -q 'leave: done .*left_over=0' "$OUT/e4.log"
