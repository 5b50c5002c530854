# The console: credentials, posts from elsewhere, escaping, review, races, TLS.
. "$(dirname "$0")/lib.sh"
small_fleet
fleet_port
CONSOLE=127.0.0.1:$PORT
openssl req -x509 -newkey rsa:2048 -nodes -keyout "$OUT/key.pem" \
	-out "$OUT/cert.pem" -days 2 -subj /CN=localhost 2>/dev/null ||
	die "no certificate"
cat "$OUT/cert.pem" "$OUT/key.pem" >"$OUT/both.pem"
hash=$(echo secret | "$BUILD/auburnreach-console" --hash)
cat >"$OUT/console.json" <<-EOF
{"listen": "$CONSOLE", "certificate": "$OUT/both.pem", "store": "$STORE",
 "entry": "${ENTRY_ADDRESS[e1]}",
 "operators": [{"name": "anna", "password_hash": "$hash"}]}
EOF
fleet_spawn "$OUT/console.log" "$BUILD/auburnreach-console" --config "$OUT/console.json"

ask() {
	curl -sk --cacert "$OUT/cert.pem" "$@"
}

page() {
	local path=$1
	shift
	ask -u anna:secret "$@" "https://$CONSOLE$path"
}

code() {
	ask -o "$OUT/last.html" -w '%{http_code}' "$@"
}

expect "it answers over TLS" fleet_wait 10 ask -o /dev/null "https://$CONSOLE/"
expect "no credential, no page" test "$(code "https://$CONSOLE/")" = 401
expect "a wrong password neither" \
	test "$(code -u anna:wrong "https://$CONSOLE/")" = 401
expect "the fleet's state is shown" \
	bash -c "curl -sk -u anna:secret https://$CONSOLE/ | grep -q 'in force on 4 of 4'"
for path in /steering /backends /entries /services /links /history; do
	expect "page $path" test "$(code -u anna:secret "https://$CONSOLE$path")" = 200
done
token=$(page /backends | grep -o 'name="token" value="[^"]*"' | head -1 |
	sed 's/.*value="//; s/"//')
expect "forms carry a token" test -n "$token"
drain="change=backend&name=c1&leaving=yes&base_version=1"
expect "a post without the token is refused" \
	test "$(code -u anna:secret -d "$drain" "https://$CONSOLE/publish")" = 403
expect "a post from another site is refused" \
	test "$(code -u anna:secret -H 'Origin: https://elsewhere.example' \
		-d "token=$token&$drain" "https://$CONSOLE/publish")" = 403
expect "a browser's cross-site post is refused" \
	test "$(code -u anna:secret -H 'Sec-Fetch-Site: cross-site' \
		-d "token=$token&$drain" "https://$CONSOLE/publish")" = 403
page /review -d "token=$token&$drain" >"$OUT/review.html"
expect "the review shows the difference" \
	grep -q 'backends\[c1\].leaving</td><td>false</td><td>true' "$OUT/review.html"
expect "it is published" \
	test "$(code -u anna:secret -d "token=$token&$drain&comment=<i>x</i>" \
		"https://$CONSOLE/publish")" = 200
undo="change=backend&name=c1&leaving=no&base_version=1"
expect "a race is a conflict" \
	test "$(code -u anna:secret -d "token=$token&$undo" \
		"https://$CONSOLE/publish")" = 409
expect "shown field by field" grep -q 'backends\[c1\].leaving' "$OUT/last.html"
page /history >"$OUT/history.html"
expect "comments are escaped" grep -q '&lt;i&gt;x&lt;/i&gt;' "$OUT/history.html"
refuse "and never raw" grep -q '<i>x</i>' "$OUT/history.html"
expect "version 2 is in force" fleet_wait 9 fleet_in_force 2 4 "${ENTRY_ADDRESS[e1]}"
