#!/bin/bash
# Guards against code that builds with the options of the tests only: runs the
# build command of deploy/system.toml, which optimizes further, in a copy.
cd "$(dirname "$0")/../.." || exit 2
copy=$(realpath "${1:-build}")/release_build
rm -rf "$copy"
mkdir -p "$copy"
command=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$command" ] || {
	echo "FAILED: deploy/system.toml has no build command"
	exit 1
}
git ls-files -z CMakeLists.txt src platform test standin soak bench demo |
	xargs -0 cp --parents -t "$copy"
cd "$copy" && bash -c "$command"
