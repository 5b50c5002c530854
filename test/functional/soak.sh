# Injects random faults into real processes: four short plans generated from
# fixed seeds, and the plans in soak/plans, which broke a guarantee before.
BUILD=${1:-build}
cd "$(dirname "$0")/../.." || exit 2
. test/functional/report_lib.sh
mkdir -p "$BUILD/soak"
pids=
names=
# start_plan NAME ARGUMENTS: runs a plan in the background.
start_plan() {
	local name=$1
	shift
	"$BUILD/auburnreach-soak" "$@" --build "$BUILD" \
		--out "$BUILD/soak/$name" >"$BUILD/soak/$name.result" \
		2>"$BUILD/soak/$name.steps" &
	pids="$pids $!"
	names="$names $name"
}
for seed in 1 2 3 4; do
	start_plan "seed-$seed" --seed $seed --length 8000
done
for plan in soak/plans/*.plan; do
	[ -e "$plan" ] && start_plan "$(basename "$plan" .plan)" --plan "$plan"
done
set -- $names
for pid in $pids; do
	wait "$pid"
	code=$?
	cat "$BUILD/soak/$1.result"
	if [ $code -ne 0 ] && grep -q "^test: soak $1\$" KNOWN-RED.txt; then
		echo "known red: soak $1"
	else
		expect "the plan broke no guarantee: $1" test $code -eq 0
	fi
	shift
done
