# auburnreachctl: exit codes, error messages, conflicting publications and lost
# responses of the store.
. "$(dirname "$0")/lib.sh"

expect "--help lists the exit codes" bash -c "$CTL --help | grep -q 'Exit codes'"
expect "--version prints the version" \
	bash -c "$CTL --version | grep -q '^auburnreachctl [0-9]'"
$CTL nonsense 2>/dev/null
expect "an unknown command exits with 2" test $? -eq 2
$CTL publish x 2>/dev/null
expect "a missing store address exits with 2" test $? -eq 2
echo '{"version": 1, "regoins": []}' >"$OUT/bad.json"
$CTL check "$OUT/bad.json" 2>"$OUT/bad.txt"
expect "an invalid document exits with 2" test $? -eq 2
expect "the error names the unknown key" \
	grep -q '^regoins: is not a known key' "$OUT/bad.txt"
expect "the error names the missing key" grep -q '^services: is missing' "$OUT/bad.txt"
for file in examples/*.json; do
	expect "$file is valid" $CTL check "$file"
done
expect "docs/document.schema.json equals the schema that the program prints" \
	cmp <($CTL schema) docs/document.schema.json

cat >"$OUT/config.json" <<'END'
{"Version": "00000002",
 "Services": {"reg": {"HealthPath": "/", "MaxConns": 8, "ColdStartS": 0, "ColdPerS": 1}},
 "Routes": {"look": {"Host": "a.example", "Prefix": "/look/", "Kind": "idempotent",
  "TimeoutMs": 1200, "TargetLatencyMs": 600, "Service": "reg", "MaxAttempts": 2}},
 "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 9, "HeaderTimeoutMs": 3000,
  "IdleTimeoutMs": 15000},
 "Tenants": {"dairy": {"ApiKeys": ["SECRET"]}}}
END
sed 's/00000002/00000001/; s/"SECRET"/"SECRET", "k2"/' "$OUT/config.json" >"$OUT/config-1.json"
sed 's/1200/0/; s/"SECRET"/"SECRET" "k2"/' "$OUT/config.json" >"$OUT/no-json.json"
expect "a valid configuration exits with 0" \
	$CTL check-config "$OUT/config.json" --in-force "$OUT/config-1.json" >"$OUT/changes.txt"
expect "changed keys are shown as counts" \
	grep -q '^change Tenants.dairy.ApiKeys: changed from "2 keys' "$OUT/changes.txt"
$CTL check-config "$OUT/config-1.json" --in-force "$OUT/config.json" >>"$OUT/changes.txt"
expect "an older configuration than the one in force exits with 1" test $? -eq 1
$CTL check-config "$OUT/no-json.json" >>"$OUT/changes.txt" 2>&1
expect "a configuration that is not JSON exits with 1" test $? -eq 1
$CTL check-config "$OUT/config.json" --in-force "$OUT/no-json.json" >>"$OUT/changes.txt" 2>&1
expect "a version in force that is not JSON exits with 2" test $? -eq 2
$CTL check-config "$OUT/none.json" 2>/dev/null
expect "a missing file exits with 2" test $? -eq 2
expect_failure "no key is shown" grep -q SECRET "$OUT/changes.txt"

echo '{"name": "x", "listen": "nowhere", "colour": 1}' >"$OUT/settings.json"
"$BUILD/auburnreachd" --config "$OUT/settings.json" 2>"$OUT/settings.txt"
expect "invalid settings exit with 2" test $? -eq 2
expect "the error names the invalid field" \
	grep -q '^listen: "nowhere" is not an address' "$OUT/settings.txt"
expect "the error names the unknown setting" \
	grep -q '^colour: is not a known key' "$OUT/settings.txt"

start_small_fleet
export AUBURNREACH_STORE=$STORE AUBURNREACH_ENTRY=${ENTRY_ADDRESS[e1]}
expect "a change to version 1 is published" $CTL drain c1
expect_failure "a document based on an old version is not published" \
	$CTL publish "$OUT/document.json" 2>"$OUT/race.txt"
expect "the error shows the field that changed since" \
	grep -q 'backends\[c1\].leaving: false -> true' "$OUT/race.txt"
expect "shares with a wrong sum exit with 2" bash -c \
	"$CTL shift cleft fyn fyn=900 jylland=50 2>/dev/null; test \$? -eq 2"

set_store_fault lose-answers
expect "a change whose response is lost is confirmed by reading it back" \
	$CTL drain c1 --undo
set_store_fault none
expect "the change was published once" test "$($CTL history | wc -l)" -eq 3
set_store_fault down
expect_failure "a change is not published while the store is down" \
	$CTL drain c2 2>/dev/null
set_store_fault none
expect "version 3 is in force on all entry VMs" \
	fleet_wait 9 fleet_in_force 3 4 "${ENTRY_ADDRESS[e4]}"

id=$(curl -si "http://${ENTRY_ADDRESS[e1]}/cleft/x" | tr -d '\r' |
	sed -n 's/^Auburnreach-Request-Id: //p')
expect "explain prints the verdict of a request" \
	bash -c "$CTL explain $id | grep -q 'verdict=ran'"
expect_failure "explain fails for an unknown request id" \
	$CTL explain no-such-request 2>/dev/null
