# Planned stops, reloads, kills and pauses of entry VMs under a load of orders;
# what ran is compared with what callers heard.
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

# orders VM COUNT FILE: sends orders one after the other, one line each.
orders() {
	local i
	for i in $(seq "$2"); do
		echo "order-$3$i $(curl -s -m 5 -o /dev/null -w '%{http_code}' \
			-H 'Host: a.example' -H "Request-Id: order-$3$i" \
			-H "Cookie: Affinity-Key=$i" -H 'Deadline-Ms: 3000' \
			-d rolls "http://${FRONT[$1]}/order/$i")"
	done >"$OUT/orders.$3"
}

# judged FILE STATUS...: every order of the file has one of these statuses.
judged() {
	local file=$1
	shift
	! grep -vE " ($(IFS='|'; echo "$*"))\$" "$OUT/orders.$file"
}

# promises_hold: what was told as not run has not run, nothing ran twice.
promises_hold() {
	local runs
	runs=$(curl -s "http://$CONTROL/runs")
	! echo "$runs" | grep -oE '"order-[0-9]+":\["[^"]*",' || return 1
	! grep -h ' 503$' "$OUT"/orders.* | cut -d' ' -f1 | while read -r id; do
		echo "$runs" | grep -o "\"$id\":"
	done | grep .
}

orders e1 12 1 &
one=$!
sleep 0.5
kill -HUP "${VM_PID[e1]}"
wait $one
expect "a reload cuts nothing" judged 1 200
expect "it is logged" logged e1 'settings are in force'

orders e1 40 2 &
one=$!
sleep 0.5
kill -TERM "${VM_PID[e1]}"
sleep 0.2
expect "a stopping VM is not ready" bash -c "! curl -sf http://${READY[e1]}/ready"
expect "it leaves the directory at once" fleet_wait 3 bash -c \
	"! curl -sf 'http://${DIRECTORY[e2]}/resolve?Region=fyn' | grep -q '${FRONT[e1]}'"
wait $one
expect "what it had taken in is answered, later ones find it gone" \
	judged 2 200 000
expect "at least the first was served" grep -q 'order-21 200' "$OUT/orders.2"
expect "it ends by itself" fleet_wait 8 bash -c "! kill -0 ${VM_PID[e1]} 2>/dev/null"
expect "with nothing unfinished" logged e1 'stop ends .* unfinished=0'

vm e1 fyn fyn-a
expect "it is ready again" fleet_wait 10 is_ready e1
orders e1 12 3 &
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
expect "a pause is noticed" fleet_wait 3 logged e2 'process stood still'
sleep 2.5
orders e2 12 4
expect "after a pause orders are served" judged 4 200
expect "by servers that are listed" bash -c \
	"! curl -s http://$CONTROL/runs | grep -oE '\"order-4[0-9]+\":\[\"s[12]\"'"

steer /kill '{"id":"s3"}'
orders e2 12 5
expect "a dead server's orders go elsewhere" judged 5 200
steer /fault '{"id":"s4","fault":"refuse"}'
orders e2 4 6
expect "refused orders are told as not run" judged 6 503
expect "nothing ran twice, and nothing that was told as not run" promises_hold
