# Random faults on real processes: four short plans drawn from fixed seeds, and
# the plans that once broke a promise.
BUILD=${1:-build}
cd "$(dirname "$0")/../.." || exit 2
. test/functional/report_lib.sh
mkdir -p "$BUILD/soak"
pids=
names=
# play NAME ARGUMENTS: in the background.
play() {
	local name=$1
	shift
	"$BUILD/auburnreach-soak" "$@" --build "$BUILD" \
		--out "$BUILD/soak/$name" >"$BUILD/soak/$name.result" \
		2>"$BUILD/soak/$name.steps" &
	pids="$pids $!"
	names="$names $name"
}
for seed in 1 2 3 4; do
	play "seed-$seed" --seed $seed --length 8000
done
for plan in soak/plans/*.plan; do
	[ -e "$plan" ] && play "$(basename "$plan" .plan)" --plan "$plan"
done
set -- $names
for pid in $pids; do
	wait "$pid"
	code=$?
	cat "$BUILD/soak/$1.result"
	expect "every promise held: $1" test $code -eq 0
	shift
done
