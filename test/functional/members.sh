# Membership and document distribution with real processes: suspended and killed
# entry VMs, a network partition, a store that is down or restored to an older
# state, and malformed input.
. "$(dirname "$0")/lib.sh"
start_small_fleet

kill -STOP "${ENTRY_PID[e2]}"
expect "a suspended entry VM becomes suspect" fleet_wait 15 sees_state e1 e2 suspect
kill -CONT "${ENTRY_PID[e2]}"
expect "a resumed entry VM becomes live" fleet_wait 15 sees_state e1 e2 live
expect "the resumed entry VM lists the others as live" sees_state e2 e1 live

kill -9 "${ENTRY_PID[e2]}"
expect "a killed entry VM becomes dead" fleet_wait 30 sees_state e1 e2 dead
set_store_fault down
fleet_start_entry e2
expect "restarted while the store is down, it gets the document from its peers" \
	fleet_wait 20 has_version e2 1
expect "it is live under its new incarnation" fleet_wait 15 sees_state e1 e2 live
expect "it responds to look-ups" fleet_wait 10 bash -c \
	"curl -sf 'http://${ENTRY_ADDRESS[e2]}/v1/entries?service=cleft' >/dev/null"
set_store_fault none

# cut the failure domain jyl-a off from fyn-a and fyn-b
curl -s "http://${ENTRY_ADDRESS[e4]}/v1/test/cut?domains=fyn-a,fyn-b" >/dev/null
expect "an entry VM in the cut-off domain becomes dead" \
	fleet_wait 30 sees_state e1 e4 dead
expect "the cut-off domain lists the others as dead" fleet_wait 30 sees_state e4 e1 dead
expect "the cut-off domain still responds to look-ups" bash -c \
	"curl -sf 'http://${ENTRY_ADDRESS[e4]}/v1/entries?service=cleft' | grep -q '\"region\":\"jylland\"'"
expect "a change is published during the partition" $CTL --store "$STORE" drain c1
expect "the cut-off domain gets the change from the store" \
	fleet_wait 20 has_version e4 2
curl -s "http://${ENTRY_ADDRESS[e4]}/v1/test/cut?domains=" >/dev/null
expect "after the partition version 2 is in force on all entry VMs" \
	fleet_wait 20 fleet_in_force 2 4 "${ENTRY_ADDRESS[e4]}"

curl -s -o /dev/null -d '' "http://$STORE/standin/snapshot"
expect "another change is published" $CTL --store "$STORE" drain c1 --undo
expect "version 3 is in force on all entry VMs" \
	fleet_wait 9 fleet_in_force 3 4 "${ENTRY_ADDRESS[e1]}"
curl -s -o /dev/null -d '' "http://$STORE/standin/restore"
expect "the restored store has version 2" bash -c \
	"$CTL --store $STORE show | grep -q '\"version\": 2'"
sleep 3
expect "the entry VMs keep version 3" has_version e1 3
expect "a change is published above the version in force" \
	$CTL --store "$STORE" --entry "${ENTRY_ADDRESS[e1]}" drain c2
expect "version 4 is in force on all entry VMs" \
	fleet_wait 9 fleet_in_force 4 4 "${ENTRY_ADDRESS[e3]}"

head -c 20000 /dev/urandom >"/dev/tcp/${PEER_ADDRESS[e1]/:/\/}" 2>/dev/null
printf 'GET / HTTP/9.9\r\n\x00\xff\r\n\r\n' >"/dev/tcp/${ENTRY_ADDRESS[e1]/:/\/}"
expect "the process survives random bytes on both ports" \
	fleet_wait 5 fleet_ready "${ENTRY_ADDRESS[e1]}"
code=$(head -c 1100000 /dev/zero | curl -s -o /dev/null -w '%{http_code}' \
	-H 'Idempotency-Key: x' -H 'Expect:' --data-binary @- \
	"http://${ENTRY_ADDRESS[e1]}/cleft/x")
expect "a body that is too long gets 413" test "$code" = 413
