#include <argtable2.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"
#include "base/log.h"
#include "net/timer.h"
#include "platform_kv.h"
#include "platform_server.h"

/**
 * @file
 * standin-platform: stands in for the platform that auburnreach-entry runs on:
 * its key-value store, operator and backend servers in one process. Controlled
 * by POST requests with a JSON body at the control address:
 *
 *     /config    the operator's configuration
 *     /evacuate  {"domain": "a", "on": true}
 *     /server    {"id", "address", "listed", "service", "domain", "slots",
 *                "work_ms"}; "queue": requests that wait for a slot (0)
 *     /drain     {"id"}        publishes that the server is draining
 *     /unlist    {"id"}        deletes its store entry, it keeps serving
 *     /kill      {"id"}        stops the server, its store entry stays
 *     /fault     {"id", "fault"}; without an ID: of the store
 *     /odd-entry {"how": "nested"}, number, port or key: an entry that names no
 * server, which another writer has left
 *     /limit     {"id", "limit": "2.2"}  names a limit, or any text; "": none
 *     /compact   {}            the store discards its history
 *     /copy      {}            the store takes a copy of its keys
 *     /go-back   {"rewrite": true}  the store comes back from the copy; a
 * second later, operator and servers write again what they wrote since
 *
 * GET /runs returns the servers that ran each request, GET /late?MS the
 * requests that began on a server more than MS after the store showed it as
 * draining, GET /limits whether the limits that servers named were kept, and
 * GET /calls the number of requests to the store.
 */

/* Time after which the operator and the backend servers have written again what
 * the store lost. */
#define ODD_ENTRY_DEPTH 200000
#define REWRITE_MS 1000

struct platform {
	struct event_base *base;
	struct platform_kv *kv;
	struct event *rewrite_timer;
	/* key -> value that the operator wrote last; "": removed */
	GHashTable *operator_keys;
	GHashTable *unlisted; /* IDs of servers whose entry was removed */
	GHashTable *servers;  /* ID -> struct platform_server */
	GHashTable *runs;     /* request ID -> GPtrArray of server IDs */
};

static const char *get_string(json_t *body, const char *name)
{
	const char *text = json_string_value(json_object_get(body, name));

	return text ? text : "";
}

static bool add_server(struct platform *platform, json_t *body)
{
	struct platform_server_options options = {
		.id = get_string(body, "id"),
		.address = get_string(body, "address"),
		.listed_address = get_string(body, "listed"),
		.service = get_string(body, "service"),
		.failure_domain = get_string(body, "domain"),
		.slots = (uint32_t)json_integer_value(
			json_object_get(body, "slots")),
		.queue_max = (uint32_t)json_integer_value(
			json_object_get(body, "queue")),
		.work_ms = (uint32_t)json_integer_value(
			json_object_get(body, "work_ms")),
	};
	struct platform_server *server =
		platform_server_new(platform->base, platform->kv,
				    platform->runs, &options);

	if (!server)
		return false;
	g_hash_table_insert(platform->servers, g_strdup(options.id), server);
	return true;
}

static void write_operator_key(struct platform *platform, const char *key,
			       const char *value)
{
	g_hash_table_replace(platform->operator_keys, g_strdup(key),
			     g_strdup(value));
	if (*value)
		platform_kv_put(platform->kv, key, value);
	else
		platform_kv_remove(platform->kv, key);
}

/* Writes again what the store lost when it went back to a copy. */
static void on_rewrite(evutil_socket_t fd, short what, void *context)
{
	struct platform *platform = context;
	GHashTableIter iter;
	gpointer key;
	gpointer value;

	(void)fd;
	(void)what;
	g_hash_table_iter_init(&iter, platform->operator_keys);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (*(char *)value)
			platform_kv_put(platform->kv, key, value);
		else
			platform_kv_remove(platform->kv, key);
	}
	g_hash_table_iter_init(&iter, platform->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		platform_server_publish(value);
	g_hash_table_iter_init(&iter, platform->unlisted);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		platform_kv_remove(platform->kv, key);
}

static bool set_config(struct platform *platform, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	write_operator_key(platform, "op/config", text);
	free(text);
	return true;
}

static bool set_evacuation(struct platform *platform, json_t *body)
{
	char *key = g_strconcat("op/evacuate/", get_string(body, "domain"), NULL);

	write_operator_key(platform, key,
			   json_is_true(json_object_get(body, "on")) ? "{}" : "");
	g_free(key);
	return true;
}

static bool control_server(struct platform *platform, const char *path,
			   json_t *body)
{
	const char *id = get_string(body, "id");
	struct platform_server *server =
		g_hash_table_lookup(platform->servers, id);
	char *key;

	if (!strcmp(path, "/unlist")) {
		key = g_strconcat("servers/", id, NULL);
		platform_kv_remove(platform->kv, key);
		g_hash_table_add(platform->unlisted, key);
		return true;
	}
	if (!server)
		return false;
	if (!strcmp(path, "/drain")) {
		platform_server_drain(server);
	} else if (!strcmp(path, "/kill")) {
		g_hash_table_remove(platform->servers, id);
	} else if (!strcmp(path, "/limit")) {
		return platform_server_set_limit(server,
						 get_string(body, "limit"));
	} else {
		return platform_server_set_fault(server,
						 get_string(body, "fault"));
	}
	return true;
}

/* Writes an entry among those of the servers that names none. */
static void put_odd_entry(struct platform *platform, const char *how)
{
	char *nested = g_strnfill(ODD_ENTRY_DEPTH, '[');

	if (!strcmp(how, "nested"))
		platform_kv_put(platform->kv, "servers/odd", nested);
	else if (!strcmp(how, "number"))
		platform_kv_put(platform->kv, "servers/odd",
				"{\"Address\":1e999,\"born\":99999999999999999999}");
	else if (!strcmp(how, "port"))
		platform_kv_put(platform->kv, "servers/odd",
				"{\"Address\":\"127.0.0.1:99999\"}");
	else
		platform_kv_put(platform->kv, "servers/odd\r\nX: 1", "\xff\xfe");
	g_free(nested);
}

static bool handle_control(struct platform *platform, const char *path,
			   json_t *body)
{
	if (!strcmp(path, "/config"))
		return set_config(platform, body);
	if (!strcmp(path, "/odd-entry")) {
		put_odd_entry(platform, get_string(body, "how"));
		return true;
	}
	if (!strcmp(path, "/evacuate"))
		return set_evacuation(platform, body);
	if (!strcmp(path, "/server"))
		return add_server(platform, body);
	if (!strcmp(path, "/fault") && !*get_string(body, "id"))
		return platform_kv_set_fault(platform->kv,
					     get_string(body, "fault"));
	if (!strcmp(path, "/copy")) {
		platform_kv_take_copy(platform->kv);
		return true;
	}
	if (!strcmp(path, "/go-back")) {
		if (json_is_true(json_object_get(body, "rewrite")))
			timer_start(platform->rewrite_timer, REWRITE_MS);
		return platform_kv_go_back(platform->kv);
	}
	if (!strcmp(path, "/compact")) {
		platform_kv_compact(platform->kv);
		return true;
	}
	return control_server(platform, path, body);
}

static json_t *runs_json(const struct platform *platform)
{
	json_t *all = json_object();
	GHashTableIter iter;
	gpointer key;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, platform->runs);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const GPtrArray *list = value;
		json_t *servers = json_array();

		for (i = 0; i < list->len; i++)
			json_array_append_new(servers,
					      json_string(g_ptr_array_index(list,
									    i)));
		json_object_set_new(all, key, servers);
	}
	return all;
}

static json_t *late_runs_json(const struct platform *platform,
			      const char *bound_ms)
{
	json_t *all = json_array();
	GHashTableIter iter;
	gpointer server;
	json_t *late;

	g_hash_table_iter_init(&iter, platform->servers);
	while (g_hash_table_iter_next(&iter, NULL, &server)) {
		late = platform_server_late_runs(server, atoi(bound_ms));
		json_array_extend(all, late);
		json_decref(late);
	}
	return all;
}

static json_t *limits_json(const struct platform *platform)
{
	json_t *all = json_object();
	GHashTableIter iter;
	gpointer id;
	gpointer server;

	g_hash_table_iter_init(&iter, platform->servers);
	while (g_hash_table_iter_next(&iter, &id, &server))
		json_object_set_new(all, id, platform_server_judge_limit(server));
	return all;
}

static uint32_t count_refused(const struct platform *platform)
{
	GHashTableIter iter;
	gpointer server;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, platform->servers);
	while (g_hash_table_iter_next(&iter, NULL, &server))
		count += platform_server_refused(server);
	return count;
}

/* @return what a GET request asks for, as a new value; NULL: nothing of it. */
static json_t *read_evidence(const struct platform *platform, const char *target)
{
	if (!strcmp(target, "/runs"))
		return runs_json(platform);
	if (!strcmp(target, "/limits"))
		return limits_json(platform);
	if (g_str_has_prefix(target, "/late?"))
		return late_runs_json(platform, target + strlen("/late?"));
	return NULL;
}

static void on_control(void *context, struct responder_request *request)
{
	struct platform *platform = context;
	const char *target = request->head->target;
	struct evbuffer *response = evbuffer_new();
	json_t *body =
		json_loadb((const char *)evbuffer_pullup(request->body, -1),
			   evbuffer_get_length(request->body), 0, NULL);
	bool accepted = true;
	json_t *result = read_evidence(platform, target);
	char *text;

	if (result) {
		text = json_dumps(result, JSON_COMPACT);
		evbuffer_add(response, text, strlen(text));
		free(text);
		json_decref(result);
	} else if (!strcmp(target, "/refused")) {
		evbuffer_add_printf(response, "%u\n", count_refused(platform));
	} else if (!strcmp(target, "/calls")) {
		evbuffer_add_printf(response, "%lu\n",
				    (unsigned long)platform_kv_call_count(
					    platform->kv));
	} else {
		accepted = body && handle_control(platform, target, body);
	}
	responder_reply(request, accepted ? 200 : 400, NULL, response);
	evbuffer_free(response);
	json_decref(body);
}

static void on_signal(evutil_socket_t fd, short what, void *context)
{
	(void)fd;
	(void)what;
	event_base_loopbreak(context);
}

static int serve(const char *store_address, const char *control_address)
{
	struct platform platform = { .base = event_base_new() };
	struct responder *store;
	struct responder *control;
	struct event *stop;

	platform.kv = platform_kv_new(platform.base);
	platform.rewrite_timer =
		evtimer_new(platform.base, on_rewrite, &platform);
	platform.operator_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	platform.unlisted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	platform.servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)platform_server_free);
	platform.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      (GDestroyNotify)g_ptr_array_unref);
	store = responder_new(platform.base, store_address, platform_kv_handle,
			      platform.kv);
	control = responder_new(platform.base, control_address, on_control,
				&platform);
	if (!store || !control)
		return EXIT_FAILURE;
	stop = evsignal_new(platform.base, SIGTERM, on_signal, platform.base);
	evsignal_add(stop, NULL);
	event_base_dispatch(platform.base);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arg_str *store =
		arg_str1(NULL, "store", "IP:PORT", "address of the store");
	struct arg_str *control =
		arg_str1(NULL, "control", "IP:PORT",
			 "address to steer the platform through");
	struct arg_lit *help = arg_lit0("h", "help", "print this help and exit");
	struct arg_end *end = arg_end(5);
	void *table[] = { store, control, help, end };
	int problems = arg_parse(argc, argv, table);
	int code = EXIT_FAILURE;

	if (help->count) {
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		code = EXIT_SUCCESS;
	} else if (problems) {
		arg_print_errors(stderr, end, "standin-platform");
	} else {
		signal(SIGPIPE, SIG_IGN);
		log_open(LOG_LEVEL_WARN);
		code = serve(store->sval[0], control->sval[0]);
		log_close();
	}
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}
