#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "ctl/ctl_defs.h"
#include "http/http_client.h"

#define ENTRY_TIMEOUT_MS 3000
#define RESPONSE_BYTES_MAX (16 * 1024 * 1024)

enum ctl_exit ctl_fail(enum ctl_exit code, const char *format, ...)
{
	va_list args;

	fprintf(stderr, CTL_PROGRAM ": ");
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fprintf(stderr, "\n");
	return code;
}

void ctl_print_json(json_t *value)
{
	json_dumpf(value, stdout, JSON_INDENT(2) | JSON_ENCODE_ANY);
	printf("\n");
	json_decref(value);
}

json_t *ctl_query_entry(struct ctl *ctl, const char *path, bool quiet)
{
	struct http_request request = {
		.method = "GET",
		.path = path,
		.response_bytes_max = RESPONSE_BYTES_MAX,
		.deadline_ns = clock_now_ns(&clock_system) +
			       ENTRY_TIMEOUT_MS * NS_PER_MS,
	};
	struct http_connection *connection =
		http_connect(ctl->entry, request.deadline_ns);
	struct http_response response = { 0 };
	json_t *value = NULL;

	if (connection &&
	    http_exchange(connection, &request, &response) == HTTP_COMPLETE)
		value = json_loadb(response.body ? response.body : "",
				   response.body_bytes, 0, NULL);
	if (!value && !quiet)
		ctl_fail(CTL_FAILED, "entry VM %s does not respond", ctl->entry);
	http_response_clear(&response);
	http_close(connection);
	return value;
}
