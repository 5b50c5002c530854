#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 and up start, into
# target-review/. They need the C library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target-review
for source in review/[6-9]/standin.c review/10/standin.c; do
	[ -f "$source" ] || continue
	name=$(basename "$(dirname "$source")")
	"${CC:-cc}" -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra \
		-Wno-format-truncation -Wno-unused-function -pthread -I review/6 \
		-o "target-review/standin-$name" "$source"
done
