#include <argtable2.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "assign/assignment.h"
#include "base/build.h"
#include "base/counter.h"
#include "base/histogram.h"
#include "base/log.h"
#include "handoff/handoff.h"
#include "kv/notices.h"
#include "kv/presence.h"
#include "net/linger.h"
#include "net/listener.h"
#include "net/loop_watch.h"
#include "net/responder.h"
#include "platform/directory_codec.h"
#include "proxy/directory.h"
#include "proxy/pause.h"
#include "proxy/reload.h"
#include "proxy/status.h"
#include "proxy/stop.h"
#include "queue/wait_queue.h"
#include "quota/quota.h"
#include "request/caller.h"
#include "sync/crash.h"
#include "sync/reach_watch.h"
#include "sync/server_limits.h"
#include "sync/store_sync.h"

/* Environment variable that names the settings file. */
#define SETTINGS_VARIABLE "AUBURNREACH_CONFIG"

struct entry {
	struct proxy proxy;
	struct proxy_settings settings;
	struct stop *stop;
	struct reload *reload;
	struct pause_watch *pause;
	struct loop_watch *loop;
	struct responder *ready;
	struct responder *directory;
	struct responder *metrics;
};

static void handle_ready(void *context, struct responder_request *request)
{
	const struct proxy *proxy = context;
	bool ready = !proxy->stopping && proxy->config &&
		     store_sync_is_complete(proxy->store_sync);

	if (strcmp(request->head->target, READY_PATH))
		responder_reply(request, 404, NULL, NULL);
	else
		responder_reply(request, ready ? 200 : 503, NULL, NULL);
}

static void handle_metrics(void *context, struct responder_request *request)
{
	struct evbuffer *body = evbuffer_new();
	GString *text;

	if (!strcmp(request->head->target, STATUS_PATH)) {
		status_write(context, body);
		responder_reply(request, 200,
				"Content-Type: application/json\r\n", body);
		evbuffer_free(body);
		return;
	}
	text = g_string_new(NULL);
	counter_write(text);
	histogram_write(text);
	build_write_metric(text);
	g_string_append(text, "# EOF\n");
	evbuffer_add(body, text->str, text->len);
	responder_reply(request, 200,
			"Content-Type: application/openmetrics-text; "
			"version=1.0.0; charset=utf-8\r\n",
			body);
	g_string_free(text, true);
	evbuffer_free(body);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *address, int length, void *context)
{
	(void)listener;
	(void)address;
	(void)length;
	tcp_set_options(fd, TCP_CALLER_USER_TIMEOUT_MS);
	caller_accept(context, fd);
}

static bool open_listeners(struct entry *entry)
{
	const struct proxy_settings *settings = &entry->settings;
	struct proxy *proxy = &entry->proxy;

	proxy->listener = listener_open(proxy->base, settings->request_address,
					on_accept, proxy);
	entry->ready = responder_new(proxy->base, settings->ready_address,
				     handle_ready, proxy);
	if (!proxy->listener || !entry->ready)
		return false;
	if (*settings->directory_address) {
		entry->directory =
			responder_new(proxy->base, settings->directory_address,
				      directory_handle_request, proxy);
		if (!entry->directory)
			return false;
	}
	/* missing metrics must not keep the VM from serving requests */
	if (*settings->metrics_address)
		entry->metrics =
			responder_new(proxy->base, settings->metrics_address,
				      handle_metrics, proxy);
	return true;
}

static void on_store_lost(void *context)
{
	store_sync_on_store_unreachable(context);
}

static void on_store_found(void *context)
{
	store_sync_on_store_reachable(context);
}

static const struct presence_events presence_events = {
	.store_unreachable = on_store_lost,
	.store_reachable = on_store_found,
};

static bool open_proxy(struct entry *entry, const char *settings_file)
{
	const struct proxy_settings *settings = &entry->settings;
	struct proxy *proxy = &entry->proxy;
	struct sockaddr_in store;
	char *text;
	char *key;

	if (!tcp_parse_address(settings->store_address, &store))
		return false;
	proxy->base = event_base_new();
	if (!proxy->base)
		return false;
	proxy->clock = &clock_system;
	proxy->settings = settings;
	reload_apply(proxy, settings);
	proxy->region = g_intern_string(settings->region);
	proxy->failure_domain = g_intern_string(settings->failure_domain);
	proxy->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	proxy->service_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	proxy->route_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	proxy->servers = servers_new(proxy->clock, &proxy->topology);
	proxy->vms = vms_new(&proxy->topology);
	if (!open_listeners(entry))
		return false;
	proxy->notices = notices_new(proxy->base, proxy->clock, &store);
	proxy->limits = server_limits_new(proxy);
	proxy->crashes = crash_watch_new(proxy);
	proxy->reach = reach_watch_new(proxy);
	proxy->quota = quota_new(proxy);
	proxy->assignment = assignment_new(proxy);
	proxy->handoff = handoff_new(proxy);
	proxy->wait_queue = wait_queue_new(proxy);
	if (*settings->handoff_address && !proxy->handoff)
		return false;
	if (!proxy->notices || !proxy->crashes || !proxy->reach)
		return false;
	proxy->store_sync = store_sync_new(proxy, &store);
	if (proxy->store_sync)
		quota_serve(proxy->quota,
			    store_sync_relay_server(proxy->store_sync));
	key = g_strconcat(VMS_KEY_PREFIX, settings->name, NULL);
	text = proxy_settings_encode_entry(settings, false);
	proxy->presence = presence_new(proxy->base, &store, key, text,
				       &presence_events, proxy->store_sync);
	g_free(key);
	free(text);
	entry->stop = stop_new(proxy);
	entry->reload = reload_new(proxy, settings_file, &entry->settings);
	entry->pause = pause_watch_new(proxy);
	entry->loop = loop_watch_new(proxy->base, proxy->clock);
	return proxy->store_sync && proxy->presence && entry->stop &&
	       entry->reload && entry->pause && entry->loop;
}

static void close_proxy(struct entry *entry)
{
	struct proxy *proxy = &entry->proxy;

	if (!proxy->base)
		return;
	callers_close_all(proxy);
	loop_watch_free(entry->loop);
	pause_watch_free(entry->pause);
	reload_free(entry->reload);
	stop_free(entry->stop);
	presence_free(proxy->presence);
	store_sync_free(proxy->store_sync);
	crash_watch_free(proxy->crashes);
	server_limits_free(proxy->limits);
	notices_free(proxy->notices);
	reach_watch_free(proxy->reach);
	wait_queue_free(proxy->wait_queue);
	handoff_free(proxy->handoff);
	assignment_free(proxy->assignment);
	quota_free(proxy->quota);
	responder_free(entry->metrics);
	responder_free(entry->directory);
	responder_free(entry->ready);
	if (proxy->listener)
		evconnlistener_free(proxy->listener);
	vms_free(proxy->vms);
	servers_free(proxy->servers);
	g_hash_table_destroy(proxy->service_states);
	g_hash_table_destroy(proxy->route_states);
	g_hash_table_destroy(proxy->evacuated);
	config_unref(proxy->config);
	linger_free_all();
	event_base_free(proxy->base);
}

static int run(const char *settings_file)
{
	static struct entry entry;
	struct schema_errors errors = schema_errors_new();
	int code = EXIT_FAILURE;

	if (!proxy_settings_read(&entry.settings, settings_file, &errors)) {
		fprintf(stderr, "%s: %s", settings_file, errors.text->str);
		goto out;
	}
	if (log_open(log_level_from_name(entry.settings.log_level))) {
		fprintf(stderr, "cannot start the log writer\n");
		goto out;
	}
	log_info("main",
		 "entry VM starts vm=%s region=%s domain=%s "
		 "requests=%s version=%s commit=%s",
		 entry.settings.name, entry.settings.region,
		 entry.settings.failure_domain, entry.settings.request_address,
		 ABR_VERSION, build_commit());
	if (open_proxy(&entry, settings_file)) {
		event_base_dispatch(entry.proxy.base);
		code = EXIT_SUCCESS;
	}
	log_info("main", "entry VM stops vm=%s", entry.settings.name);
	close_proxy(&entry);
	log_close();
out:
	schema_clear(&proxy_settings_schema, &entry.settings);
	schema_errors_clear(&errors);
	return code;
}

int main(int argc, char **argv)
{
	struct arg_file *settings =
		arg_file0(NULL, "settings", "FILE",
			  "settings file (default: $" SETTINGS_VARIABLE ")");
	struct arg_lit *check =
		arg_lit0(NULL, "check", "check the settings and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "print the version");
	struct arg_end *end = arg_end(5);
	void *table[] = { settings, check, help, version, end };
	const char *file = getenv(SETTINGS_VARIABLE);
	int code = EXIT_FAILURE;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "auburnreach-entry");
		goto out;
	}
	if (settings->count)
		file = settings->filename[0];
	if (help->count || version->count) {
		printf("auburnreach-entry %s (%s)\n", ABR_VERSION,
		       build_commit());
		if (help->count)
			arg_print_glossary(stdout, table, "  %-20s %s\n");
		code = EXIT_SUCCESS;
	} else if (!file) {
		fprintf(stderr, "no settings file; give --settings FILE\n");
	} else if (check->count) {
		struct proxy_settings checked = { 0 };
		struct schema_errors errors = schema_errors_new();

		if (proxy_settings_read(&checked, file, &errors))
			code = EXIT_SUCCESS;
		fprintf(stderr, "%s", errors.text->str);
		schema_clear(&proxy_settings_schema, &checked);
		schema_errors_clear(&errors);
	} else {
		signal(SIGPIPE, SIG_IGN);
		reload_hold_signal();
		code = run(file);
	}
out:
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}
