# The operator console: credentials, cross-site requests, HTML escaping, review
# of changes, conflicting changes and TLS.
. "$(dirname "$0")/lib.sh"
start_small_fleet
fleet_port
CONSOLE=127.0.0.1:$PORT
openssl req -x509 -newkey rsa:2048 -nodes -keyout "$OUT/key.pem" \
	-out "$OUT/cert.pem" -days 2 -subj /CN=localhost 2>/dev/null ||
	die "openssl cannot create a certificate"
cat "$OUT/cert.pem" "$OUT/key.pem" >"$OUT/both.pem"
hash=$(echo secret | "$BUILD/auburnreach-console" --hash)
cat >"$OUT/console.json" <<-EOF
{"listen": "$CONSOLE", "certificate": "$OUT/both.pem", "store": "$STORE",
 "entry": "${ENTRY_ADDRESS[e1]}",
 "operators": [{"name": "anna", "password_hash": "$hash"}]}
EOF
fleet_spawn "$OUT/console.log" "$BUILD/auburnreach-console" --config "$OUT/console.json"

curl_console() {
	curl -sk --cacert "$OUT/cert.pem" "$@"
}

fetch_page() {
	local path=$1
	shift
	curl_console -u anna:secret "$@" "https://$CONSOLE$path"
}

http_code() {
	curl_console -o "$OUT/last.html" -w '%{http_code}' "$@"
}

expect "the console responds over TLS" \
	fleet_wait 10 curl_console -o /dev/null "https://$CONSOLE/"
expect "a request without credentials gets 401" \
	test "$(http_code "https://$CONSOLE/")" = 401
expect "a wrong password gets 401" \
	test "$(http_code -u anna:wrong "https://$CONSOLE/")" = 401
expect "the start page shows the version in force" \
	bash -c "curl -sk -u anna:secret https://$CONSOLE/ | grep -q 'in force on 4 of 4'"
for path in /steering /backends /entries /services /links /history; do
	expect "page $path gets 200" \
		test "$(http_code -u anna:secret "https://$CONSOLE$path")" = 200
done
token=$(fetch_page /backends | grep -o 'name="token" value="[^"]*"' | head -1 |
	sed 's/.*value="//; s/"//')
expect "forms contain a CSRF token" test -n "$token"
drain="change=backend&name=c1&leaving=yes&base_version=1"
expect "a POST without the token gets 403" \
	test "$(http_code -u anna:secret -d "$drain" "https://$CONSOLE/publish")" = 403
expect "a POST with a foreign Origin header gets 403" \
	test "$(http_code -u anna:secret -H 'Origin: https://elsewhere.example' \
		-d "token=$token&$drain" "https://$CONSOLE/publish")" = 403
expect "a POST with Sec-Fetch-Site: cross-site gets 403" \
	test "$(http_code -u anna:secret -H 'Sec-Fetch-Site: cross-site' \
		-d "token=$token&$drain" "https://$CONSOLE/publish")" = 403
fetch_page /review -d "token=$token&$drain" >"$OUT/review.html"
expect "the review shows the changed field" \
	grep -q 'backends\[c1\].leaving</td><td>false</td><td>true' "$OUT/review.html"
expect "the reviewed change is published" \
	test "$(http_code -u anna:secret -d "token=$token&$drain&comment=<i>x</i>" \
		"https://$CONSOLE/publish")" = 200
undo="change=backend&name=c1&leaving=no&base_version=1"
expect "a change based on an old version gets 409" \
	test "$(http_code -u anna:secret -d "token=$token&$undo" \
		"https://$CONSOLE/publish")" = 409
expect "the conflict page names the changed field" \
	grep -q 'backends\[c1\].leaving' "$OUT/last.html"
fetch_page /history >"$OUT/history.html"
expect "the history escapes HTML in comments" \
	grep -q '&lt;i&gt;x&lt;/i&gt;' "$OUT/history.html"
expect_failure "the history has no unescaped HTML from comments" \
	grep -q '<i>x</i>' "$OUT/history.html"
expect "version 2 is in force" fleet_wait 9 fleet_in_force 2 4 "${ENTRY_ADDRESS[e1]}"
