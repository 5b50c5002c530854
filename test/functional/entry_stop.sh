# Requests that are in progress, or arrive, when the time of a graceful shutdown
# of auburnreachd ends: every one of them gets a response.
. "$(dirname "$0")/lib.sh"
fleet_ports 8
fleet_keys
fleet_store
fleet_backend c1 cleft fyn-a 30 20000
ENTRY_EXTRA=",\"leave_max_ms\": 1500"
fleet_entry e1 fyn-a
fleet_start_entry e1
write_document
fleet_wait 20 publish_document "$OUT/document.json" ||
	die "the document was not published"
fleet_wait 20 has_version e1 1 || die "version 1 is not in force"

# send NAME [OPTIONS...]: sends a request that its server runs for far longer than
# the deadline; writes the status and the time it took to $OUT/NAME.status.
send() {
	local name=$1
	shift
	curl -s -m 5 -D "$OUT/$name.head" -o /dev/null \
		-w '%{http_code} %{time_total}\n' "$@" \
		"http://${ENTRY_ADDRESS[e1]}/cleft/$name" >"$OUT/$name.status"
}

# was_answered NAME STATUS VERDICT
was_answered() {
	grep -q "^$2 " "$OUT/$1.status" &&
		grep -qi "^Auburnreach-Verdict: $3" "$OUT/$1.head"
}

# send_part NAME: sends a part of a request's body and waits for the response.
send_part() {
	local host=${ENTRY_ADDRESS[e1]}
	exec 3<>"/dev/tcp/${host/://}"
	printf 'POST /cleft/%s HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\nrolls' \
		"$1" >&3
	timeout 5 head -1 <&3 >"$OUT/$1.status"
}

send_part part &
part=$!
send read &
read=$!
send order -H 'Idempotency-Key: a-key' -d rolls &
order=$!
sleep 0.4
kill -TERM "${ENTRY_PID[e1]}"
sleep 0.9
send late -H 'Idempotency-Key: another' -d rolls &
late=$!
wait $read $order $late $part
expect "a read in progress at the end gets 504" was_answered read 504 may-have-run
expect "an order in progress at the end gets 504" was_answered order 504 may-have-run
expect "an order that arrives late gets 504" was_answered late 504 may-have-run
expect "a request whose body is not complete at the end gets 503" \
	grep -q '^HTTP/1.1 503 ' "$OUT/part.status"
expect "the process exits soon after its time" \
	fleet_wait 2 bash -c "! kill -0 ${ENTRY_PID[e1]} 2>/dev/null"
wait "${ENTRY_PID[e1]}" || die "the graceful shutdown failed"
expect "no request is left over" grep -q 'leave: done .*left_over=0' "$OUT/e1.log"
