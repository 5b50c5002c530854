# Helpers for tests on the stand-in platform, which runs as one process beside
# real entry VM processes. $1 is the build folder. Sourcing this file starts no
# process.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
BUILD=${1:-build}
OUT=$BUILD/$(basename "$0" .sh)
rm -rf "$OUT"
mkdir -p "$OUT"
. demo/fleet.sh
. test/functional/report_lib.sh
trap fleet_stop EXIT
declare -A FRONT READY DIRECTORY METRICS RELAY HANDOFF VM_PID

# steer PATH JSON: sends a control request to the platform.
steer() {
	curl -sf -o /dev/null -d "$2" "http://$CONTROL$1"
}

# platform_start [PORTS]: starts the platform and waits until it responds.
platform_start() {
	fleet_ports "${1:-80}"
	fleet_port
	STORE=127.0.0.1:$PORT
	fleet_port
	CONTROL=127.0.0.1:$PORT
	fleet_spawn "$OUT/platform.log" "$BUILD/standin-platform" \
		--store "$STORE" --control "$CONTROL"
	fleet_wait 10 curl -sf -o /dev/null "http://$CONTROL/calls" ||
		die "the platform does not respond"
}

# server ID SERVICE DOMAIN SLOTS WORK_MS: adds a backend server.
server() {
	fleet_port
	steer /server "{\"id\":\"$1\",\"address\":\"127.0.0.1:$PORT\",
		\"service\":\"$2\",\"domain\":\"$3\",\"slots\":$4,
		\"work_ms\":$5}" || die "the platform does not add server $1"
}

# route NAME PREFIX KIND SERVICE [HOME_REGIONS]: prints a route as JSON.
route() {
	echo "\"$1\":{\"Host\":\"a.example\",\"Prefix\":\"$2\",\"Kind\":\"$3\",
	\"TimeoutMs\":1500,\"TargetLatencyMs\":400,\"Priority\":1,
	\"Service\":\"$4\",\"MaxAttempts\":2,\"Sticky\":true,
	\"HomeRegions\":[${5:-}]}"
}

# config VERSION ROUTES [SERVICES] [BODY_BYTES_MAX]: publishes a configuration;
# SERVICES follow the service reg.
config() {
	steer /config "{\"Version\":\"$1\",\"Routes\":{$2},\"Services\":{
	\"reg\":{\"HealthPath\":\"/health\",\"MaxConns\":800,
	\"ColdStartS\":3.0,\"ColdPerS\":5.7}${3:-}},
	\"Limits\":{\"MaxHeaderBytes\":2000,\"MaxBodyBytes\":${4:-100000},
	\"HeaderTimeoutMs\":1000,\"IdleTimeoutMs\":5000}}"
}

# write_vm_settings NAME REGION DOMAIN [LOG_LEVEL]: writes the settings of an
# entry VM, which keeps its ports over restarts. It takes requests of other VMs
# if HANDOFF[NAME] is set.
write_vm_settings() {
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
	 ${HANDOFF[$1]:+"\"handoff_address\": \"${HANDOFF[$1]}\", \"cpu_share\": \"0.5\","}
	 "bounds": "DrainMs=2500,GraceS=6,BudgetRatio=0.2,BudgetExtra=100,BudgetWindowS=10,MaxShift=0.15",
	 "log_level": "${4:-info}"}
	END
}

# vm NAME REGION DOMAIN [LOG_LEVEL]: starts an entry VM.
vm() {
	write_vm_settings "$@"
	AUBURNREACH_CONFIG=$OUT/$1.json fleet_spawn "$OUT/$1.log" \
		"$BUILD/${VM_PROGRAM:-auburnreach-entry}"
	VM_PID[$1]=$SPAWNED
}

# is_ready VM
is_ready() {
	[ "$(curl -s -o /dev/null -w '%{http_code}' "http://${READY[$1]}/ready")" = 200 ]
}

# send_request VM PATH [CURL ARGUMENTS]: stores the response's status in
# $STATUS, the request's id in $REQUEST_ID, and body and headers in files.
REQUESTS=0
send_request() {
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

# responds_with STATUS VM PATH [CURL ARGUMENTS]: sends a request and checks the
# status of its response.
responds_with() {
	local want=$1
	shift
	send_request "$@"
	[ "$STATUS" = "$want" ] || {
		echo "status is $STATUS, expected $want: $*"
		return 1
	}
}

# count_runs ID: prints how often a request ran, over all servers.
count_runs() {
	curl -s "http://$CONTROL/runs" | grep -o "\"$1\":\[[^]]*\]" |
		grep -o '"[a-z][0-9]*"' | wc -l
}

# has_logged VM TEXT
has_logged() {
	grep -q "$2" "$OUT/$1.log"
}

# has_logged_times COUNT VM TEXT: the text is in COUNT lines of the log.
has_logged_times() {
	[ "$(grep -c "$3" "$OUT/$2.log")" = "$1" ]
}
