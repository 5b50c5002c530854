# What the functional tests share. Sourced after BUILD is set; starts nothing.
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

# refuse WHAT COMMAND...: the command must fail.
refuse() {
	local what=$1
	shift
	"$@" && die "$what"
	echo "ok: $what"
}

# document TEXT-OF-STEERING: two regions, three failure domains.
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

# small_fleet: a store, three backend servers, four entry VMs, version 1.
small_fleet() {
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
	fleet_wait 20 publish "$OUT/document.json" ||
		die "the document was not published"
	fleet_wait 20 fleet_in_force 1 4 "${ENTRY_ADDRESS[e1]}" ||
		die "version 1 is not in force on 4 of 4"
}

publish() {
	$CTL --store "$STORE" --author test publish "$1" >>"$OUT/publish.txt" 2>&1
}

# store_fault MODE
store_fault() {
	curl -s -o /dev/null -d "{\"mode\": \"$1\"}" \
		"http://$STORE/standin/fault"
}

# version_of ENTRY
version_of() {
	curl -s "http://${ENTRY_ADDRESS[$1]}/v1/status" |
		sed 's/.*"program":"[^"]*","version":\([0-9]*\).*/\1/'
}

has_version() {
	[ "$(version_of "$1")" = "$2" ]
}

# state_seen ENTRY OTHER STATE: what one entry VM thinks of another.
state_seen() {
	$CTL --entry "${ENTRY_ADDRESS[$1]}" status |
		grep -q "^entry: name=$2 .* state=$3 "
}

entries() {
	local IFS=,
	echo "${ENTRY_ADDRESS[*]}"
}
