# An entry VM that shuts down and takes a request of whose run time it knows
# nothing, or whose body never becomes complete: the caller gets a response.
. "$(dirname "$0")/platform_lib.sh"
platform_start
# runs last longer than a shutdown
server s1 reg fyn-a 6 8000
vm e1 fyn fyn-a
config 00000001 "$(route order /order/ non_idempotent reg |
	sed 's/"TimeoutMs":1500/"TimeoutMs":9000/')"
expect "e1 is ready" fleet_wait 10 is_ready e1

# send_part VM FILE: sends a part of an order's body and waits for the response.
send_part() {
	local host=${FRONT[$1]}
	exec 3<>"/dev/tcp/${host/://}"
	printf 'POST /order/1 HTTP/1.1\r\nHost: a.example\r\n%s\r\n\r\nrolls' \
		'Content-Length: 99' >&3
	timeout 9 head -1 <&3 >"$2"
}

send_part e1 "$OUT/part" &
part=$!
sleep 0.3
kill -TERM "${VM_PID[e1]}"
sleep 2.5
send_request e1 /order/2 -m 9 -H 'Deadline-Ms: 9000' -d rolls
wait $part
expect "an order of unknown run time gets a response, not $STATUS" \
	test "$STATUS" != 000
expect "an order whose body is not complete gets a response" \
	grep -q '^HTTP/1.1 [45]' "$OUT/part"
expect "no request is given up" \
	bash -c "! grep -q 'request given up at exit' '$OUT/e1.log'"
