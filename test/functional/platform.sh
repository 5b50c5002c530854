# Entry VMs on the stand-in platform, end to end: requests, limits, directory,
# server faults, drain and evacuation, configurations, and faults of the store.
. "$(dirname "$0")/platform_lib.sh"
platform_start
server s1 reg fyn-a 4 30
server s2 reg fyn-b 4 30
server s3 reg jyl-a 4 30
vm e1 fyn fyn-a
vm e2 fyn fyn-b
vm e3 jyl jyl-a

fleet_wait 10 curl -sf -o /dev/null "http://${DIRECTORY[e1]}/resolve" ||
	die "the directory does not respond"
expect "a VM without a configuration is not ready" bash -c \
	"! curl -sf http://${READY[e1]}/ready"
expect "a VM without a configuration responds with 503, not 404" \
	responds_with 503 e1 /look/1
ROUTES="$(route look /look/ idempotent reg),$(route order /order/ non_idempotent reg)"
config 00000001 "$ROUTES"
for name in e1 e2 e3; do
	expect "$name is ready" fleet_wait 10 is_ready $name
done

expect "a request gets 200" responds_with 200 e1 "/look/a%20b/?x=1&y=%2F"
expect "the server receives path and query unchanged" \
	grep -q "GET /look/a%20b/?x=1&y=%2F" "$OUT/body"
expect "the response has the request's id" \
	grep -qi "^Request-Id: $REQUEST_ID" "$OUT/head"
expect "the response has the server's stamp" grep -qi '^Response-Stamp: s1' "$OUT/head"
expect "a server of the local region responds" grep -qE '^s[12] ' "$OUT/body"
expect "an order with a body gets 200" \
	responds_with 200 e1 /order/1 -d 'twelve rolls of film'
expect "the server receives the body unchanged" \
	grep -q '^twelve rolls of film$' "$OUT/body"
expect "an order with a chunked body gets 200" responds_with 200 e1 /order/2 \
	-H 'Transfer-Encoding: chunked' -d 'in pieces'
expect "the server receives the chunked body unchanged" \
	grep -q '^in pieces$' "$OUT/body"
expect "a HEAD request gets 200" responds_with 200 e1 /look/h -I
expect "requests for one object go to one server" bash -c "
	for i in 1 2 3 4 5 6; do for vm in ${FRONT[e1]} ${FRONT[e2]}; do
		curl -s -H 'Host: a.example' -H \"Request-Id: o-\$i-\$vm\" \
			-H 'Cookie: Affinity-Key=9' http://\$vm/look/o | cut -d' ' -f1
	done; done | sort -u | wc -l | grep -qx 1"

expect "a path without a route gets 404" responds_with 404 e1 /nothing
HOST_NAME=b.example
expect "an unknown host gets 404" responds_with 404 e1 /look/1
HOST_NAME=a.example
expect "two Host headers get 400" bash -c \
	"printf 'GET /look/1 HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\nRequest-Id: h\r\n\r\n' |
	timeout 5 curl -s --no-buffer telnet://${FRONT[e1]} | head -1 | grep -q ' 400 '"
expect "headers that are too large get 431" responds_with 431 e1 /look/1 \
	-H "X: $(printf 'x%.0s' $(seq 3000))"
expect "a body that is too large gets 413" bash -c \
	"head -c 200000 /dev/zero | curl -s -o /dev/null -w '%{http_code}' \
	-H 'Host: a.example' -H 'Request-Id: big' -H 'Expect:' --data-binary @- \
	http://${FRONT[e1]}/order/3 | grep -qx 413"
expect "Content-Length beside Transfer-Encoding gets 400" bash -c \
	"printf 'POST /order/4 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: smuggle\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /look/x HTTP/1.1\r\n\r\n' |
	timeout 5 curl -s --no-buffer telnet://${FRONT[e1]} | head -1 | grep -q ' 400 '"
expect "the request with two lengths did not run" test "$(count_runs smuggle)" = 0
expect "headers that do not arrive in time get 408" bash -c \
	"(printf 'GET /look/1 HTTP/1.1\r\nHost: a'; sleep 4) | timeout 5 curl -s --no-buffer telnet://${FRONT[e1]} | head -1 | grep -q ' 408 '"

expect "the directory returns VMs of the caller's region" bash -c \
	"curl -sf 'http://${DIRECTORY[e1]}/resolve?Name=a.example&Region=jyl&Zone=jyl-a' | grep -q '\[\"${FRONT[e3]}\"\]'"
expect "metrics are served" bash -c \
	"curl -sf http://${METRICS[e1]}/metrics | grep -q '^auburnreach_requests_total [1-9]'"

for id in s1 s2 s3; do steer /fault "{\"id\":\"$id\",\"fault\":\"lose\"}"; done
expect "an order whose response is lost is not retried and gets 502" \
	responds_with 502 e1 /order/5 -d x
expect "the order ran once" test "$(count_runs "$REQUEST_ID")" = 1
sleep 0.3 # until the log is written
expect "trace shows the failed attempt and its verdict" bash -c \
	"$BUILD/auburnreachctl trace $REQUEST_ID $OUT/*.log | grep -q 'why=broken verdict=may-have-run'"
expect "the latency of failed requests is counted" bash -c \
	"curl -sf http://${METRICS[e1]}/metrics | grep -q 'request_seconds_count{outcome=\"failed\"} [1-9]'"
for id in s1 s2 s3; do steer /fault "{\"id\":\"$id\",\"fault\":\"cut\"}"; done
expect "an order with an incomplete response gets 502" \
	responds_with 502 e1 /order/6 -d x
for id in s1 s2 s3; do steer /fault "{\"id\":\"$id\",\"fault\":\"unstamped\"}"; done
expect "an order whose response has no stamp gets 502" \
	responds_with 502 e1 /order/7 -d x
for id in s1 s2 s3; do steer /fault "{\"id\":\"$id\",\"fault\":\"refuse\"}"; done
expect "an order that all servers refuse gets 503" responds_with 503 e1 /order/8 -d x
expect "the response has a Retry-After header" \
	grep -qi '^Retry-After: [0-9]' "$OUT/head"
for id in s1 s2 s3; do steer /fault "{\"id\":\"$id\",\"fault\":\"none\"}"; done
sleep 9

steer /drain '{"id":"s1"}'
sleep 2.5
expect "a draining server gets no requests" bash -c "
	for i in \$(seq 30); do curl -s -H 'Host: a.example' \
		-H \"Request-Id: d\$i\" http://${FRONT[e1]}/look/\$i; done | grep -c '^s1 ' | grep -qx 0"
steer /evacuate '{"domain":"fyn-b","on":true}'
sleep 1.5
expect "an evacuated failure domain gets no requests" bash -c "
	for i in \$(seq 20); do curl -s -H 'Host: a.example' \
		-H \"Request-Id: e\$i\" http://${FRONT[e1]}/look/\$i; done | grep -c '^s2 ' | grep -qx 0"
expect "requests get 200 while the region has no usable server" \
	responds_with 200 e1 /look/1
steer /evacuate '{"domain":"fyn-b","on":false}'
sleep 4 # until its servers have left their cold start

config 00000002 "$ROUTES,$(route home /home/ idempotent reg '"fyn"')"
sleep 1.5
expect "a new route gets 200" responds_with 200 e3 /home/1
expect "the new route runs in its home region" grep -q '^s2 ' "$OUT/body"
expect "other routes stay in the local region" bash -c "
	for i in \$(seq 20); do curl -s -H 'Host: a.example' -H \"Request-Id: r\$i\" \
		-H \"Cookie: Affinity-Key=\$i\" http://${FRONT[e3]}/look/\$i; done | grep -c '^s3 ' | grep -qx 20"
steer /config '{"Version":"00000003","Routes":{}}'
config 00000001 "$(route look /look/ idempotent reg)"
sleep 1.5
expect "an incomplete and an older configuration leave the routes in force" \
	responds_with 200 e3 /home/2
expect "the refusal of the incomplete configuration is logged" \
	has_logged e3 'configuration is refused'
expect "ignoring the older configuration is logged" \
	has_logged e3 'older configuration is ignored'

for fault in busy silent reset; do
	steer /fault "{\"fault\":\"$fault\"}"
	sleep 5
	expect "with the store $fault requests get 200" responds_with 200 e1 /look/1
	expect "the failure of each of the three watches is logged" \
		has_logged_times 3 e1 'store does not answer'
	steer /fault '{"fault":"sound"}'
	expect "the recovery of each watch is logged" fleet_wait 10 \
		has_logged_times 3 e1 'store answers again'
	: >"$OUT/e1.log"
done
steer /compact '{}'
config 00000004 "$ROUTES"
sleep 2
expect "after the store compacts its history the newest configuration is in force" \
	responds_with 404 e1 /home/3
