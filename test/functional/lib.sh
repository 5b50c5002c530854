# Helpers for functional tests that run auburnreachd, the store and backend
# servers as real processes. $1 is the build folder. Sourcing this file starts
# no process.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
BUILD=${1:-build}
OUT=$BUILD/$(basename "$0" .sh)
rm -rf "$OUT"
mkdir -p "$OUT"
declare -A ENTRY_ADDRESS PEER_ADDRESS ENTRY_DOMAIN ENTRY_PID BACKEND_ADDRESS
BACKENDS=
SEEDS=
. demo/fleet.sh
. test/functional/report_lib.sh
trap fleet_stop EXIT
CTL=$BUILD/auburnreachctl
BENCH=$BUILD/auburnreach-bench

# expect_failure DESCRIPTION COMMAND...: the command must fail.
expect_failure() {
	local what=$1
	shift
	"$@" && die "$what"
	echo "ok: $what"
}

# write_document [STEERING]: writes a document with two regions and three
# failure domains; STEERING is JSON for its steering list.
write_document() {
	cat >"$OUT/document.json" <<-EOF
	{"version": 1, "lookup_ttl_ms": 1000,
	 "regions": [
	  {"name": "fyn", "failure_domains": ["fyn-a", "fyn-b"]},
	  {"name": "jylland", "failure_domains": ["jyl-a"]}],
	 "links": [{"from": "fyn", "to": "jylland"}],
	 "services": [
	  {"name": "cleft", "path_prefix": "/cleft", "deadline_ms": 2000}],
	 "backends": [$BACKENDS],
	 "steering": [${1:-}]}
	EOF
}

# start_small_fleet [STEERING]: starts a store, three backend servers and four
# entry VMs, and waits until version 1 of the document is in force.
start_small_fleet() {
	local name
	fleet_ports 30
	fleet_keys
	fleet_store
	fleet_backend c1 cleft fyn-a 3 20
	fleet_backend c2 cleft fyn-b 3 20
	fleet_backend c3 cleft jyl-a 3 20
	fleet_entry e1 fyn-a
	fleet_entry e2 fyn-a
	fleet_entry e3 fyn-b
	fleet_entry e4 jyl-a
	for name in e1 e2 e3 e4; do
		fleet_start_entry $name
	done
	write_document "${1:-}"
	fleet_wait 20 publish_document "$OUT/document.json" ||
		die "the document was not published"
	fleet_wait 20 fleet_in_force 1 4 "${ENTRY_ADDRESS[e1]}" ||
		die "version 1 is not in force on 4 of 4"
}

# publish_document FILE
publish_document() {
	$CTL --store "$STORE" --author test publish "$1" >>"$OUT/publish.txt" 2>&1
}

# set_store_fault MODE: injects a fault into the store; none ends it.
set_store_fault() {
	curl -s -o /dev/null -d "{\"mode\": \"$1\"}" \
		"http://$STORE/standin/fault"
}

# read_version ENTRY: prints the version that the entry VM has.
read_version() {
	curl -s "http://${ENTRY_ADDRESS[$1]}/v1/status" |
		sed 's/.*"program":"[^"]*","version":\([0-9]*\).*/\1/'
}

# has_version ENTRY VERSION
has_version() {
	[ "$(read_version "$1")" = "$2" ]
}

# sees_state ENTRY OTHER STATE: ENTRY has OTHER listed in this state.
sees_state() {
	$CTL --entry "${ENTRY_ADDRESS[$1]}" status |
		grep -q "^entry: name=$2 .* state=$3 "
}

# entry_addresses: prints the addresses of all entry VMs, separated by commas.
entry_addresses() {
	local IFS=,
	echo "${ENTRY_ADDRESS[*]}"
}
