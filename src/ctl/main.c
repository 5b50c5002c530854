#include <argtable2.h>
#include <civetweb.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"
#include "base/deadline.h"
#include "base/shape.h"
#include "ctl/ctl_defs.h"
#include "store/store_etcd.h"

/**
 * @file
 * auburnreachctl: checks, publishes and explains from the command line.
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
	{ "show", "", "print the document in the store", ctl_show, true, false,
	  0 },
	{ "diff", "FILE", "compare FILE with the document in the store",
	  ctl_diff, true, false, 1 },
	{ "publish", "FILE",
	  "publish FILE; its version is the one it was "
	  "made from",
	  ctl_publish, true, false, 1 },
	{ "drain", "NAME", "give a backend server or entry VM no new work",
	  ctl_drain, true, false, 1 },
	{ "shift", "SERVICE FROM REGION=N...",
	  "set who serves a region's callers, in thousandths", ctl_shift, true,
	  false, 3 },
	{ "status", "", "entry VMs, versions, backend servers and shifts",
	  ctl_status, false, true, 0 },
	{ "explain", "REQUEST-ID", "why a request went where it did",
	  ctl_explain, false, true, 1 },
	{ "trace", "REQUEST-ID FILE...",
	  "a request's story, from the logs of entry VMs", ctl_trace, false,
	  false, 2 },
	{ "history", "", "who published what, and when", ctl_history, true,
	  false, 0 },
	{ "schema", "", "print the document's JSON schema", ctl_schema, false,
	  false, 0 },
	{ "keygen", "", "make a key pair for the fleet's messages", ctl_keygen,
	  false, false, 0 },
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
		printf("  %-8s %-26s %s\n", commands[i].name,
		       commands[i].arguments, commands[i].help);
	printf("\nOptions:\n");
	arg_print_glossary(stdout, table, "  %-26s %s\n");
	printf("\nExit codes: 0 done, 1 refused, in conflict or out of reach, "
	       "2 wrong use\nor a document that is not valid.\n");
}

/** Checks the command against what was given. @return CTL_DONE if it fits. */
static enum ctl_exit check_use(const struct command *command,
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
	if (store_address && !shape_is_address(store_address))
		return ctl_fail(CTL_USAGE, "--store \"%s\" is not IP:PORT",
				store_address);
	if (ctl->entry && !shape_is_address(ctl->entry))
		return ctl_fail(CTL_USAGE, "--entry \"%s\" is not IP:PORT",
				ctl->entry);
	if (store_address) {
		etcd = store_etcd_new(store_address, STORE_TIMEOUT_MS);
		ctl->store = store_etcd_store(etcd);
		ctl->has_store = true;
	}
	code = check_use(command, ctl);
	if (code == CTL_DONE)
		code = command->run(ctl);
	store_etcd_free(etcd);
	return code;
}

static const char *given_or(const struct arg_str *arg, const char *otherwise)
{
	return arg->count ? arg->sval[0] : otherwise;
}

int main(int argc, char **argv)
{
	struct arg_str *store =
		arg_str0("s", "store", "IP:PORT", "the platform's store");
	struct arg_str *entry = arg_str0("e", "entry", "IP:PORT", "any entry VM");
	struct arg_str *author = arg_str0("a", "author", "NAME", "who publishes");
	struct arg_str *comment =
		arg_str0("m", "comment", "TEXT", "why it is published");
	struct arg_lit *undo =
		arg_lit0("u", "undo", "drain: let it have work again");
	struct arg_lit *json = arg_lit0("j", "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *version =
		arg_lit0("V", "version", "print the version and exit");
	struct arg_str *words =
		arg_strn(NULL, NULL, "COMMAND", 0, ARGS_MAX, NULL);
	struct arg_end *end = arg_end(8);
	void *table[] = { store, entry, author,	 comment, undo,
			  json,	 help,	version, words,	  end };
	int errors = arg_parse(argc, argv, table);
	struct ctl ctl = { .undo = undo->count, .json = json->count };
	enum ctl_exit code = CTL_USAGE;

	if (help->count) {
		print_help(table);
		code = CTL_DONE;
	} else if (version->count) {
		printf(CTL_PROGRAM " " ABR_VERSION "\n");
		code = CTL_DONE;
	} else if (errors) {
		arg_print_errors(stderr, end, CTL_PROGRAM);
	} else if (!words->count) {
		fprintf(stderr, CTL_PROGRAM ": no command; see --help\n");
	} else {
		signal(SIGPIPE, SIG_IGN);
		mg_init_library(0);
		ctl.author = given_or(author, getenv("USER"));
		if (!ctl.author)
			ctl.author = "unknown";
		ctl.comment = given_or(comment, "");
		ctl.entry = given_or(entry, getenv("AUBURNREACH_ENTRY"));
		ctl.args = words->sval + 1;
		ctl.arg_count = words->count - 1;
		if (!deadline_start()) {
			code = run_command(&ctl, words->sval[0],
					   given_or(store,
						    getenv("AUBURNREACH_STORE")));
			deadline_stop();
		}
	}
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}
