# One VM of a failure domain reads from the store for the others: calls saved,
# and news in time when that VM dies, is frozen, or starts anew.
. "$(dirname "$0")/platform_lib.sh"
platform_start
server s1 reg fyn-a 4 30
for name in e1 e2 e3 e4; do vm $name fyn fyn-a; done
config 00000001 "$(route look /look/ idempotent reg)"
for name in e1 e2 e3 e4; do
	expect "$name is ready" fleet_wait 10 is_ready $name
done

calls() {
	curl -s "http://$CONTROL/calls"
}

# metric VM NAME
metric() {
	curl -s "http://${METRICS[$1]}/metrics" | sed -n "s/^auburnreach_$2 //p"
}

# relay_of VM: the VM that it reads from, as it last said.
relay_of() {
	sed -n 's/.*reads go by another VM now vm=\([a-z0-9]*\) .*/\1/p' \
		"$OUT/$1.log" | tail -1
}

# same_relay VM...: each has named a relay, and all the same one.
same_relay() {
	local name first
	first=$(relay_of "$1")
	[ -n "$first" ] || return 1
	for name in "$@"; do
		[ "$(relay_of "$name")" = "$first" ] || return 1
	done
}

agree_on_another() {
	same_relay $OTHERS && [ "$(relay_of "${OTHERS%%[[:space:]]*}")" != "$RELAY_VM" ]
}

# version_within SECONDS VERSION VM...: in force on each.
version_within() {
	local seconds=$1 version=$2 name
	shift 2
	for name in "$@"; do
		fleet_wait "$seconds" logged "$name" "in force version=$version" ||
			return 1
	done
}

expect "all read by the same VM" fleet_wait 10 same_relay e1 e2 e3 e4
RELAY_VM=$(relay_of e1)
OTHERS=$(echo e1 e2 e3 e4 | tr ' ' '\n' | grep -v "$RELAY_VM")
sleep 4 # until all have left the store
BEFORE=$(calls)
RELAYED_BEFORE=$(metric "$RELAY_VM" relay_answers_total)
for version in 2 3 4 5; do
	config 0000000$version "$(route look /look/ idempotent reg)"
	expect "version $version is in force in time" \
		version_within 2 0000000$version e1 e2 e3 e4
	sleep 1
done
# Renewals: 4 VMs, up to 2 a second, for about 6 s. Watches: one VM's.
expect "one VM's watches, not four's: $(($(calls) - BEFORE)) calls" \
	test $(($(calls) - BEFORE)) -le 60
expect "it answers the others" test "$(metric "$RELAY_VM" relay_answers_total)" \
	-gt "$RELAYED_BEFORE"

kill -STOP "${VM_PID[$RELAY_VM]}"
config 00000006 "$(route look /look/ idempotent reg)"
expect "with the relay frozen, news come in time" \
	version_within 2 00000006 $OTHERS
kill -CONT "${VM_PID[$RELAY_VM]}"
expect "and to itself when it wakes" version_within 3 00000006 "$RELAY_VM"

kill -9 "${VM_PID[$RELAY_VM]}"
config 00000007 "$(route look /look/ idempotent reg)"
expect "with the relay killed, news come in time" \
	version_within 2 00000007 $OTHERS
expect "the others agree on another" fleet_wait 8 agree_on_another
vm "$RELAY_VM" fyn fyn-a
expect "it is ready again" fleet_wait 10 is_ready "$RELAY_VM"
config 00000008 "$(route look /look/ idempotent reg)"
expect "news reach all four" version_within 3 00000008 e1 e2 e3 e4

steer /fault '{"fault":"busy"}'
sleep 3
BEFORE=$(calls)
sleep 6
AFTER=$(calls)
# renewals twice a second each, the relay's three watches every 0.75 s or more
expect "an outage costs few calls: $((AFTER - BEFORE))" \
	test $((AFTER - BEFORE)) -le $((4 * 2 * 6 + 3 * 8 + 6))
expect "requests are served meanwhile" status_is 200 e1 /look/1
steer /fault '{"fault":"sound"}'
config 00000009 "$(route look /look/ idempotent reg)"
expect "and news come when it is over" \
	version_within 3 00000009 e1 e2 e3 e4
