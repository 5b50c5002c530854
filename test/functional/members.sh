# Membership and the document, with real processes: pauses, deaths, splits, a
# store that is away, one that comes back older, and hostile input.
. "$(dirname "$0")/lib.sh"
small_fleet

kill -STOP "${ENTRY_PID[e2]}"
expect "a paused entry VM becomes suspect" fleet_wait 15 state_seen e1 e2 suspect
kill -CONT "${ENTRY_PID[e2]}"
expect "and live again" fleet_wait 15 state_seen e1 e2 live
expect "the pause condemned no one" state_seen e2 e1 live

kill -9 "${ENTRY_PID[e2]}"
expect "a killed entry VM is found dead" fleet_wait 30 state_seen e1 e2 dead
store_fault down
fleet_start_entry e2
expect "restarted while the store is down, it has the document from peers" \
	fleet_wait 20 has_version e2 1
expect "and is live under its new incarnation" fleet_wait 15 state_seen e1 e2 live
expect "and answers look-ups" fleet_wait 10 bash -c \
	"curl -sf 'http://${ENTRY_ADDRESS[e2]}/v1/entries?service=cleft' >/dev/null"
store_fault none

# the failure domain jyl-a loses the two of fyn
curl -s "http://${ENTRY_ADDRESS[e4]}/v1/test/cut?domains=fyn-a,fyn-b" >/dev/null
expect "a split domain is unreachable" fleet_wait 30 state_seen e1 e4 dead
expect "from both sides" fleet_wait 30 state_seen e4 e1 dead
expect "its own look-ups go on" bash -c \
	"curl -sf 'http://${ENTRY_ADDRESS[e4]}/v1/entries?service=cleft' | grep -q '\"region\":\"jylland\"'"
expect "a change is published" $CTL --store "$STORE" drain c1
expect "the cut-off domain takes it from the store" fleet_wait 20 has_version e4 2
curl -s "http://${ENTRY_ADDRESS[e4]}/v1/test/cut?domains=" >/dev/null
expect "after healing all agree" fleet_wait 20 fleet_in_force 2 4 "${ENTRY_ADDRESS[e4]}"

curl -s -o /dev/null -d '' "http://$STORE/standin/snapshot"
expect "another change" $CTL --store "$STORE" drain c1 --undo
expect "is in force" fleet_wait 9 fleet_in_force 3 4 "${ENTRY_ADDRESS[e1]}"
curl -s -o /dev/null -d '' "http://$STORE/standin/restore"
expect "the store is back at version 2" bash -c \
	"$CTL --store $STORE show | grep -q '\"version\": 2'"
sleep 3
expect "the fleet does not go back" has_version e1 3
expect "publishing goes above the fleet's version" \
	$CTL --store "$STORE" --entry "${ENTRY_ADDRESS[e1]}" drain c2
expect "and is in force" fleet_wait 9 fleet_in_force 4 4 "${ENTRY_ADDRESS[e3]}"

head -c 20000 /dev/urandom >"/dev/tcp/${PEER_ADDRESS[e1]/:/\/}" 2>/dev/null
printf 'GET / HTTP/9.9\r\n\x00\xff\r\n\r\n' >"/dev/tcp/${ENTRY_ADDRESS[e1]/:/\/}"
expect "hostile bytes end no process" fleet_wait 5 fleet_ready "${ENTRY_ADDRESS[e1]}"
code=$(head -c 1100000 /dev/zero | curl -s -o /dev/null -w '%{http_code}' \
	-H 'Idempotency-Key: x' -H 'Expect:' --data-binary @- \
	"http://${ENTRY_ADDRESS[e1]}/cleft/x")
expect "a body that is too long is refused" test "$code" = 413
