# Graceful shutdown, reload, kill and suspension of entry VMs while callers send
# orders; compares what the servers ran with the responses that callers got.
. "$(dirname "$0")/platform_lib.sh"
platform_start
for id in 1 2 3 4; do
	server "s$id" reg fyn-a 6 120
done
vm e1 fyn fyn-a
vm e2 fyn fyn-b
config 00000001 "$(route order /order/ non_idempotent reg)"
expect "e1 is ready" fleet_wait 10 is_ready e1
expect "e2 is ready" fleet_wait 10 is_ready e2

# send_orders VM COUNT FILE: sends orders one by one; writes the id and status
# of each to $OUT/orders.FILE, one a line.
send_orders() {
	local i
	for i in $(seq "$2"); do
		echo "order-$3$i $(curl -s -m 5 -o /dev/null -w '%{http_code}' \
			-H 'Host: a.example' -H "Request-Id: order-$3$i" \
			-H "Cookie: Affinity-Key=$i" -H 'Deadline-Ms: 3000' \
			-d rolls "http://${FRONT[$1]}/order/$i")"
	done >"$OUT/orders.$3"
}

# has_only_statuses FILE STATUS...: every order of the file has one of these.
has_only_statuses() {
	local file=$1
	shift
	! grep -vE " ($(IFS='|'; echo "$*"))\$" "$OUT/orders.$file"
}

# verdicts_match_runs: no order ran twice, and none ran whose caller got 503.
verdicts_match_runs() {
	local runs
	runs=$(curl -s "http://$CONTROL/runs")
	! echo "$runs" | grep -oE '"order-[0-9]+":\["[^"]*",' || return 1
	! grep -h ' 503$' "$OUT"/orders.* | cut -d' ' -f1 | while read -r id; do
		echo "$runs" | grep -o "\"$id\":"
	done | grep .
}

send_orders e1 12 1 &
one=$!
sleep 0.5
kill -HUP "${VM_PID[e1]}"
wait $one
expect "every order during a reload gets 200" has_only_statuses 1 200
expect "the reload is logged" has_logged e1 'settings are in force'

send_orders e1 40 2 &
one=$!
sleep 0.5
kill -TERM "${VM_PID[e1]}"
sleep 0.2
expect "a VM that shuts down is not ready" \
	bash -c "! curl -sf http://${READY[e1]}/ready"
expect "it leaves the directory within 3 s" fleet_wait 3 bash -c \
	"! curl -sf 'http://${DIRECTORY[e2]}/resolve?Region=fyn' | grep -q '${FRONT[e1]}'"
wait $one
expect "accepted orders get 200, later ones find no listener" \
	has_only_statuses 2 200 000
expect "the first order gets 200" grep -q 'order-21 200' "$OUT/orders.2"
expect "the process exits within 8 s" \
	fleet_wait 8 bash -c "! kill -0 ${VM_PID[e1]} 2>/dev/null"
expect "no request is left unfinished" has_logged e1 'stop ends .* unfinished=0'

vm e1 fyn fyn-a
expect "the restarted VM is ready" fleet_wait 10 is_ready e1
send_orders e1 12 3 &
one=$!
sleep 0.4
kill -KILL "${VM_PID[e1]}"
wait $one
expect "a killed VM leaves the directory" fleet_wait 6 bash -c \
	"! curl -sf 'http://${DIRECTORY[e2]}/resolve?Region=fyn' | grep -q '${FRONT[e1]}'"

kill -STOP "${VM_PID[e2]}"
steer /drain '{"id":"s1"}'
steer /unlist '{"id":"s2"}'
sleep 4
kill -CONT "${VM_PID[e2]}"
expect "the resumed VM logs that it was suspended" \
	fleet_wait 3 has_logged e2 'process stood still'
sleep 2.5
send_orders e2 12 4
expect "orders after the suspension get 200" has_only_statuses 4 200
expect "no order goes to a server drained or unlisted during the suspension" bash -c \
	"! curl -s http://$CONTROL/runs | grep -oE '\"order-4[0-9]+\":\[\"s[12]\"'"

steer /kill '{"id":"s3"}'
send_orders e2 12 5
expect "with one server killed every order gets 200" has_only_statuses 5 200
steer /fault '{"id":"s4","fault":"refuse"}'
send_orders e2 4 6
expect "orders that the server refuses get 503" has_only_statuses 6 503
expect "no order ran twice, and none ran whose caller got 503" verdicts_match_runs
