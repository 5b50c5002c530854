# How functional tests report their steps.

die() {
	echo "FAILED: $*"
	exit 1
}

# expect WHAT COMMAND...: the command must succeed.
expect() {
	local what=$1
	shift
	"$@" || die "$what"
	echo "ok: $what"
}
