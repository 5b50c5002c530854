# What the tests on the stand-in platform share: one platform process and
# entry VMs as real processes. Sourced after BUILD may be set.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
BUILD=${1:-build}
OUT=$BUILD/$(basename "$0" .sh)
rm -rf "$OUT"
mkdir -p "$OUT"
. demo/fleet.sh
. test/functional/report_lib.sh
trap fleet_stop EXIT
declare -A FRONT READY DIRECTORY METRICS RELAY VM_PID

# steer PATH JSON: asks something of the platform.
steer() {
	curl -sf -o /dev/null -d "$2" "http://$CONTROL$1"
}

platform_start() {
	fleet_ports 80
	fleet_port
	STORE=127.0.0.1:$PORT
	fleet_port
	CONTROL=127.0.0.1:$PORT
	fleet_spawn "$OUT/platform.log" "$BUILD/standin-platform" \
		--store "$STORE" --control "$CONTROL"
	fleet_wait 10 curl -sf -o /dev/null "http://$CONTROL/calls" ||
		die "the platform does not start"
}

# server ID SERVICE DOMAIN SLOTS WORK_MS
server() {
	fleet_port
	steer /server "{\"id\":\"$1\",\"address\":\"127.0.0.1:$PORT\",
		\"service\":\"$2\",\"domain\":\"$3\",\"slots\":$4,
		\"work_ms\":$5}" || die "server $1"
}

# route NAME PREFIX KIND SERVICE [MORE]
route() {
	echo "\"$1\":{\"Host\":\"a.example\",\"Prefix\":\"$2\",\"Kind\":\"$3\",
	\"TimeoutMs\":1500,\"TargetLatencyMs\":400,\"Priority\":1,
	\"Service\":\"$4\",\"MaxAttempts\":2,\"Sticky\":true,
	\"HomeRegions\":[${5:-}]}"
}

# config VERSION ROUTES
config() {
	steer /config "{\"Version\":\"$1\",\"Routes\":{$2},\"Services\":{
	\"reg\":{\"HealthPath\":\"/health\",\"MaxConns\":800,
	\"ColdStartS\":3.0,\"ColdPerS\":5.7}},
	\"Limits\":{\"MaxHeaderBytes\":2000,\"MaxBodyBytes\":100000,
	\"HeaderTimeoutMs\":1000,\"IdleTimeoutMs\":5000}}"
}

# vm_settings NAME REGION DOMAIN: writes the file; ports stay with the name.
vm_settings() {
	if [ -z "${FRONT[$1]:-}" ]; then
		fleet_port; FRONT[$1]=127.0.0.1:$PORT
		fleet_port; READY[$1]=127.0.0.1:$PORT
		fleet_port; DIRECTORY[$1]=127.0.0.1:$PORT
		fleet_port; METRICS[$1]=127.0.0.1:$PORT
		fleet_port; RELAY[$1]=127.0.0.1:$PORT
	fi
	cat >"$OUT/$1.json" <<-END
	{"name": "$1", "region": "$2", "failure_domain": "$3",
	 "failure_domains": [
	  {"name": "fyn-a", "region": "fyn"}, {"name": "fyn-b", "region": "fyn"},
	  {"name": "jyl-a", "region": "jyl"}],
	 "request_address": "${FRONT[$1]}", "ready_address": "${READY[$1]}",
	 "directory_address": "${DIRECTORY[$1]}",
	 "metrics_address": "${METRICS[$1]}", "store_address": "$STORE",
	 "relay_address": "${RELAY[$1]}",
	 "bounds": "DrainMs=2500,GraceS=6,BudgetRatio=0.2,BudgetExtra=100,BudgetWindowS=10,MaxShift=0.15",
	 "log_level": "${4:-info}"}
	END
}

# vm NAME REGION DOMAIN: starts an entry VM.
vm() {
	vm_settings "$@"
	AUBURNREACH_CONFIG=$OUT/$1.json fleet_spawn "$OUT/$1.log" \
		"$BUILD/auburnreach-entry"
	VM_PID[$1]=$SPAWNED
}

is_ready() {
	[ "$(curl -s -o /dev/null -w '%{http_code}' "http://${READY[$1]}/ready")" = 200 ]
}

# ask VM PATH [CURL ARGUMENTS]: leaves the status in $STATUS, the id in
# $REQUEST_ID, body and headers in files.
REQUESTS=0
ask() {
	local vm=$1 path=$2
	shift 2
	REQUESTS=$((REQUESTS + 1))
	REQUEST_ID=$(printf 'req-%05d' $REQUESTS)
	STATUS=$(curl -s -o "$OUT/body" -D "$OUT/head" -w '%{http_code}' \
		-H "Host: ${HOST_NAME:-a.example}" \
		-H "Request-Id: $REQUEST_ID" \
		-H 'Deadline-Ms: 3000' -H 'Cookie: Affinity-Key=7' \
		"$@" "http://${FRONT[$vm]}$path")
}

# status_is STATUS VM PATH [CURL ARGUMENTS]
status_is() {
	local want=$1
	shift
	ask "$@"
	[ "$STATUS" = "$want" ] || {
		echo "status $STATUS, not $want: $*"
		return 1
	}
}

# runs_of ID: how often a request ran, over all servers.
runs_of() {
	curl -s "http://$CONTROL/runs" | grep -o "\"$1\":\[[^]]*\]" |
		grep -o '"[a-z][0-9]*"' | wc -l
}

logged() {
	grep -q "$2" "$OUT/$1.log"
}

# times_logged COUNT VM TEXT
times_logged() {
	[ "$(grep -c "$3" "$OUT/$2.log")" = "$1" ]
}
