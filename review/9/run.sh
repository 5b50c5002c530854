#!/bin/bash
# An entry VM that is being stopped cuts off answers that their callers read slowly,
# two seconds after it has received them. TROUBLE=0: without the disruption.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/auburnreach-entry ] && [ -x target-review/standin-9 ] || {
	echo "build first: the deploy file's build, then review/build-2.sh"
	exit 2
}
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target-review/standin-9 "$folder" review/9/record.txt target/auburnreach-entry
code=$?
grep -E 'BROKEN|total' review/9/record.txt
exit $code
