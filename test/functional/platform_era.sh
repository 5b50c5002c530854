# The store comes back from a copy some seconds old, under load: what it lost must
# not bring back an older configuration or a server that is leaving, and the VMs
# register again.
. "$(dirname "$0")/platform_lib.sh"
platform_start
server s1 reg fyn-a 4 30
server s2 reg fyn-a 4 30
server s3 reg jyl-a 4 30
LOOK=$(route look /look/ idempotent reg)
vm e1 fyn fyn-a
vm e2 fyn fyn-a
vm e3 jyl jyl-a
config 00000001 "$LOOK"
for name in e1 e2 e3; do
	expect "$name is ready" fleet_wait 10 is_ready $name
done
registered() {
	[ "$(curl -s "http://${DIRECTORY[$1]}/resolve?Name=a.example&Region=$2&Zone=$3" |
		grep -o '127[.0-9]*:[0-9]*' | wc -l)" = "$4" ]
}
expect "the directory has both VMs of a region" fleet_wait 5 registered e1 fyn fyn-a 2

# two servers, s1 and s2, each: one drains, one is added after the copy
steer /copy '{}'
vm e4 fyn fyn-b
expect "e4 is ready" fleet_wait 10 is_ready e4
expect "the directory has the new VM" fleet_wait 5 registered e1 fyn fyn-a 3
config 00000002 "$LOOK,$(route more /more/ idempotent reg)"
steer /drain '{"id":"s1"}'
steer /evacuate '{"domain":"jyl-a","on":true}'
sleep 1.5
for vm in e1 e2 e3 e4; do
	expect "$vm has the second configuration" responds_with 200 $vm /more/1
done

: >"$OUT/statuses"
(for i in $(seq 150); do
	curl -s -o /dev/null -w '%{http_code}\n' -H 'Host: a.example' \
		-H "Request-Id: load-$i" -H 'Deadline-Ms: 3000' \
		-H "Cookie: Affinity-Key=$i" "http://${FRONT[e$((i % 4 + 1))]}/more/$i"
	sleep 0.02
done >"$OUT/statuses") &
load=$!
sleep 0.3
steer /go-back '{}' # nothing is written again until the operator does
sleep 1.5
for vm in e1 e2 e3 e4; do
	expect "$vm keeps the configuration in force" responds_with 200 $vm /more/1
done
servers_used() {
	for i in $(seq 30); do
		curl -s -H 'Host: a.example' -H "Request-Id: u-$RANDOM-$i" \
			-H "Cookie: Affinity-Key=$i" "http://${FRONT[$1]}/look/$i" | cut -d' ' -f1
	done | sort -u | tr '\n' ' '
}
expect "the draining server is not used again" test "$(servers_used e1)" = "s2 "
expect "the evacuation holds until the operator writes again" \
	test "$(servers_used e3)" = "s2 "
steer /evacuate '{"domain":"jyl-a","on":true}'
config 00000002 "$LOOK,$(route more /more/ idempotent reg)"
expect "every VM has registered again" fleet_wait 5 registered e1 fyn fyn-a 3
wait $load
expect "every request of the load got 200" bash -c "! grep -v 200 $OUT/statuses"
expect "the new era is logged" has_logged e4 'has come back from a copy'
sleep 4
expect "the evacuation holds as the operator wrote it" test "$(servers_used e3)" = "s2 "
steer /evacuate '{"domain":"jyl-a","on":false}'
expect "it ends with the operator's word" fleet_wait 10 bash -c \
	"$(declare -p FRONT); $(declare -f servers_used); servers_used e3 | grep -q s3"
