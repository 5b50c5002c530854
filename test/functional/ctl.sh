# The command line: exit codes, errors, races of operators, lost answers.
. "$(dirname "$0")/lib.sh"

expect "--help" bash -c "$CTL --help | grep -q 'Exit codes'"
expect "--version" bash -c "$CTL --version | grep -q '^auburnreachctl [0-9]'"
$CTL nonsense 2>/dev/null
expect "an unknown command is wrong use" test $? -eq 2
$CTL publish x 2>/dev/null
expect "a missing store is wrong use" test $? -eq 2
echo '{"version": 1, "regoins": []}' >"$OUT/bad.json"
$CTL check "$OUT/bad.json" 2>"$OUT/bad.txt"
expect "a bad document exits with 2" test $? -eq 2
expect "it names the unknown key" grep -q '^regoins: is not a known key' "$OUT/bad.txt"
expect "it names the missing one" grep -q '^services: is missing' "$OUT/bad.txt"
for file in examples/*.json; do
	expect "$file is valid" $CTL check "$file"
done
expect "the committed schema is the program's" \
	cmp <($CTL schema) docs/document.schema.json

echo '{"name": "x", "listen": "nowhere", "colour": 1}' >"$OUT/settings.json"
"$BUILD/auburnreachd" --config "$OUT/settings.json" 2>"$OUT/settings.txt"
expect "bad settings exit with 2" test $? -eq 2
expect "they name the field" grep -q '^listen: "nowhere" is not an address' "$OUT/settings.txt"
expect "and the unknown key" grep -q '^colour: is not a known key' "$OUT/settings.txt"

small_fleet
export AUBURNREACH_STORE=$STORE AUBURNREACH_ENTRY=${ENTRY_ADDRESS[e1]}
expect "a second publication from version 1" $CTL drain c1
refuse "a publication from an old version" $CTL publish "$OUT/document.json" 2>"$OUT/race.txt"
expect "shows the field that changed" grep -q 'backends\[c1\].leaving: false -> true' "$OUT/race.txt"
expect "shares that do not sum up exit with 2" bash -c \
	"$CTL shift cleft fyn fyn=900 jylland=50 2>/dev/null; test \$? -eq 2"

store_fault lose-answers
expect "a lost answer is resolved by reading back" $CTL drain c1 --undo
store_fault none
expect "it was published once" test "$($CTL history | wc -l)" -eq 3
store_fault down
refuse "nothing is published while the store is down" $CTL drain c2 2>/dev/null
store_fault none
expect "version 3 is in force everywhere" \
	fleet_wait 9 fleet_in_force 3 4 "${ENTRY_ADDRESS[e4]}"

id=$(curl -si "http://${ENTRY_ADDRESS[e1]}/cleft/x" | tr -d '\r' |
	sed -n 's/^Auburnreach-Request-Id: //p')
expect "a request is explained" bash -c "$CTL explain $id | grep -q 'verdict=ran'"
refuse "an unknown one is not" $CTL explain no-such-request 2>/dev/null
