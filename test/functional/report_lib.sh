# Reporting helpers shared by the functional tests.

# die MESSAGE...: ends the test as failed.
die() {
	echo "FAILED: $*"
	exit 1
}

# expect DESCRIPTION COMMAND...: the command must succeed.
expect() {
	local what=$1
	shift
	"$@" || die "$what"
	echo "ok: $what"
}
