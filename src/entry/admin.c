#include "entry/admin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/build.h"
#include "base/counter.h"
#include "base/log.h"
#include "entry/explain.h"
#include "entry/steering.h"
#include "http/http_server.h"

#define METRICS_TYPE \
	"application/openmetrics-text; version=1.0.0; charset=utf-8"

static const char *const state_names[] = { "live", "suspect", "dead" };

static int handle_health(struct mg_connection *connection, void *context)
{
	(void)context;
	http_reply(connection, 200, "text/plain", NULL, "ok\n", 3);
	return 200;
}

/** @return why callers should not use this VM, as static text, or NULL. */
static const char *not_ready_reason(struct entry *entry)
{
	struct current_document *current_doc = current_get(entry->current);
	const char *reason = NULL;

	if (!current_doc)
		reason = "no document is in force yet";
	else if (document_region_index_of_domain(current_doc->doc,
						 entry->settings.failure_domain) <
		 0)
		reason = "the document lacks this VM's failure domain";
	else if (entry->leaving)
		reason = "this VM is leaving";
	current_unref(current_doc);
	return reason;
}

static int handle_ready(struct mg_connection *connection, void *context)
{
	const char *reason = not_ready_reason(context);

	if (reason)
		http_reply_error(connection, 503, NULL, reason,
				 "ask another entry VM");
	else
		http_reply(connection, 200, "text/plain", NULL, "ready\n", 6);
	return 200;
}

static int handle_metrics(struct mg_connection *connection, void *context)
{
	GString *text = g_string_sized_new(8192);

	(void)context;
	counter_write(text);
	build_write_metric(text);
	g_string_append_printf(text,
			       "# TYPE auburnreach_log_lines_dropped counter\n"
			       "auburnreach_log_lines_dropped_total %llu\n"
			       "# EOF\n",
			       (unsigned long long)log_dropped());
	http_reply(connection, 200, METRICS_TYPE, NULL, text->str,
		   (uint32_t)text->len);
	g_string_free(text, TRUE);
	return 200;
}

static json_t *members_json(const struct peer_view *view)
{
	json_t *list = json_array();
	char incarnation[24];
	uint32_t i;

	for (i = 0; i < view->member_count; i++) {
		const struct member *member = &view->members[i];

		snprintf(incarnation, sizeof(incarnation), "%llx",
			 (unsigned long long)member->incarnation);
		json_array_append_new(
			list, json_pack("{s:s,s:s,s:s,s:s,s:s,s:b,s:I}", "name",
					member->name, "failure_domain",
					member->failure_domain, "address",
					member->http_address, "state",
					state_names[member->state],
					"incarnation", incarnation, "leaving",
					(member->flags & MEMBER_LEAVING) != 0,
					"version",
					(json_int_t)member->document_version));
	}
	return list;
}

static json_t *versions_json(const struct peer_view *view)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < view->version_count; i++)
		json_array_append_new(
			list, json_pack("{s:I,s:i}", "version",
					(json_int_t)view->versions[i].version,
					"count", (int)view->versions[i].count));
	return list;
}

static json_t *backends_json(struct entry *entry)
{
	json_t *list = json_array();
	struct backends_state state;
	uint32_t i;

	for (i = 0; backends_get_state(entry->backends, i, &state); i++)
		json_array_append_new(
			list, json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:b,s:i}",
					"name", state.name, "service",
					state.service, "address", state.address,
					"slots", (int)state.server.slots,
					"in_flight", (int)state.server.in_flight,
					"leaving", (int)state.server.leaving,
					"ejected", state.ejected, "failures",
					(int)state.server.failures));
	return list;
}

static json_t *steering_json(struct entry *entry)
{
	json_t *list = json_array();
	struct steer_position position;
	char service[65], from[65];
	uint32_t i, k;

	for (i = 0;
	     steering_copy_position(entry->steering, i, service, from, &position);
	     i++) {
		json_t *bounds = json_array();

		for (k = 0; k < position.region_count; k++)
			json_array_append_new(bounds,
					      json_real(position.bound[k]));
		json_array_append_new(list,
				      json_pack("{s:s,s:s,s:b,s:o}", "service",
						service, "from", from, "settled",
						steer_is_settled(&position),
						"bounds", bounds));
	}
	return list;
}

static int handle_status(struct mg_connection *connection, void *context)
{
	struct entry *entry = context;
	struct peer_view *view = peer_view_get(entry->peer);
	int64_t up_ms = clock_now_ms(&entry->clock) - entry->started_ms;

	http_reply_json(
		connection, 200, NULL,
		json_pack("{s:s,s:s,s:s,s:I,s:I,s:b,s:b,s:I,s:o,s:o,s:o,s:o}",
			  "name", entry->settings.name, "failure_domain",
			  entry->settings.failure_domain, "program", ABR_VERSION,
			  "version", (json_int_t)current_version(entry->current),
			  "up_ms", (json_int_t)up_ms, "leaving",
			  (int)entry->leaving, "unclaimed", (int)entry->unclaimed,
			  "in_flight", (json_int_t)gauge_get(GAUGE_IN_FLIGHT),
			  "versions", versions_json(view), "members",
			  members_json(view), "backends", backends_json(entry),
			  "steering", steering_json(entry)));
	peer_view_unref(view);
	return 200;
}

static int handle_explain(struct mg_connection *connection, void *context)
{
	struct entry *entry = context;
	char text[EXPLAIN_TEXT_BYTES];
	char id[128];

	if (!http_query_parameter(connection, "request_id", id, sizeof(id))) {
		http_reply_error(connection, 400, NULL, "request_id is missing",
				 "add ?request_id=ID");
		return 400;
	}
	if (explain_find(entry->explain, id, text, sizeof(text)))
		http_reply_json(connection, 200, NULL,
				json_pack("{s:s,s:s}", "request_id", id, "why",
					  text));
	else
		http_reply_error(connection, 404, NULL,
				 "the request is not remembered here",
				 "ask the entry VM that its id begins with, "
				 "soon after the request");
	return 200;
}

static int handle_document(struct mg_connection *connection, void *context)
{
	struct entry *entry = context;
	struct current_document *current_doc = current_get(entry->current);

	if (current_doc)
		http_reply(connection, 200, "application/json", NULL,
			   current_doc->text, current_doc->text_bytes);
	else
		http_reply_error(connection, 503, NULL,
				 "no document is in force yet",
				 "publish one with auburnreachctl");
	current_unref(current_doc);
	return 200;
}

static int handle_cut(struct mg_connection *connection, void *context)
{
	struct entry *entry = context;
	char domains[512];

	http_query_parameter(connection, "domains", domains, sizeof(domains));
	peer_block_domains(entry->peer, domains);
	http_reply_json(connection, 200, NULL,
			json_pack("{s:s}", "cut", domains));
	return 200;
}

void admin_register(struct entry *entry, struct mg_context *server)
{
	mg_set_request_handler(server, "/healthz$", handle_health, entry);
	mg_set_request_handler(server, "/readyz$", handle_ready, entry);
	mg_set_request_handler(server, "/metrics$", handle_metrics, entry);
	mg_set_request_handler(server, "/v1/status$", handle_status, entry);
	mg_set_request_handler(server, "/v1/explain$", handle_explain, entry);
	mg_set_request_handler(server, "/v1/document$", handle_document, entry);
	if (entry->settings.test_seams)
		mg_set_request_handler(server, "/v1/test/cut$", handle_cut,
				       entry);
}
