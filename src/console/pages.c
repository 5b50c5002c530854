#include "console/pages.h"

#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "console/auth.h"
#include "console/change.h"
#include "console/html.h"
#include "http/http_client.h"
#include "store/publish.h"

#define ENTRY_TIMEOUT_MS 2000
#define RESPONSE_BYTES_MAX (4 * 1024 * 1024)

/** A page being built in response to one request. */
struct view {
	struct console *console;
	struct mg_connection *connection;
	const char *operator_name;
	char *token;
	json_t *doc;
	GString *page;
};

static const char *get_text(json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "";
}

static json_int_t get_number(json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

/** Starts a page. @return false if another response has been sent instead. */
static bool view_begin(struct view *view, struct mg_connection *connection,
		       void *context, const char *title, bool needs_doc)
{
	memset(view, 0, sizeof(*view));
	view->console = context;
	view->connection = connection;
	view->operator_name = auth_require_operator(context, connection);
	if (!view->operator_name)
		return false;
	if (needs_doc) {
		view->doc = change_read_document(context, connection,
						 view->operator_name);
		if (!view->doc)
			return false;
	}
	view->token = auth_form_token(context, view->operator_name);
	view->page = html_page_begin(title, view->operator_name);
	return true;
}

static int view_end(struct view *view)
{
	html_page_send(view->connection, 200, view->page);
	json_decref(view->doc);
	g_free(view->token);
	return 200;
}

/** Begins a form that submits one kind of change for review. */
static void begin_change_form(struct view *view, const char *change)
{
	html_form_begin(view->page, "/review", view->token);
	html_append_hidden_input(view->page, "change", change);
}

/** Queries the entry VM for the fleet's state. @return NULL on failure. */
static json_t *fetch_status(const struct console *console)
{
	struct http_request request = {
		.method = "GET",
		.path = "/v1/status",
		.response_bytes_max = RESPONSE_BYTES_MAX,
		.deadline_ns = clock_now_ns(&clock_system) +
			       ENTRY_TIMEOUT_MS * NS_PER_MS,
	};
	struct http_connection *connection =
		http_connect(console->settings.entry, request.deadline_ns);
	struct http_response response = { 0 };
	json_t *status = NULL;

	if (connection &&
	    http_exchange(connection, &request, &response) == HTTP_COMPLETE)
		status = json_loadb(response.body ? response.body : "",
				    response.body_bytes, 0, NULL);
	http_response_clear(&response);
	http_close(connection);
	return status;
}

static void append_version_status(struct view *view, json_t *status,
				  json_int_t version)
{
	json_int_t in_force = 0, total = 0;
	json_t *item;
	size_t i;

	json_array_foreach (json_object_get(status, "versions"), i, item) {
		total += get_number(item, "count");
		if (get_number(item, "version") >= version)
			in_force += get_number(item, "count");
	}
	html_append_raw(view->page, in_force == total && total
					    ? "<p class=\"good\">"
					    : "<p class=\"bad\">");
	html_append_text(view->page,
			 "Version %" JSON_INTEGER_FORMAT
			 " is in force on %" JSON_INTEGER_FORMAT
			 " of %" JSON_INTEGER_FORMAT " entry VMs.",
			 version, in_force, total);
	html_append_raw(view->page, "</p>");
}

static void append_members(struct view *view, json_t *status)
{
	json_t *item;
	size_t i;

	html_append_raw(view->page,
			"<h2>Entry VMs</h2><table><tr><th>Name</th><th>"
			"Failure domain</th><th>State</th><th>Address"
			"</th></tr>");
	json_array_foreach (json_object_get(status, "members"), i, item) {
		html_append_raw(view->page, "<tr>");
		html_append_cell(view->page, "%s", get_text(item, "name"));
		html_append_cell(view->page, "%s",
				 get_text(item, "failure_domain"));
		html_append_cell(view->page, "%s%s", get_text(item, "state"),
				 json_is_true(json_object_get(item, "leaving"))
					 ? ", leaving"
					 : "");
		html_append_cell(view->page, "%s", get_text(item, "address"));
		html_append_raw(view->page, "</tr>");
	}
	html_append_raw(view->page, "</table>");
}

int pages_fleet(struct mg_connection *connection, void *context)
{
	struct view view;
	json_t *status;

	if (strcmp(mg_get_request_info(connection)->local_uri, "/") != 0) {
		mg_send_http_error(connection, 404, "%s", "no such page");
		return 404;
	}
	if (!view_begin(&view, connection, context, "Fleet", true))
		return 200;
	status = fetch_status(view.console);
	if (status) {
		append_version_status(&view, status,
				      get_number(view.doc, "version"));
		append_members(&view, status);
	} else {
		html_append_raw(view.page, "<p class=\"bad\">The entry VM does not "
					   "respond: it is not known where the "
					   "document is in force.</p>");
	}
	json_decref(status);
	return view_end(&view);
}

static json_int_t get_share(json_t *steering, const char *region)
{
	json_t *share;
	size_t i;

	json_array_foreach (json_object_get(steering, "shares"), i, share)
		if (!strcmp(get_text(share, "to"), region))
			return get_number(share, "permille");
	return 0;
}

static void append_steering_form(struct view *view, json_t *steering)
{
	char name[96], value[24];
	json_t *region;
	size_t i;

	html_append_raw(view->page, "<h2>");
	html_append_text(view->page, "%s, callers of %s",
			 get_text(steering, "service"),
			 get_text(steering, "from"));
	html_append_raw(view->page, "</h2><p>Shares, in thousandths:</p>");
	begin_change_form(view, "shares");
	html_append_hidden_input(view->page, "service",
				 get_text(steering, "service"));
	html_append_hidden_input(view->page, "from", get_text(steering, "from"));
	json_array_foreach (json_object_get(view->doc, "regions"), i, region) {
		const char *to = get_text(region, "name");

		g_snprintf(name, sizeof(name), "share:%s", to);
		g_snprintf(value, sizeof(value), "%" JSON_INTEGER_FORMAT,
			   get_share(steering, to));
		html_append_input(view->page, to, name, "number", value);
	}
	g_snprintf(value, sizeof(value), "%" JSON_INTEGER_FORMAT,
		   get_number(steering, "move_cap_permille"));
	html_append_input(view->page, "cap", "cap", "number", value);
	g_snprintf(value, sizeof(value), "%" JSON_INTEGER_FORMAT,
		   get_number(steering, "window_ms"));
	html_append_input(view->page, "window, ms", "window_ms", "number", value);
	html_form_end(view->page, "Review");
}

int pages_steering(struct mg_connection *connection, void *context)
{
	struct view view;
	json_t *item;
	size_t i;

	if (!view_begin(&view, connection, context, "Shifts", true))
		return 200;
	json_array_foreach (json_object_get(view.doc, "steering"), i, item)
		append_steering_form(&view, item);
	return view_end(&view);
}

/** Appends a button that marks an item as leaving, or removes the mark. */
static void append_leaving_button(struct view *view, const char *change,
				  const char *name, bool leaving)
{
	html_append_raw(view->page, "<td>");
	begin_change_form(view, change);
	html_append_hidden_input(view->page, "name", name);
	html_append_hidden_input(view->page, "leaving", leaving ? "no" : "yes");
	html_form_end(view->page, leaving ? "Serve again" : "Drain");
	html_append_raw(view->page, "</td>");
}

int pages_backends(struct mg_connection *connection, void *context)
{
	struct view view;
	json_t *item;
	bool leaving;
	size_t i;

	if (!view_begin(&view, connection, context, "Backend servers", true))
		return 200;
	html_append_raw(view.page, "<table><tr><th>Name</th><th>Service</th><th>"
				   "Failure domain</th><th>Address</th><th>Slots"
				   "</th><th>Leaving</th><th></th></tr>");
	json_array_foreach (json_object_get(view.doc, "backends"), i, item) {
		leaving = json_is_true(json_object_get(item, "leaving"));
		html_append_raw(view.page, "<tr>");
		html_append_cell(view.page, "%s", get_text(item, "name"));
		html_append_cell(view.page, "%s", get_text(item, "service"));
		html_append_cell(view.page, "%s",
				 get_text(item, "failure_domain"));
		html_append_cell(view.page, "%s", get_text(item, "address"));
		html_append_cell(view.page, "%" JSON_INTEGER_FORMAT,
				 get_number(item, "slots"));
		html_append_cell(view.page, "%s", leaving ? "yes" : "no");
		append_leaving_button(&view, "backend", get_text(item, "name"),
				      leaving);
		html_append_raw(view.page, "</tr>");
	}
	html_append_raw(view.page, "</table>");
	return view_end(&view);
}

static bool list_contains(json_t *list, const char *name)
{
	json_t *item;
	size_t i;

	json_array_foreach (list, i, item)
		if (!strcmp(json_string_value(item), name))
			return true;
	return false;
}

int pages_entries(struct mg_connection *connection, void *context)
{
	struct view view;
	json_t *status, *item, *listed;
	bool leaving;
	size_t i;

	if (!view_begin(&view, connection, context, "Entry VMs", true))
		return 200;
	status = fetch_status(view.console);
	listed = json_object_get(view.doc, "leaving_entries");
	html_append_raw(view.page,
			"<table><tr><th>Name</th><th>Failure domain</th>"
			"<th>State</th><th>Leaving</th><th></th></tr>");
	json_array_foreach (json_object_get(status, "members"), i, item) {
		leaving = list_contains(listed, get_text(item, "name"));
		html_append_raw(view.page, "<tr>");
		html_append_cell(view.page, "%s", get_text(item, "name"));
		html_append_cell(view.page, "%s",
				 get_text(item, "failure_domain"));
		html_append_cell(view.page, "%s", get_text(item, "state"));
		html_append_cell(view.page, "%s", leaving ? "yes" : "no");
		append_leaving_button(&view, "entry", get_text(item, "name"),
				      leaving);
		html_append_raw(view.page, "</tr>");
	}
	html_append_raw(view.page, "</table>");
	if (!status)
		html_append_raw(view.page, "<p class=\"bad\">The entry VM does not "
					   "respond.</p>");
	json_decref(status);
	return view_end(&view);
}

static void append_service_form(struct view *view, json_t *service)
{
	char name[96], value[24];
	const char *key;
	json_t *number;

	html_append_raw(view->page, "<h2>");
	html_append_text(view->page, "%s, under %s", get_text(service, "name"),
			 get_text(service, "path_prefix"));
	html_append_raw(view->page, "</h2>");
	begin_change_form(view, "service");
	html_append_hidden_input(view->page, "name", get_text(service, "name"));
	json_object_foreach (service, key, number) {
		if (!json_is_integer(number))
			continue;
		g_snprintf(name, sizeof(name), "number:%s", key);
		g_snprintf(value, sizeof(value), "%" JSON_INTEGER_FORMAT,
			   json_integer_value(number));
		html_append_input(view->page, key, name, "number", value);
	}
	html_form_end(view->page, "Review");
}

int pages_services(struct mg_connection *connection, void *context)
{
	struct view view;
	json_t *item;
	size_t i;

	if (!view_begin(&view, connection, context, "Services", true))
		return 200;
	json_array_foreach (json_object_get(view.doc, "services"), i, item)
		append_service_form(&view, item);
	return view_end(&view);
}

int pages_links(struct mg_connection *connection, void *context)
{
	struct view view;
	char value[24];
	json_t *item;
	size_t i;

	if (!view_begin(&view, connection, context, "Links", true))
		return 200;
	json_array_foreach (json_object_get(view.doc, "links"), i, item) {
		html_append_raw(view.page, "<p>");
		html_append_text(view.page, "%s - %s ", get_text(item, "from"),
				 get_text(item, "to"));
		begin_change_form(&view, "link");
		html_append_hidden_input(view.page, "from",
					 get_text(item, "from"));
		html_append_hidden_input(view.page, "to", get_text(item, "to"));
		g_snprintf(value, sizeof(value), "%" JSON_INTEGER_FORMAT,
			   get_number(item, "mbit_per_s"));
		html_append_input(view.page, "Mbit/s each way", "mbit_per_s",
				  "number", value);
		html_form_end(view.page, "Review");
		html_append_raw(view.page, "</p>");
	}
	return view_end(&view);
}

int pages_history(struct mg_connection *connection, void *context)
{
	struct view view;
	json_t *history, *record;
	char time_text[32];
	time_t at;
	size_t i;

	if (!view_begin(&view, connection, context, "History", false))
		return 200;
	history = publish_read_history(&view.console->store);
	if (!history)
		html_append_raw(view.page, "<p class=\"bad\">The store does not "
					   "answer.</p>");
	for (i = json_array_size(history); i > 0; i--) {
		record = json_array_get(history, i - 1);
		at = (time_t)(get_number(record, "unix_ms") / MS_PER_S);
		strftime(time_text, sizeof(time_text), "%Y-%m-%d %H:%M:%S UTC",
			 gmtime(&at));
		html_append_raw(view.page, "<h2>");
		html_append_text(view.page,
				 "Version %" JSON_INTEGER_FORMAT " by %s, %s",
				 get_number(record, "version"),
				 get_text(record, "author"), time_text);
		html_append_raw(view.page, "</h2><p>");
		html_append_text(view.page, "%s", get_text(record, "comment"));
		html_append_raw(view.page, "</p>");
		html_append_differences(view.page,
					json_object_get(record, "changes"),
					get_text(record, "author"));
	}
	json_decref(history);
	return view_end(&view);
}
