#include <argtable2.h>
#include <civetweb.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/build.h"
#include "base/deadline.h"
#include "base/log.h"
#include "entry/adapters.h"
#include "entry/admin.h"
#include "entry/claims.h"
#include "entry/entry_defs.h"
#include "entry/lookup.h"
#include "entry/order.h"
#include "entry/probe.h"
#include "entry/serve.h"
#include "entry/shutdown.h"
#include "entry/state.h"
#include "entry/steering.h"
#include "entry/watch.h"
#include "http/http_server.h"
#include "store/store_etcd.h"

/**
 * @file
 * auburnreachd, the daemon of an entry VM: command line, start and stop.
 */

#define PROGRAM "auburnreachd"
#define REQUEST_TIMEOUT_MS 10000
#define CONNECTION_BACKLOG 256
/* For look-ups and status requests; callers' requests have ended by then. */
#define DRAIN_MS 250

#define EXIT_FAILED 1
#define EXIT_USAGE 2

static void on_backend_leaving(void *context, const char *backend)
{
	struct entry *entry = context;

	if (backends_set_leaving(entry->backends, backend, PICK_LEAVING_PEER,
				 true))
		log_info("backend",
			 "was reported as leaving by a peer server=%s", backend);
}

static void on_quarantined(void *context, uint64_t fingerprint)
{
	struct entry *entry = context;

	pthread_mutex_lock(&entry->state_lock);
	quarantine_add(&entry->quarantine, fingerprint,
		       clock_now_ms(&entry->clock));
	pthread_mutex_unlock(&entry->state_lock);
}

static bool copy_position(void *context, uint32_t index, char *service,
			  char *from, struct steer_position *position)
{
	struct entry *entry = context;

	return steering_copy_position(entry->steering, index, service, from,
				      position);
}

static void adopt_position(void *context, const char *service, const char *from,
			   const double *bound, uint32_t region_count)
{
	struct entry *entry = context;

	steering_adopt(entry->steering, service, from, bound, region_count);
}

static struct peer *start_peer(struct entry *entry)
{
	const struct settings *settings = &entry->settings;
	struct peer_callbacks callbacks = {
		.backend_leaving = on_backend_leaving,
		.quarantined = on_quarantined,
		.position = copy_position,
		.adopt = adopt_position,
		.context = entry,
	};
	struct peer_options options = {
		.name = settings->name,
		.failure_domain = settings->failure_domain,
		.http_address = settings->address,
		.peer_address = settings->peer_address,
		.listen_address = settings->peer_listen,
		.public_key = settings->peer_public_key,
		.secret_key = settings->peer_secret_key,
		.seeds = settings->seeds,
		.seed_count = settings->seed_count,
		.heartbeat_ms = settings->heartbeat_ms,
		.incarnation = entry->incarnation,
	};

	return peer_start(&options, &callbacks, entry->current);
}

static struct mg_context *start_server(struct entry *entry)
{
	struct http_server_options options = {
		.address = entry->settings.listen,
		.threads = entry->settings.threads,
		.keep_alive_ms = entry->settings.keep_alive_ms,
		.request_timeout_ms = REQUEST_TIMEOUT_MS,
		.connections_max = CONNECTION_BACKLOG,
	};
	struct mg_context *server = http_server_start(&options);

	if (!server)
		return NULL;
	admin_register(entry, server);
	mg_set_request_handler(server, "/v1/entries$", lookup_handle, entry);
	mg_set_request_handler(server, "/", serve_handle, entry);
	return server;
}

/** Serves until a signal, then shuts down gracefully. @return the exit code. */
static int serve_until_signal(struct entry *entry, const sigset_t *signals)
{
	struct mg_context *server = start_server(entry);
	int signal_number;
	bool complete;

	if (!server)
		return EXIT_FAILED;
	log_info("entry", "started name=%s domain=%s address=%s",
		 entry->settings.name, entry->settings.failure_domain,
		 entry->settings.address);
	sigwait(signals, &signal_number);
	complete = shutdown_run(entry);
	http_server_stop(server, entry->settings.listen, DRAIN_MS);
	return complete ? EXIT_SUCCESS : EXIT_FAILED;
}

/** Starts the modules, serves, and stops the modules in reverse order. */
static int run_daemon(struct entry *entry, const sigset_t *signals)
{
	struct store_etcd *etcd = NULL;
	int code = EXIT_FAILED;

	entry->clock = clock_system;
	entry->incarnation = (uint64_t)clock_unix_ms(&entry->clock);
	if (!state_init(entry))
		goto out;
	etcd = store_etcd_new(entry->settings.store,
			      entry->settings.store_timeout_ms);
	if (!etcd)
		goto out;
	entry->store = store_etcd_as_store(etcd);
	adapters_init(entry);
	entry->steering = steering_new(&entry->clock);
	if (!entry->steering)
		goto out;
	entry->peer = start_peer(entry);
	if (!entry->peer)
		goto out;
	entry->claims = claims_start(entry, order_expire);
	entry->watch = watch_start(entry);
	entry->probe = probe_start(entry);
	if (entry->claims && entry->watch && entry->probe)
		code = serve_until_signal(entry, signals);
out:
	probe_stop(entry->probe);
	watch_stop(entry->watch);
	claims_stop(entry->claims);
	peer_stop(entry->peer);
	steering_free(entry->steering);
	store_etcd_free(etcd);
	state_clear(entry);
	return code;
}

static int run_with_settings(const char *file_name, bool check_only)
{
	struct schema_errors errors = schema_errors_new();
	struct entry *entry = calloc(1, sizeof(*entry));
	int code = EXIT_USAGE;
	sigset_t signals;

	if (!settings_read(&entry->settings, file_name, &errors)) {
		fprintf(stderr, PROGRAM ": settings are invalid:\n%s",
			errors.text->str);
		goto out;
	}
	if (check_only) {
		printf(PROGRAM ": settings are valid\n");
		code = EXIT_SUCCESS;
		goto out;
	}
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	mg_init_library(0);
	code = EXIT_FAILED;
	if (!log_open((enum log_level)log_level_from_name(
		    entry->settings.log_level)) &&
	    !deadline_watcher_start()) {
		code = run_daemon(entry, &signals);
		deadline_watcher_stop();
		log_close();
	}
	mg_exit_library();
out:
	schema_clear(&settings_schema, &entry->settings);
	schema_errors_clear(&errors);
	free(entry);
	return code;
}

int main(int argc, char **argv)
{
	struct arg_file *file =
		arg_file0("c", "config", "FILE", "settings, in JSON");
	struct arg_lit *check = arg_lit0(NULL, "check", "check FILE and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *version =
		arg_lit0("V", "version", "print the version and exit");
	struct arg_end *end = arg_end(8);
	void *table[] = { file, check, help, version, end };
	int errors = arg_parse(argc, argv, table);
	int code = EXIT_USAGE;

	if (help->count) {
		printf("Usage: " PROGRAM);
		arg_print_syntax(stdout, table, "\n");
		printf("Answers look-ups and forwards callers' requests.\n\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
		printf("\nExit codes: 0 graceful shutdown, 1 failed, "
		       "2 wrong arguments or settings.\n");
		code = EXIT_SUCCESS;
	} else if (version->count) {
		printf(PROGRAM " " ABR_VERSION " (%s)\n", build_commit());
		code = EXIT_SUCCESS;
	} else if (errors) {
		arg_print_errors(stderr, end, PROGRAM);
	} else if (!file->count) {
		fprintf(stderr,
			PROGRAM ": no settings file; add --config FILE\n");
	} else {
		code = run_with_settings(file->filename[0], check->count);
	}
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}
