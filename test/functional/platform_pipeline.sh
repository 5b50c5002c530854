# Callers that send further idempotent requests before the first is answered.
. "$(dirname "$0")/platform_lib.sh"
platform_start
server s1 reg fyn-a 8 400
vm e1 fyn fyn-a
config 00000001 "$(route look /look/ idempotent reg),$(route order /order/ non_idempotent reg)"
expect "e1 is ready" fleet_wait 10 is_ready e1

# request METHOD PATH ID [HEADER]: prints a request.
request() {
	printf '%s %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Ms: 9000\r\nCookie: Affinity-Key=%s\r\n%s\r\n' \
		"$1" "$2" "$3" "$3" "${4:-}"
}
# exchange VM SECONDS: sends standard input at once on one connection and prints
# what arrives within SECONDS, or until the connection closes.
exchange() {
	local address=${FRONT[$1]}
	exec 9<>"/dev/tcp/${address%:*}/${address#*:}" || return 1
	cat >&9
	timeout "$2" cat <&9
	exec 9>&-
}
ids() {
	grep -ai '^Request-Id:' "$1" | tr -d '\r' | cut -d' ' -f2 | tr '\n' ' '
}
statuses() {
	grep -a '^HTTP/1.1' "$1" | cut -d' ' -f2 | tr '\n' ' '
}
now_ms() {
	echo $(($(date +%s%N) / 1000000))
}

began=$(now_ms)
for i in 1 2 3 4; do request GET /look/$i p$i; done >"$OUT/four"
request GET /look/5 p5 $'Connection: close\r\n' >>"$OUT/four"
exchange e1 5 <"$OUT/four" >"$OUT/four.out"
took=$(($(now_ms) - began))
echo "five requests of 400 ms took $took ms"
expect "the responses come in the order of the requests" \
	test "$(ids "$OUT/four.out")" = "p1 p2 p3 p4 p5 "
expect "all are served" test "$(statuses "$OUT/four.out")" = "200 200 200 200 200 "
expect "they run at the same time" test $took -lt 1200

# the first runs on a slow server and the second on a fast one
server s2 reg fyn-a 8 20
sleep 1.5
object_of() { # SERVER: prints an object that runs there
	local i
	for i in $(seq 40); do
		curl -s -H 'Host: a.example' -H "Request-Id: w$1$i" -H 'Deadline-Ms: 3000' \
			-H "Cookie: Affinity-Key=$i" "http://${FRONT[e1]}/look/$i" |
			grep -q "^$1 " && echo "$i" && return
	done
}
slow=$(object_of s1)
fast=$(object_of s2)
{
	request GET /look/slow "$slow"
	request GET /look/fast "$fast" $'Connection: close\r\n'
} >"$OUT/order"
sed -i "s/Request-Id: $slow\r/Request-Id: slow\r/;s/Request-Id: $fast\r/Request-Id: fast\r/" "$OUT/order"
exchange e1 5 <"$OUT/order" >"$OUT/order.out"
expect "a response that is ready first waits for the one before it" \
	test "$(ids "$OUT/order.out")" = "slow fast "

{
	request GET /look/1 mid-1
	request POST /order/2 mid-2 $'Content-Length: 0\r\n'
	request GET /look/3 mid-3 $'Connection: close\r\n'
} >"$OUT/middle"
began=$(now_ms)
exchange e1 8 <"$OUT/middle" >"$OUT/middle.out"
took=$(($(now_ms) - began))
expect "an order in the middle is served in its turn" \
	test "$(ids "$OUT/middle.out")$(statuses "$OUT/middle.out")" = "mid-1 mid-2 mid-3 200 200 200 "
expect "the order ran once" test "$(count_runs mid-2)" = 1

{
	request GET /look/1 close-1 $'Connection: close\r\n'
	request POST /order/2 close-2 $'Content-Length: 0\r\n'
	request GET /look/3 close-3
} >"$OUT/close"
exchange e1 5 <"$OUT/close" >"$OUT/close.out"
expect "a response that closes the connection is the last" \
	test "$(ids "$OUT/close.out")" = "close-1 "
sleep 0.6
expect "what was sent behind it has not run" test "$(count_runs close-2)$(count_runs close-3)" = 00

{
	request GET /look/1 g1
	request GET /look/2 g2
	printf 'garbage\r\n\r\n'
} >"$OUT/garbage"
exchange e1 5 <"$OUT/garbage" >"$OUT/garbage.out"
expect "requests before garbage are served, then the connection is closed" \
	test "$(statuses "$OUT/garbage.out")" = "200 200 400 "
{
	request GET /look/1 h1
	request GET /look/2 h2 "X: $(printf 'x%.0s' $(seq 3000))"$'\r\n'
} >"$OUT/head"
exchange e1 5 <"$OUT/head" >"$OUT/head.out"
expect "the same before a head that is too large" \
	test "$(statuses "$OUT/head.out")" = "200 431 "

# a caller that leaves cancels all that it had in line
for i in 1 2 3; do request GET /look/$slow l$i; done >"$OUT/leave"
sed -i "s/Affinity-Key=l[0-9]/Affinity-Key=$slow/" "$OUT/leave"
exchange e1 0.1 <"$OUT/leave" >/dev/null
expect "a caller that leaves is logged for each of its requests" \
	fleet_wait 3 has_logged_times 3 e1 'caller closed the connection request=l'

# a caller that sends and never reads
memory_kb() {
	awk '/^VmRSS/ { print $2 }' "/proc/${VM_PID[e1]}/status"
}
before=$(memory_kb)
address=${FRONT[e1]}
for i in $(seq 2000); do request GET /look/$fast n$i; done >"$OUT/flood"
exec 8<>"/dev/tcp/${address%:*}/${address#*:}"
timeout 3 cat "$OUT/flood" >&8
sleep 1
echo "memory $(memory_kb) kB, before $before kB"
expect "memory is bounded with a caller that never reads" \
	test $(($(memory_kb) - before)) -lt 4096
exec 8>&-
sleep 1 # until its requests have ended

# a graceful shutdown answers what was read
for i in 1 2 3; do request GET /look/$i t$i; done >"$OUT/term"
sed -i "s/Affinity-Key=t[0-9]/Affinity-Key=$slow/" "$OUT/term"
(exchange e1 5 <"$OUT/term" >"$OUT/term.out") &
waiter=$!
sleep 0.2
kill -TERM "${VM_PID[e1]}"
wait $waiter
expect "every request that was read is answered during a shutdown" \
	test "$(statuses "$OUT/term.out")" = "200 200 200 "
expect "the last response closes the connection" \
	test "$(grep -aci '^Connection: close' "$OUT/term.out")" = 1
