# One VM of a failure domain, the relay, reads from the store for the others.
# This saves store calls; configurations must still arrive in time when the
# relay is killed, suspended or restarted.
. "$(dirname "$0")/platform_lib.sh"
platform_start
server s1 reg fyn-a 4 30
for name in e1 e2 e3 e4; do vm $name fyn fyn-a; done
config 00000001 "$(route look /look/ idempotent reg)"
for name in e1 e2 e3 e4; do
	expect "$name is ready" fleet_wait 10 is_ready $name
done

# count_store_calls: prints how many calls the store has received.
count_store_calls() {
	curl -s "http://$CONTROL/calls"
}

# read_metric VM NAME: prints the value of a metric.
read_metric() {
	curl -s "http://${METRICS[$1]}/metrics" | sed -n "s/^auburnreach_$2 //p"
}

# current_relay VM: prints the relay that the VM logged last.
current_relay() {
	sed -n 's/.*reads go by another VM now vm=\([a-z0-9]*\) .*/\1/p' \
		"$OUT/$1.log" | tail -1
}

# agree_on_relay VM...: every VM has logged a relay, and all the same one.
agree_on_relay() {
	local name first
	first=$(current_relay "$1")
	[ -n "$first" ] || return 1
	for name in "$@"; do
		[ "$(current_relay "$name")" = "$first" ] || return 1
	done
}

# agree_on_new_relay: the VMs of $OTHERS agree on a relay other than $RELAY_VM.
agree_on_new_relay() {
	agree_on_relay $OTHERS && [ "$(current_relay "${OTHERS%%[[:space:]]*}")" != "$RELAY_VM" ]
}

# has_version_within SECONDS VERSION VM...: every VM logs it as in force.
has_version_within() {
	local seconds=$1 version=$2 name
	shift 2
	for name in "$@"; do
		fleet_wait "$seconds" has_logged "$name" "in force version=$version" ||
			return 1
	done
}

expect "all VMs use the same relay" fleet_wait 10 agree_on_relay e1 e2 e3 e4
RELAY_VM=$(current_relay e1)
OTHERS=$(echo e1 e2 e3 e4 | tr ' ' '\n' | grep -v "$RELAY_VM")
sleep 4 # until the others no longer read from the store
BEFORE=$(count_store_calls)
RELAYED_BEFORE=$(read_metric "$RELAY_VM" relay_answers_total)
for version in 2 3 4 5; do
	config 0000000$version "$(route look /look/ idempotent reg)"
	expect "version $version is in force within 2 s" \
		has_version_within 2 0000000$version e1 e2 e3 e4
	sleep 1
done
# lease renewals: 4 VMs, up to 2 a second each, for about 6 s; watches: 1 VM
expect "only the relay watches the store: $(($(count_store_calls) - BEFORE)) calls" \
	test $(($(count_store_calls) - BEFORE)) -le 60
expect "the relay responds to the other VMs" \
	test "$(read_metric "$RELAY_VM" relay_answers_total)" \
	-gt "$RELAYED_BEFORE"

kill -STOP "${VM_PID[$RELAY_VM]}"
config 00000006 "$(route look /look/ idempotent reg)"
expect "with the relay suspended, version 6 is in force within 2 s" \
	has_version_within 2 00000006 $OTHERS
kill -CONT "${VM_PID[$RELAY_VM]}"
expect "the resumed relay has version 6 within 3 s" \
	has_version_within 3 00000006 "$RELAY_VM"

kill -9 "${VM_PID[$RELAY_VM]}"
config 00000007 "$(route look /look/ idempotent reg)"
expect "with the relay killed, version 7 is in force within 2 s" \
	has_version_within 2 00000007 $OTHERS
expect "the other VMs agree on a new relay" fleet_wait 8 agree_on_new_relay
vm "$RELAY_VM" fyn fyn-a
expect "the restarted VM is ready" fleet_wait 10 is_ready "$RELAY_VM"
config 00000008 "$(route look /look/ idempotent reg)"
expect "version 8 is in force on all VMs within 3 s" \
	has_version_within 3 00000008 e1 e2 e3 e4

steer /fault '{"fault":"busy"}'
sleep 3
BEFORE=$(count_store_calls)
sleep 6
AFTER=$(count_store_calls)
# lease renewals twice a second per VM; the relay's three watches retry every
# 0.75 s or more
expect "few store calls during an outage: $((AFTER - BEFORE))" \
	test $((AFTER - BEFORE)) -le $((4 * 2 * 6 + 3 * 8 + 6))
expect "requests get 200 during the outage" responds_with 200 e1 /look/1
steer /fault '{"fault":"sound"}'
config 00000009 "$(route look /look/ idempotent reg)"
expect "version 9 is in force within 3 s after the outage" \
	has_version_within 3 00000009 e1 e2 e3 e4
