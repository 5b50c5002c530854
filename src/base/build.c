#include "base/build.h"

const char *build_commit(void)
{
	return *ABR_COMMIT ? ABR_COMMIT : "unknown";
}

void build_write_metric(GString *text)
{
	g_string_append_printf(
		text,
		"# TYPE auburnreach_build info\n"
		"# HELP auburnreach_build what the program was built from\n"
		"auburnreach_build_info{version=\"%s\",commit=\"%s\"} 1\n",
		ABR_VERSION, build_commit());
}
