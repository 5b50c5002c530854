#include "console/html.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "http/http_server.h"

#define SECURITY_HEADERS                                                  \
	"Cache-Control: no-store\r\n"                                     \
	"Content-Security-Policy: default-src 'none'; style-src 'self'; " \
	"form-action 'self'; base-uri 'none'; frame-ancestors 'none'\r\n" \
	"Referrer-Policy: same-origin\r\n"                                \
	"X-Content-Type-Options: nosniff\r\n"

/* longer values are truncated: the first publication contains entire lists */
#define SHOWN_VALUE_BYTES_MAX 300

const char html_style_sheet[] =
	"body{font:16px/1.5 system-ui,sans-serif;max-width:64rem;margin:0 auto;"
	"padding:1rem;color:#1c2733;background:#fbfbf9}"
	"nav a{margin-right:1rem}a{color:#0b5c8a}"
	"header{border-bottom:2px solid #0b5c8a;margin-bottom:1rem}"
	"h1{font-size:1.4rem}h2{font-size:1.1rem;margin-top:1.5rem}"
	"table{border-collapse:collapse;width:100%;margin:.5rem 0}"
	"th,td{text-align:left;padding:.3rem .6rem;border-bottom:1px solid "
	"#d8dcdf;vertical-align:top;overflow-wrap:anywhere}"
	"th{background:#eef2f4}label{display:inline-block;margin:.2rem .8rem "
	".2rem 0}input{font:inherit;padding:.15rem .3rem;max-width:8rem}"
	"input[type=text]{max-width:24rem}"
	"button{font:inherit;padding:.25rem .8rem;border:1px solid #0b5c8a;"
	"background:#0b5c8a;color:#fff;border-radius:.2rem}"
	".differences{table-layout:fixed}.differences th:last-child{width:6rem}"
	"form.inline{display:inline}"
	".bad{border-left:.3rem solid #b3261e;padding:.3rem .8rem;background:"
	"#fbeceb;white-space:pre-wrap}"
	".good{border-left:.3rem solid #2a7a3b;padding:.3rem .8rem;background:"
	"#ebf5ed}";

static const struct {
	const char *path;
	const char *name;
} nav_links[] = {
	{ "/", "Fleet" },
	{ "/steering", "Shifts" },
	{ "/backends", "Backend servers" },
	{ "/entries", "Entry VMs" },
	{ "/services", "Services" },
	{ "/links", "Links" },
	{ "/history", "History" },
};

void html_append_raw(GString *page, const char *html)
{
	g_string_append(page, html);
}

static void append_escaped(GString *page, const char *format, va_list args)
{
	char *text = g_strdup_vprintf(format, args);
	char *escaped = g_markup_escape_text(text, -1);

	g_string_append(page, escaped);
	g_free(escaped);
	g_free(text);
}

void html_append_text(GString *page, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	append_escaped(page, format, args);
	va_end(args);
}

void html_append_cell(GString *page, const char *format, ...)
{
	va_list args;

	html_append_raw(page, "<td>");
	va_start(args, format);
	append_escaped(page, format, args);
	va_end(args);
	html_append_raw(page, "</td>");
}

GString *html_page_begin(const char *title, const char *operator_name)
{
	GString *page = g_string_new("<!DOCTYPE html><html lang=\"en\"><head>"
				     "<meta charset=\"utf-8\"><meta "
				     "name=\"viewport\" content=\"width="
				     "device-width\"><title>");
	size_t i;

	html_append_text(page, "%s", title);
	html_append_raw(page, " - auburnreach</title><link rel=\"stylesheet\" "
			      "href=\"/style.css\"></head><body><header><h1>");
	html_append_text(page, "%s", title);
	html_append_raw(page, "</h1><nav>");
	for (i = 0; i < ARRAY_SIZE(nav_links); i++)
		g_string_append_printf(page, "<a href=\"%s\">%s</a>",
				       nav_links[i].path, nav_links[i].name);
	html_append_text(page, "operator: %s", operator_name);
	html_append_raw(page, "</nav></header><main>");
	return page;
}

void html_page_send(struct mg_connection *connection, uint32_t status,
		    GString *page)
{
	html_append_raw(page, "</main></body></html>\n");
	http_reply(connection, status, "text/html; charset=utf-8",
		   SECURITY_HEADERS, page->str, (uint32_t)page->len);
	g_string_free(page, TRUE);
}

static void append_attribute(GString *page, const char *name, const char *value)
{
	g_string_append_printf(page, " %s=\"", name);
	html_append_text(page, "%s", value);
	g_string_append_c(page, '"');
}

void html_append_hidden_input(GString *page, const char *name, const char *value)
{
	html_append_raw(page, "<input type=\"hidden\"");
	append_attribute(page, "name", name);
	append_attribute(page, "value", value);
	html_append_raw(page, ">");
}

void html_form_begin(GString *page, const char *action, const char *token)
{
	g_string_append_printf(page,
			       "<form class=\"inline\" method=\"post\" "
			       "action=\"%s\">",
			       action);
	html_append_hidden_input(page, "token", token);
}

void html_form_end(GString *page, const char *button)
{
	html_append_raw(page, "<button>");
	html_append_text(page, "%s", button);
	html_append_raw(page, "</button></form>");
}

void html_append_input(GString *page, const char *label, const char *name,
		       const char *type, const char *value)
{
	html_append_raw(page, "<label>");
	html_append_text(page, "%s ", label);
	html_append_raw(page, "<input");
	append_attribute(page, "type", type);
	append_attribute(page, "name", name);
	append_attribute(page, "value", value);
	html_append_raw(page, "></label>");
}

/** Appends a cell with a value, truncated if it is long. */
static void append_value_cell(GString *page, json_t *value)
{
	char *text = json_is_null(value)
			     ? NULL
			     : json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

	html_append_cell(page, "%.*s%s", SHOWN_VALUE_BYTES_MAX,
			 text ? text : "(absent)",
			 text && strlen(text) > SHOWN_VALUE_BYTES_MAX ? " ..."
								      : "");
	free(text);
}

void html_append_differences(GString *page, json_t *differences,
			     const char *author)
{
	const char *item_author;
	json_t *item;
	size_t i;

	html_append_raw(page, "<table class=\"differences\"><tr><th>Field</th><th>"
			      "Before</th><th>After</th><th>Author</th></tr>");
	json_array_foreach (differences, i, item) {
		item_author = json_string_value(json_object_get(item, "author"));
		html_append_raw(page, "<tr>");
		html_append_cell(page, "%s",
				 json_string_value(json_object_get(item, "path")));
		append_value_cell(page, json_object_get(item, "old"));
		append_value_cell(page, json_object_get(item, "new"));
		html_append_cell(page, "%s", item_author ? item_author : author);
		html_append_raw(page, "</tr>");
	}
	html_append_raw(page, "</table>");
}
