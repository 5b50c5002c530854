#include "console/form.h"

#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"
#include "http/http_server.h"

#define FORM_BYTES_MAX 65536

const char *form_get(const struct form *form, const char *name)
{
	int i;

	for (i = 0; i < form->field_count; i++)
		if (!strcmp(form->fields[i].name, name))
			return form->fields[i].value ? form->fields[i].value : "";
	return "";
}

bool form_read(struct mg_connection *connection, struct form *form)
{
	int64_t bytes;

	memset(form, 0, sizeof(*form));
	if (strcmp(mg_get_request_info(connection)->request_method, "POST") != 0) {
		http_reply_error(connection, 405, "Allow: POST\r\n",
				 "this page accepts only POST requests",
				 "begin at the console's first page");
		return false;
	}
	bytes = http_read_body(connection, FORM_BYTES_MAX, &form->text);
	if (bytes >= 0)
		form->field_count =
			mg_split_form_urlencoded(form->text, form->fields,
						 ARRAY_SIZE(form->fields));
	if (bytes >= 0 && form->field_count >= 0)
		return true;
	http_reply_error(connection, 400, NULL, "the form cannot be parsed",
			 "submit it from a page of the console");
	free(form->text);
	return false;
}
