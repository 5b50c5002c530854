#include "check/finding.h"

#include <stdarg.h>

static void finding_free(void *data)
{
	struct finding *finding = data;

	g_free(finding->path);
	g_free(finding->text);
	g_free(finding);
}

struct findings *findings_new(void)
{
	struct findings *findings = g_new0(struct findings, 1);

	findings->items = g_ptr_array_new_with_free_func(finding_free);
	return findings;
}

void findings_free(struct findings *findings)
{
	if (!findings)
		return;
	g_ptr_array_free(findings->items, TRUE);
	g_free(findings);
}

/* A finding is printed as one line; names in it are the operator's. */
static void replace_control_characters(char *text)
{
	for (; *text; text++)
		if ((unsigned char)*text < ' ' || *text == 0x7f)
			*text = '?';
}

void findings_add(struct findings *findings, enum finding_severity severity,
		  const char *path, const char *format, ...)
{
	struct finding *finding = g_new0(struct finding, 1);
	va_list args;

	va_start(args, format);
	finding->text = g_strdup_vprintf(format, args);
	va_end(args);
	finding->path = g_strdup(path);
	finding->severity = severity;
	replace_control_characters(finding->path);
	replace_control_characters(finding->text);
	g_ptr_array_add(findings->items, finding);
	findings->counts[severity]++;
}

const char *finding_severity_name(enum finding_severity severity)
{
	static const char *const names[] = { "error", "warning", "change" };

	return names[severity];
}
