#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/build.h"
#include "base/deadline.h"
#include "base/log.h"
#include "console/auth.h"
#include "console/change.h"
#include "console/console_defs.h"
#include "console/form.h"
#include "console/html.h"
#include "console/pages.h"
#include "http/http_server.h"
#include "store/store_etcd.h"

/**
 * @file
 * auburnreach-console: web forms in which operators edit the document.
 */

#define STORE_TIMEOUT_MS 3000
/* A change that is being published reads from the store and writes to it. */
#define DRAIN_MS (2 * STORE_TIMEOUT_MS)
#define PASSWORD_BYTES_MAX 256
#define SERVER_THREADS 16

#define EXIT_USAGE 2

typedef void (*form_fn)(struct console *console, struct mg_connection *connection,
			const char *operator_name, const struct form *form);

static int handle_form(struct mg_connection *connection,
		       struct console *console, form_fn run)
{
	const char *operator_name = auth_require_operator(console, connection);
	struct form form;

	if (!operator_name || !form_read(connection, &form))
		return 200;
	if (auth_is_own_form(console, connection, operator_name, &form))
		run(console, connection, operator_name, &form);
	else
		http_reply_error(connection, 403, NULL,
				 "the form does not come from this console",
				 "reload the page and submit its form again");
	free(form.text);
	return 200;
}

static int handle_review(struct mg_connection *connection, void *context)
{
	return handle_form(connection, context, change_review);
}

static int handle_publish(struct mg_connection *connection, void *context)
{
	return handle_form(connection, context, change_publish);
}

static int handle_style(struct mg_connection *connection, void *context)
{
	(void)context;
	http_reply(connection, 200, "text/css", "Cache-Control: no-store\r\n",
		   html_style_sheet, (uint32_t)strlen(html_style_sheet));
	return 200;
}

static void register_pages(struct console *console, struct mg_context *server)
{
	mg_set_request_handler(server, "/style.css$", handle_style, console);
	mg_set_request_handler(server, "/steering$", pages_steering, console);
	mg_set_request_handler(server, "/backends$", pages_backends, console);
	mg_set_request_handler(server, "/entries$", pages_entries, console);
	mg_set_request_handler(server, "/services$", pages_services, console);
	mg_set_request_handler(server, "/links$", pages_links, console);
	mg_set_request_handler(server, "/history$", pages_history, console);
	mg_set_request_handler(server, "/review$", handle_review, console);
	mg_set_request_handler(server, "/publish$", handle_publish, console);
	mg_set_request_handler(server, "/", pages_fleet, console);
}

static int serve(struct console *console, const sigset_t *signals)
{
	const struct console_settings *settings = &console->settings;
	struct store_etcd *etcd =
		store_etcd_new(settings->store, STORE_TIMEOUT_MS);
	struct http_server_options options = {
		.address = settings->listen,
		.threads = SERVER_THREADS,
		.keep_alive_ms = 2000,
		.request_timeout_ms = 10000,
		.connections_max = 64,
		.certificate =
			settings->certificate[0] ? settings->certificate : NULL,
	};
	struct mg_context *server;
	int signal_number;

	if (!etcd)
		return EXIT_FAILURE;
	console->store = store_etcd_as_store(etcd);
	console->secret = g_uuid_string_random();
	server = http_server_start(&options);
	if (server) {
		register_pages(console, server);
		log_info("console", "started address=%s tls=%s",
			 settings->listen, options.certificate ? "yes" : "no");
		sigwait(signals, &signal_number);
		http_server_stop(server, settings->listen, DRAIN_MS);
	}
	g_free(console->secret);
	store_etcd_free(etcd);
	return server ? EXIT_SUCCESS : EXIT_FAILURE;
}

static int run(const char *file_name)
{
	struct schema_errors errors = schema_errors_new();
	struct console console = { 0 };
	int code = EXIT_USAGE;
	sigset_t signals;

	if (!schema_read_file(&console_settings_schema, file_name,
			      &console.settings, &errors)) {
		fprintf(stderr, CONSOLE_PROGRAM ": settings are not valid:\n%s",
			errors.text->str);
		goto out;
	}
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	mg_init_library(MG_FEATURES_TLS);
	code = EXIT_FAILURE;
	if (!log_open(LOG_LEVEL_INFO) && !deadline_watcher_start()) {
		code = serve(&console, &signals);
		deadline_watcher_stop();
		log_close();
	}
out:
	schema_clear(&console_settings_schema, &console.settings);
	schema_errors_clear(&errors);
	return code;
}

/** Reads a password from standard input and prints its hash. */
static int print_hash(void)
{
	char password[PASSWORD_BYTES_MAX];
	char *hash;

	if (!fgets(password, sizeof(password), stdin))
		return EXIT_FAILURE;
	password[strcspn(password, "\r\n")] = '\0';
	hash = auth_hash_password(password);
	if (!hash)
		return EXIT_FAILURE;
	printf("%s\n", hash);
	g_free(hash);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	struct arg_file *file =
		arg_file0("c", "config", "FILE", "settings file, in JSON");
	struct arg_lit *hash =
		arg_lit0(NULL, "hash",
			 "hash the password on standard input and exit");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *version =
		arg_lit0("V", "version", "print the version and exit");
	struct arg_end *end = arg_end(8);
	void *table[] = { file, hash, help, version, end };
	int errors = arg_parse(argc, argv, table);
	int code = EXIT_USAGE;

	if (help->count) {
		printf("Usage: " CONSOLE_PROGRAM);
		arg_print_syntax(stdout, table, "\n");
		printf("Serves web forms in which operators edit the "
		       "document.\n\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
		printf("\nExit codes: 0 graceful shutdown, 1 failed, "
		       "2 usage error or invalid settings.\n");
		code = EXIT_SUCCESS;
	} else if (version->count) {
		printf(CONSOLE_PROGRAM " " ABR_VERSION " (%s)\n", build_commit());
		code = EXIT_SUCCESS;
	} else if (errors) {
		arg_print_errors(stderr, end, CONSOLE_PROGRAM);
	} else if (hash->count) {
		code = print_hash();
	} else if (!file->count) {
		fprintf(stderr, CONSOLE_PROGRAM
			": no settings file; add --config FILE\n");
	} else {
		code = run(file->filename[0]);
	}
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}
