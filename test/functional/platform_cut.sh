# Entry VMs whose path to all backend servers is cut, while callers, the store
# and other VMs still reach them: callers must be sent to other VMs, and what
# still comes must be refused at once.
. "$(dirname "$0")/platform_lib.sh"
export ASAN_OPTIONS=${ASAN_OPTIONS:-verify_asan_link_order=0}
platform_start
SERVER_PORTS=
for id in s1:fyn-a s2:fyn-a s3:fyn-b s4:jyl-a; do
	server "${id%:*}" reg "${id#*:}" 4 20
	SERVER_PORTS+=" $PORT"
done
# cut_vm HOW VM...: cuts the VMs' paths to all servers; join_vm VM...: ends it.
cut_vm() {
	local how=$1 name
	shift
	for name in "$@"; do
		echo "$how$SERVER_PORTS" >"$OUT/$name.cut.new"
		mv "$OUT/$name.cut.new" "$OUT/$name.cut"
	done
}
join_vm() {
	local name
	for name in "$@"; do rm -f "$OUT/$name.cut"; done
}
VMS="e1 e2 e3"
for name in $VMS; do
	CUT_PATH_FILE=$OUT/$name.cut VM_PROGRAM=entry-cuttable \
		vm $name fyn fyn-a
done
config 00000001 "$(route look /look/ idempotent reg),$(route order /order/ non_idempotent reg)"
for name in $VMS; do
	expect "$name is ready" fleet_wait 10 is_ready $name
done

# names VM ADDRESS: the VM's directory names the address.
names() {
	curl -s "http://${DIRECTORY[$1]}/resolve?host=a.example&region=fyn&zone=fyn-a" |
		grep -q "\"$2\""
}
does_not_name() {
	! names "$@"
}
# names_all VM: its directory names all VMs.
names_all() {
	local name
	for name in $VMS; do names "$1" "${FRONT[$name]}" || return 1; done
}
# refused_at_once VM: a request gets 503 soon, with a closed connection.
refused_at_once() {
	local began took
	began=$(date +%s%N)
	send_request "$1" /look/1
	took=$((($(date +%s%N) - began) / 1000000))
	echo "status $STATUS after $took ms"
	[ "$STATUS" = 503 ] && [ $took -lt 150 ] &&
		grep -qi '^Connection: close' "$OUT/head" &&
		grep -qi '^Retry-After: 0\.[01]' "$OUT/head"
}
# callers VM...: sends ten requests a second to each VM until its file is gone.
callers() {
	local name i=0
	touch "$OUT/calling"
	while [ -e "$OUT/calling" ]; do
		i=$((i + 1))
		for name in "$@"; do
			curl -s -m 3 -o /dev/null -H 'Host: a.example' \
				-H "Request-Id: call-$name-$i" -H 'Deadline-Ms: 3000' \
				-H "Cookie: Affinity-Key=$i" \
				"http://${FRONT[$name]}/look/$i" &
		done
		sleep 0.1
	done
	wait
}
trap 'rm -f "$OUT/calling"; fleet_stop' EXIT
start_callers() {
	callers "$@" &
	CALLERS=$!
	sleep 0.5
}
stop_callers() {
	rm -f "$OUT/calling"
	wait "$CALLERS"
}
expect "every directory names all VMs" fleet_wait 10 names_all e2

for how in hang refuse; do
	# without idle connections to servers; they are closed after 2.4 s
	sleep 3
	cut_vm $how e1
	start_callers e1
	expect "$how: the VM's own directory leaves it out within 2 s" \
		fleet_wait 2 does_not_name e1 "${FRONT[e1]}"
	expect "$how: another VM's directory leaves it out within 3 s" \
		fleet_wait 3 does_not_name e2 "${FRONT[e1]}"
	expect "$how: others are still named" names e2 "${FRONT[e3]}"
	expect "$how: what comes is refused at once" fleet_wait 1 refused_at_once e1
	expect "$how: it stays ready" is_ready e1
	expect "$how: operators are told" bash -c \
		"$BUILD/auburnreachctl --entry ${METRICS[e2]} versions | grep -q 'name=e1 .*cut-off'"
	expect "$how: others serve" responds_with 200 e2 /look/1
	sleep 3
	join_vm e1
	expect "$how: it serves within 2 s after the cut" \
		fleet_wait 2 responds_with 200 e1 /look/2
	expect "$how: it is named again within 4 s" \
		fleet_wait 4 names e2 "${FRONT[e1]}"
	stop_callers
done

# left_out_after_burst: more requests at once than e1 has open connections.
left_out_after_burst() {
	local i jobs=()
	for i in $(seq 30); do
		curl -s -m 3 -o /dev/null -H 'Host: a.example' \
			-H "Request-Id: burst-$RANDOM-$i" -H 'Deadline-Ms: 3000' \
			-H "Cookie: Affinity-Key=$i" \
			"http://${FRONT[e1]}/look/$i" &
		jobs+=($!)
	done
	wait "${jobs[@]}"
	does_not_name e2 "${FRONT[e1]}"
}
# connections that are open live on: nothing is amiss until they don't suffice
start_callers e1
cut_vm refuse e1
expect "a VM with open connections is left out too" \
	fleet_wait 4 left_out_after_burst
expect "it serves on what is open" fleet_wait 1 responds_with 200 e1 /look/1
stop_callers
join_vm e1
expect "it is named again" fleet_wait 4 names e2 "${FRONT[e1]}"

# nobody else is left to name
sleep 3
cut_vm hang $VMS
start_callers $VMS
sleep 5
expect "when all VMs are cut off, all are named" names_all e2
join_vm $VMS
for name in $VMS; do
	expect "$name serves after the cut" \
		fleet_wait 2 responds_with 200 $name /look/3
done
stop_callers

# failures that are no cut
start_callers e1
steer /kill '{"id":"s1"}'
steer /kill '{"id":"s2"}'
sleep 3
expect "with two of four servers dead, the VM is still named" names_all e2
expect "it serves" responds_with 200 e1 /look/4
stop_callers
