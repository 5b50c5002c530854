#!/bin/bash
# Builds the programs of the cases that are scripts into target/review, after
# the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.c; do
	[ -e "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	gcc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -I review \
		-o "target/review/case-$number" "$source" review/standin.c \
		review/standin_store.c -ljansson -lpthread
done
