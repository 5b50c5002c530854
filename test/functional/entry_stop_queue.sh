# A request that waits for a thread of auburnreachd while idle connections hold all
# of them, when a graceful shutdown begins: it gets a response.
. "$(dirname "$0")/lib.sh"
fleet_ports 8
fleet_keys
fleet_store
fleet_backend c1 cleft fyn-a 30 20
ENTRY_EXTRA=',"threads": 4, "keep_alive_ms": 30000'
fleet_entry e1 fyn-a
fleet_start_entry e1
write_document
fleet_wait 20 publish_document "$OUT/document.json" ||
	die "the document was not published"
fleet_wait 20 has_version e1 1 || die "version 1 is not in force"
sleep 0.5

# hold: keeps a connection open after the response to one request.
hold() {
	local host=${ENTRY_ADDRESS[e1]}
	exec 3<>"/dev/tcp/${host/://}"
	printf 'GET /cleft/held HTTP/1.1\r\nHost: x\r\n\r\n' >&3
	timeout 10 cat <&3 >/dev/null
}

for i in 1 2 3 4; do
	hold &
	PIDS+=($!)
done
sleep 0.5
curl -s -m 10 -o /dev/null -w '%{http_code}\n' \
	"http://${ENTRY_ADDRESS[e1]}/cleft/queued" >"$OUT/queued.status" &
queued=$!
sleep 0.3
kill -TERM "${ENTRY_PID[e1]}"
wait $queued
expect "a request that waits for a thread gets 200, not $(cat "$OUT/queued.status")" \
	grep -q 200 "$OUT/queued.status"
