# Workspaces and their keys: which requests are refused, what reaches servers,
# a key that is removed, and that no key is logged or shown.
. "$(dirname "$0")/platform_lib.sh"
KEY=secret-one
OTHER_KEY=secret-two
platform_start
server s1 reg fyn-a 4 30
vm e1 fyn fyn-a debug # logs all that may be logged
anonymous() {
	local text
	text=$(route open /open/ idempotent reg)
	echo "${text%\}},\"AllowAnonymous\":true}"
}
ROUTES="$(route look /look/ idempotent reg),$(route put /put/ upload reg),$(anonymous)"
# config_with_tenants VERSION TENANTS: publishes a configuration.
config_with_tenants() {
	config "$1" "$ROUTES" "},\"Tenants\":{$2"
}
has_seen() {
	grep -qi "^Seen-Tenant-Id: $1"$'\r' "$OUT/head"
}
# lines_are COUNT PATTERN FILE
lines_are() {
	[ "$(grep -ci "$2" "$3")" = "$1" ]
}
runs_nowhere() {
	[ "$(count_runs "$REQUEST_ID")" = 0 ]
}
KEY_HEADER="Authorization: Bearer $KEY"

fleet_wait 10 curl -sf -o /dev/null "http://${DIRECTORY[e1]}/resolve" ||
	die "the directory does not respond"
expect "a VM without a configuration responds with 503, not 401" \
	responds_with 503 e1 /look/1
config_with_tenants 00000001 "\"dairy\":{\"ApiKeys\":[\"$KEY\"]},\"mill\":{\"ApiKeys\":[\"$OTHER_KEY\"],\"Priority\":0}"
expect "e1 is ready" fleet_wait 10 is_ready e1

expect "a request without a key gets 401" responds_with 401 e1 /look/1
expect "the response asks for a key" grep -qi '^WWW-Authenticate: Bearer' "$OUT/head"
expect "it did not run" runs_nowhere
expect "an unknown key gets 401" \
	responds_with 401 e1 /look/1 -H "Authorization: Bearer $KEY-x"
expect "another scheme gets 401" responds_with 401 e1 /look/1 -u "$KEY:$KEY"
expect "a name without a key gets 401" \
	responds_with 401 e1 /look/1 -H 'Tenant-Id: dairy'
expect "two different keys get 401" responds_with 401 e1 /look/1 \
	-H "$KEY_HEADER" -H "Authorization: Bearer $OTHER_KEY"
expect "an unknown route gets 404 without a key" responds_with 404 e1 /none/1
expect "an unknown route gets 404 with a key" \
	responds_with 404 e1 /none/1 -H "$KEY_HEADER"
expect "an upload without a key gets 401" \
	responds_with 401 e1 /put/1 -d 'twelve rolls of film'
expect "it did not run" runs_nowhere

expect "a key gets 200" responds_with 200 e1 /look/1 -H "$KEY_HEADER"
expect "the server gets the workspace" has_seen dairy
expect "the same key twice gets 200" responds_with 200 e1 /look/1 \
	-H "$KEY_HEADER" -H "authorization: Bearer $KEY"
expect "another key gets 200" responds_with 200 e1 /look/1 \
	-H "Authorization: bearer $OTHER_KEY" -H 'tenant-id: dairy' \
	-H 'Connection: Tenant-Id, Authorization'
expect "the server gets the key's workspace" has_seen mill
expect "and no other" lines_are 1 '^Seen-Tenant-Id' "$OUT/head"
expect "an upload with a key gets 200" responds_with 200 e1 /put/1 \
	-H "$KEY_HEADER" -d 'twelve rolls of film'
expect "no server gets a key" lines_are 0 '^Seen-Authorization' "$OUT/head"
expect "an anonymous request gets 200" \
	responds_with 200 e1 /open/1 -H 'Tenant-Id: dairy'
expect "the server gets no workspace" lines_are 0 '^Seen-' "$OUT/head"
expect "an anonymous route accepts an unknown key" \
	responds_with 200 e1 /open/1 -H 'Authorization: Bearer x'
expect "the server gets no workspace" lines_are 0 '^Seen-' "$OUT/head"
expect "an anonymous route accepts a key" \
	responds_with 200 e1 /open/1 -H "$KEY_HEADER"
expect "the server gets its workspace" has_seen dairy

# A connection that stays open while its key is removed.
ask() {
	printf 'GET /look/k HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n%s\r\n\r\n' \
		"$1" "$KEY_HEADER" >&9
	timeout 2 head -1 <&9 | cut -d' ' -f2
}
# drain: reads what is left of a response.
drain() {
	timeout 0.3 cat <&9 >/dev/null
}
exec 9<>"/dev/tcp/${FRONT[e1]%:*}/${FRONT[e1]#*:}"
expect "a kept connection's first request gets 200" test "$(ask kept1)" = 200
drain
config_with_tenants 00000002 "\"mill\":{\"ApiKeys\":[\"$OTHER_KEY\"]},\"dairy\":{\"ApiKeys\":[\"secret-new\"]}"
sleep 2
expect "a removed key gets 401 on a kept connection" test "$(ask kept2)" = 401
drain
exec 9>&-
expect "the request with the removed key did not run" test "$(count_runs kept2)" = 0
expect "the new key gets 200" \
	responds_with 200 e1 /look/1 -H 'Authorization: Bearer secret-new'

# Configurations that are refused leave the one before in force.
config_with_tenants 00000003 '"a":{"ApiKeys":["secret-same"]},"b":{"ApiKeys":["secret-same"]}'
sleep 1.5
expect "a key in two workspaces is refused" \
	has_logged e1 'configuration is refused.*Tenants\.b\.ApiKeys: another tenant'
config_with_tenants 00000004 '"a":{"ApiKeys":["secret-a",""]}'
sleep 1.5
expect "an empty key is refused" has_logged e1 'configuration is refused.*Tenants\.a\.ApiKeys: a key is empty'
expect "the configuration before is in force" \
	responds_with 200 e1 /look/1 -H 'Authorization: Bearer secret-new'
config_with_tenants 00000005 ''
sleep 1.5
expect "an empty table refuses every key" \
	responds_with 401 e1 /look/1 -H 'Authorization: Bearer secret-new'
config 00000006 "$ROUTES"
sleep 1.5
expect "without workspaces no key is needed" responds_with 200 e1 /look/1 \
	-H "$KEY_HEADER" -H 'Tenant-Id: any'
expect "and both headers are forwarded" lines_are 2 '^Seen-' "$OUT/head"

sleep 0.3 # until the log is written
expect "requests are logged with their workspace" \
	has_logged e1 'request answered.*workspace=dairy'
expect "requests without one are logged so" \
	has_logged e1 'request answered.*workspace=- .*status=401 why=no-key'
expect "refusals for the key are counted" bash -c \
	"curl -sf http://${METRICS[e1]}/metrics | grep -q '^auburnreach_refused_key_total [1-9]'"
curl -sf "http://${METRICS[e1]}/metrics" >"$OUT/shown"
curl -sf "http://${METRICS[e1]}/status" >>"$OUT/shown"
expect "no key is logged or shown" bash -c \
	"! grep -l secret- $OUT/e1.log $OUT/shown"
