#include <argtable2.h>
#include <civetweb.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"
#include "base/build.h"
#include "base/deadline.h"
#include "base/schema.h"
#include "ctl/ctl_defs.h"
#include "store/store_etcd.h"

/**
 * @file
 * auburnreachctl: the command line tool with which operators validate and
 * publish the document and inspect the fleet.
 */

#define STORE_TIMEOUT_MS 3000
#define ARGS_MAX 70

struct command {
	const char *name;
	const char *arguments;
	const char *help;
	ctl_command_fn run;
	bool needs_store;
	bool needs_entry;
	int args_min;
};

static const struct command commands[] = {
	{ "check", "FILE", "check a document", ctl_check, false, false, 1 },
	{ "check-config", "FILE",
	  "check a configuration of entry VMs before it is "
	  "sent; 1: it has errors",
	  ctl_check_config, false, false, 1 },
	{ "show", "", "print the document in the store", ctl_show, true, false,
	  0 },
	{ "diff", "FILE", "compare FILE with the document in the store",
	  ctl_diff, true, false, 1 },
	{ "publish", "FILE",
	  "publish FILE; its version must be the one it "
	  "was derived from",
	  ctl_publish, true, false, 1 },
	{ "drain", "NAME", "send no new requests to a backend server or entry VM",
	  ctl_drain, true, false, 1 },
	{ "shift", "SERVICE FROM REGION=N...",
	  "set who serves a region's callers, in thousandths", ctl_shift, true,
	  false, 3 },
	{ "status", "", "show entry VMs, versions, backend servers and shifts",
	  ctl_status, false, true, 0 },
	{ "versions", "",
	  "show the configuration in force on each entry VM of the platform; "
	  "--entry: the metrics address of one of them",
	  ctl_versions, false, true, 0 },
	{ "explain", "REQUEST-ID", "show why a request was routed as it was",
	  ctl_explain, false, true, 1 },
	{ "trace", "REQUEST-ID FILE...",
	  "collect log lines about a request from entry VMs", ctl_trace, false,
	  false, 2 },
	{ "history", "", "list the publications", ctl_history, true, false, 0 },
	{ "schema", "", "print the document's JSON schema", ctl_schema, false,
	  false, 0 },
	{ "keygen", "", "generate a key pair for the fleet's messages",
	  ctl_keygen, false, false, 0 },
};

static const struct command *find_command(const char *name)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(commands); i++)
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	return NULL;
}

static void print_help(void **table)
{
	size_t i;

	printf("Usage: " CTL_PROGRAM);
	arg_print_syntax(stdout, table, "\n");
	printf("\nCommands:\n");
	for (i = 0; i < ARRAY_SIZE(commands); i++)
		printf("  %-12s %-26s %s\n", commands[i].name,
		       commands[i].arguments, commands[i].help);
	printf("\nOptions:\n");
	arg_print_glossary(stdout, table, "  %-26s %s\n");
	printf("\nExit codes: 0 done, 1 refused, conflict or unreachable, "
	       "2 wrong usage\nor invalid document.\n");
}

/** Checks the command's arguments and options. @return CTL_DONE if valid. */
static enum ctl_exit check_usage(const struct command *command,
				 const struct ctl *ctl)
{
	if (ctl->arg_count < command->args_min)
		return ctl_fail(CTL_USAGE, "%s needs %s", command->name,
				command->arguments);
	if (command->needs_store && !ctl->has_store)
		return ctl_fail(CTL_USAGE,
				"%s needs the store; add --store IP:PORT or "
				"set AUBURNREACH_STORE",
				command->name);
	if (command->needs_entry && !ctl->entry)
		return ctl_fail(CTL_USAGE,
				"%s needs an entry VM; add --entry IP:PORT or "
				"set AUBURNREACH_ENTRY",
				command->name);
	return CTL_DONE;
}

static enum ctl_exit run_command(struct ctl *ctl, const char *name,
				 const char *store_address)
{
	const struct command *command = find_command(name);
	struct store_etcd *etcd = NULL;
	enum ctl_exit code;

	if (!command)
		return ctl_fail(CTL_USAGE,
				"\"%s\" is not a command; see --help", name);
	if (store_address && !schema_is_address(store_address))
		return ctl_fail(CTL_USAGE, "--store \"%s\" is not IP:PORT",
				store_address);
	if (ctl->entry && !schema_is_address(ctl->entry))
		return ctl_fail(CTL_USAGE, "--entry \"%s\" is not IP:PORT",
				ctl->entry);
	if (store_address) {
		etcd = store_etcd_new(store_address, STORE_TIMEOUT_MS);
		ctl->store = store_etcd_as_store(etcd);
		ctl->has_store = true;
	}
	code = check_usage(command, ctl);
	if (code == CTL_DONE)
		code = command->run(ctl);
	store_etcd_free(etcd);
	return code;
}

static const char *value_or_default(const struct arg_str *arg,
				    const char *default_value)
{
	return arg->count ? arg->sval[0] : default_value;
}

int main(int argc, char **argv)
{
	struct arg_str *store =
		arg_str0("s", "store", "IP:PORT", "the platform's store");
	struct arg_str *entry = arg_str0("e", "entry", "IP:PORT", "any entry VM");
	struct arg_str *author =
		arg_str0("a", "author", "NAME", "author of the publication");
	struct arg_str *comment =
		arg_str0("m", "comment", "TEXT", "why it is published");
	struct arg_str *in_force =
		arg_str0("f", "in-force", "FILE",
			 "check-config: show what differs from this version");
	struct arg_lit *undo =
		arg_lit0("u", "undo", "drain: accept new requests again");
	struct arg_lit *json = arg_lit0("j", "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *version =
		arg_lit0("V", "version", "print the version and exit");
	struct arg_str *command_words =
		arg_strn(NULL, NULL, "COMMAND", 0, ARGS_MAX, NULL);
	struct arg_end *end = arg_end(8);
	void *table[] = { store, entry, author,	 comment,	in_force, undo,
			  json,	 help,	version, command_words, end };
	int errors = arg_parse(argc, argv, table);
	struct ctl ctl = { .undo = undo->count, .json = json->count };
	enum ctl_exit code = CTL_USAGE;

	if (help->count) {
		print_help(table);
		code = CTL_DONE;
	} else if (version->count) {
		printf(CTL_PROGRAM " " ABR_VERSION " (%s)\n", build_commit());
		code = CTL_DONE;
	} else if (errors) {
		arg_print_errors(stderr, end, CTL_PROGRAM);
	} else if (!command_words->count) {
		fprintf(stderr, CTL_PROGRAM ": no command; see --help\n");
	} else {
		signal(SIGPIPE, SIG_IGN);
		mg_init_library(0);
		ctl.author = value_or_default(author, getenv("USER"));
		if (!ctl.author)
			ctl.author = "unknown";
		ctl.comment = value_or_default(comment, "");
		ctl.in_force = value_or_default(in_force, NULL);
		ctl.entry = value_or_default(entry, getenv("AUBURNREACH_ENTRY"));
		ctl.args = command_words->sval + 1;
		ctl.arg_count = command_words->count - 1;
		if (!deadline_watcher_start()) {
			code = run_command(
				&ctl, command_words->sval[0],
				value_or_default(store,
						 getenv("AUBURNREACH_STORE")));
			deadline_watcher_stop();
		}
	}
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}
