# The whole path on the stand-in platform: requests, limits, directory, faults
# of servers, the list, configurations, and the store.
. "$(dirname "$0")/platform_lib.sh"
platform_start
server s1 reg fyn-a 4 30
server s2 reg fyn-b 4 30
server s3 reg jyl-a 4 30
vm e1 fyn fyn-a
vm e2 fyn fyn-b
vm e3 jyl jyl-a

fleet_wait 10 curl -sf -o /dev/null "http://${DIRECTORY[e1]}/resolve" ||
	die "the directory does not answer"
expect "without a configuration a VM is not ready" bash -c \
	"! curl -sf http://${READY[e1]}/ready"
expect "and refuses with 503, not 404" status_is 503 e1 /look/1
ROUTES="$(route look /look/ idempotent reg),$(route order /order/ non_idempotent reg)"
config 00000001 "$ROUTES"
for name in e1 e2 e3; do
	expect "$name is ready" fleet_wait 10 is_ready $name
done

expect "a request is served" status_is 200 e1 "/look/a%20b/?x=1&y=%2F"
expect "with path and query unchanged" grep -q "GET /look/a%20b/?x=1&y=%2F" "$OUT/body"
expect "under its id" grep -qi "^Request-Id: $REQUEST_ID" "$OUT/head"
expect "with the server's stamp" grep -qi '^Response-Stamp: s1' "$OUT/head"
expect "by a server of its region" grep -qE '^s[12] ' "$OUT/body"
expect "a body passes" status_is 200 e1 /order/1 -d 'twelve rolls of film'
expect "unchanged" grep -q '^twelve rolls of film$' "$OUT/body"
expect "a chunked body passes" status_is 200 e1 /order/2 \
	-H 'Transfer-Encoding: chunked' -d 'in pieces'
expect "unchanged too" grep -q '^in pieces$' "$OUT/body"
expect "HEAD has no body" status_is 200 e1 /look/h -I
expect "one object meets one server" bash -c "
	for i in 1 2 3 4 5 6; do for vm in ${FRONT[e1]} ${FRONT[e2]}; do
		curl -s -H 'Host: a.example' -H \"Request-Id: o-\$i-\$vm\" \
			-H 'Cookie: Affinity-Key=9' http://\$vm/look/o | cut -d' ' -f1
	done; done | sort -u | wc -l | grep -qx 1"

expect "no route: 404" status_is 404 e1 /nothing
HOST_NAME=b.example
expect "another host: 404" status_is 404 e1 /look/1
HOST_NAME=a.example
expect "two hosts: 400" bash -c \
	"printf 'GET /look/1 HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\nRequest-Id: h\r\n\r\n' |
	timeout 5 curl -s --no-buffer telnet://${FRONT[e1]} | head -1 | grep -q ' 400 '"
expect "a head that is too large: 431" status_is 431 e1 /look/1 \
	-H "X: $(printf 'x%.0s' $(seq 3000))"
expect "a body that is too large: 413" bash -c \
	"head -c 200000 /dev/zero | curl -s -o /dev/null -w '%{http_code}' \
	-H 'Host: a.example' -H 'Request-Id: big' -H 'Expect:' --data-binary @- \
	http://${FRONT[e1]}/order/3 | grep -qx 413"
expect "two lengths are refused" bash -c \
	"printf 'POST /order/4 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: smuggle\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /look/x HTTP/1.1\r\n\r\n' |
	timeout 5 curl -s --no-buffer telnet://${FRONT[e1]} | head -1 | grep -q ' 400 '"
expect "and nothing of them ran" test "$(runs_of smuggle)" = 0
expect "a head that does not come: 408" bash -c \
	"(printf 'GET /look/1 HTTP/1.1\r\nHost: a'; sleep 4) | timeout 5 curl -s --no-buffer telnet://${FRONT[e1]} | head -1 | grep -q ' 408 '"

expect "the directory names VMs of the caller's region" bash -c \
	"curl -sf 'http://${DIRECTORY[e1]}/resolve?Name=a.example&Region=jyl&Zone=jyl-a' | grep -q '\[\"${FRONT[e3]}\"\]'"
expect "metrics are served" bash -c \
	"curl -sf http://${METRICS[e1]}/metrics | grep -q '^auburnreach_requests_total [1-9]'"

for id in s1 s2 s3; do steer /fault "{\"id\":\"$id\",\"fault\":\"lose\"}"; done
expect "an order whose answer is lost is not repeated: 502" \
	status_is 502 e1 /order/5 -d x
expect "it ran once" test "$(runs_of "$REQUEST_ID")" = 1
sleep 0.3 # until the log is written
expect "its story leads to the server" bash -c \
	"$BUILD/auburnreachctl trace $REQUEST_ID $OUT/*.log | grep -q 'why=broken verdict=may-have-run'"
expect "latencies are counted" bash -c \
	"curl -sf http://${METRICS[e1]}/metrics | grep -q 'request_seconds_count{outcome=\"failed\"} [1-9]'"
for id in s1 s2 s3; do steer /fault "{\"id\":\"$id\",\"fault\":\"cut\"}"; done
expect "a cut answer is no success: 502" status_is 502 e1 /order/6 -d x
for id in s1 s2 s3; do steer /fault "{\"id\":\"$id\",\"fault\":\"unstamped\"}"; done
expect "an answer without a stamp is no success" status_is 502 e1 /order/7 -d x
for id in s1 s2 s3; do steer /fault "{\"id\":\"$id\",\"fault\":\"refuse\"}"; done
expect "an order that all refuse was not run: 503" status_is 503 e1 /order/8 -d x
expect "and says when to return" grep -qi '^Retry-After: [0-9]' "$OUT/head"
for id in s1 s2 s3; do steer /fault "{\"id\":\"$id\",\"fault\":\"none\"}"; done
sleep 9

steer /drain '{"id":"s1"}'
sleep 2.5
expect "a leaving server gets nothing" bash -c "
	for i in \$(seq 30); do curl -s -H 'Host: a.example' \
		-H \"Request-Id: d\$i\" http://${FRONT[e1]}/look/\$i; done | grep -c '^s1 ' | grep -qx 0"
steer /evacuate '{"domain":"fyn-b","on":true}'
sleep 1.5
expect "an evacuated failure domain gets nothing" bash -c "
	for i in \$(seq 20); do curl -s -H 'Host: a.example' \
		-H \"Request-Id: e\$i\" http://${FRONT[e1]}/look/\$i; done | grep -c '^s2 ' | grep -qx 0"
expect "other regions serve meanwhile" status_is 200 e1 /look/1
steer /evacuate '{"domain":"fyn-b","on":false}'
sleep 4 # until its servers are no longer taken as cold

config 00000002 "$ROUTES,$(route home /home/ idempotent reg '"fyn"')"
sleep 1.5
expect "a new route is in force" status_is 200 e3 /home/1
expect "and runs in its home" grep -q '^s2 ' "$OUT/body"
expect "and moves no other route out of the region" bash -c "
	for i in \$(seq 20); do curl -s -H 'Host: a.example' -H \"Request-Id: r\$i\" \
		-H \"Cookie: Affinity-Key=\$i\" http://${FRONT[e3]}/look/\$i; done | grep -c '^s3 ' | grep -qx 20"
steer /config '{"Version":"00000003","Routes":{}}'
config 00000001 "$(route look /look/ idempotent reg)"
sleep 1.5
expect "a torn configuration is refused, an older one ignored" \
	status_is 200 e3 /home/2
expect "and said so" logged e3 'configuration is refused'
expect "and said so too" logged e3 'older configuration is ignored'

for fault in busy silent reset; do
	steer /fault "{\"fault\":\"$fault\"}"
	sleep 5
	expect "with the store $fault requests are served" status_is 200 e1 /look/1
	expect "the loss of each watch was logged" \
		times_logged 3 e1 'store does not answer'
	steer /fault '{"fault":"sound"}'
	expect "and its return" fleet_wait 10 \
		times_logged 3 e1 'store answers again'
	: >"$OUT/e1.log"
done
steer /compact '{}'
config 00000004 "$ROUTES"
sleep 2
expect "after lost history the newest configuration is in force" \
	status_is 404 e1 /home/3
