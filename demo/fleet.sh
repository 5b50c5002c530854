# Starts and stops a small deployment on loopback. Scripts that source this file
# set BUILD and OUT first.

PIDS=()

# fleet_ports N: reserves N ports; fleet_port sets $PORT to the next one.
fleet_ports() {
	mapfile -t PORTS < <("$BUILD/auburnreach-bench" ports "$1")
	NEXT_PORT=0
}

fleet_port() {
	PORT=${PORTS[$NEXT_PORT]}
	NEXT_PORT=$((NEXT_PORT + 1))
}

# fleet_spawn LOG COMMAND...: starts a process and sets $SPAWNED to its ID.
fleet_spawn() {
	local log=$1
	shift
	"$@" >>"$log" 2>&1 &
	SPAWNED=$!
	PIDS+=("$SPAWNED")
}

fleet_store() {
	fleet_port
	STORE=127.0.0.1:$PORT
	fleet_spawn "$OUT/store.log" "$BUILD/standin-store" --listen "$STORE"
	STORE_PID=$SPAWNED
}

# fleet_backend NAME SERVICE DOMAIN SLOTS MS: starts a backend server and adds it
# to $BACKENDS, the list for the document. MS is the mean service time.
fleet_backend() {
	fleet_port
	fleet_spawn "$OUT/$1.log" "$BUILD/standin-backend" \
		--listen "127.0.0.1:$PORT" --name "$1" --slots "$4" \
		--service-ms "$5" --journal "$OUT/$1.journal" \
		--seed "$NEXT_PORT" --connections 64
	: >>"$OUT/$1.journal"
	BACKENDS+="${BACKENDS:+,}{\"name\":\"$1\",\"service\":\"$2\","
	BACKENDS+="\"failure_domain\":\"$3\",\"slots\":$4,"
	BACKENDS+="\"address\":\"127.0.0.1:$PORT\"}"
	BACKEND_ADDRESS[$1]=127.0.0.1:$PORT
}

# fleet_entry NAME DOMAIN: reserves the ports of an entry VM, which keeps them
# across restarts. fleet_start_entry NAME starts it.
fleet_entry() {
	if [ -z "${ENTRY_ADDRESS[$1]:-}" ]; then
		fleet_port
		ENTRY_ADDRESS[$1]=127.0.0.1:$PORT
		fleet_port
		PEER_ADDRESS[$1]=127.0.0.1:$PORT
		SEEDS+="${SEEDS:+,}\"127.0.0.1:$PORT\""
	fi
	ENTRY_DOMAIN[$1]=$2
}

fleet_start_entry() {
	cat >"$OUT/$1.json" <<-EOF
	{"name": "$1", "failure_domain": "${ENTRY_DOMAIN[$1]}",
	 "listen": "${ENTRY_ADDRESS[$1]}", "peer_listen": "${PEER_ADDRESS[$1]}",
	 "seeds": [$SEEDS], "store": "$STORE", "heartbeat_ms": ${HEARTBEAT_MS:-500},
	 "leave_spread_ms": 2000, "test_seams": true, $KEYS ${ENTRY_EXTRA:-}}
	EOF
	fleet_spawn "$OUT/$1.log" "$BUILD/auburnreachd" \
		--config "$OUT/$1.json"
	ENTRY_PID[$1]=$SPAWNED
}

fleet_keys() {
	KEYS=$("$BUILD/auburnreachctl" keygen | sed '1d;$d' | tr -d '\n')
}

# fleet_wait SECONDS COMMAND...: retries the command until it succeeds,
# for at least SECONDS.
fleet_wait() {
	local tries=$(($1 * 10))
	shift
	while ! "$@"; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] || return 1
		sleep 0.1
	done
}

# fleet_in_force VERSION COUNT ADDRESS: whether the entry VM at ADDRESS sees
# VERSION in force on COUNT of COUNT entry VMs.
fleet_in_force() {
	"$BUILD/auburnreachctl" --entry "$3" status 2>/dev/null |
		grep -q "version=$1 in force on $2 of $2 entry VMs"
}

# fleet_ready ADDRESS: whether an entry VM responds to health checks.
fleet_ready() {
	curl -s -o /dev/null "http://$1/healthz"
}

fleet_stop() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -9 "$pid" 2>/dev/null
	done
	wait 2>/dev/null
}
