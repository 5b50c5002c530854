#ifndef CTL_CTL_DEFS_H
#define CTL_CTL_DEFS_H

#include <jansson.h>
#include <stdbool.h>

#include "store/store_defs.h"

/**
 * @file
 * Types and functions shared by the commands of auburnreachctl.
 */

#define CTL_PROGRAM "auburnreachctl"

/** Exit codes. */
enum ctl_exit {
	CTL_DONE = 0,
	CTL_FAILED = 1, /**< refused, conflicting or unreachable */
	CTL_USAGE = 2,	/**< usage error or invalid document */
};

/** Options and arguments of a command. */
struct ctl {
	struct store store;
	bool has_store;
	const char *entry; /**< "IP:port" of an entry VM, or NULL */
	const char *author;
	const char *comment;
	const char *in_force; /**< file that check-config compares with, or NULL */
	bool json;
	bool undo;
	const char **args; /**< arguments after the command's name */
	int arg_count;
};

/** Runs a command. @return an exit code. */
typedef enum ctl_exit (*ctl_command_fn)(struct ctl *ctl);

enum ctl_exit ctl_check(struct ctl *ctl);
enum ctl_exit ctl_check_config(struct ctl *ctl);
enum ctl_exit ctl_show(struct ctl *ctl);
enum ctl_exit ctl_diff(struct ctl *ctl);
enum ctl_exit ctl_publish(struct ctl *ctl);
enum ctl_exit ctl_drain(struct ctl *ctl);
enum ctl_exit ctl_shift(struct ctl *ctl);
enum ctl_exit ctl_status(struct ctl *ctl);
enum ctl_exit ctl_versions(struct ctl *ctl);
enum ctl_exit ctl_explain(struct ctl *ctl);
enum ctl_exit ctl_trace(struct ctl *ctl);
enum ctl_exit ctl_history(struct ctl *ctl);
enum ctl_exit ctl_schema(struct ctl *ctl);
enum ctl_exit ctl_keygen(struct ctl *ctl);

/**
 * Sends a GET request to an entry VM.
 *
 * @param quiet whether to suppress the error message.
 * @return the response's body as a new JSON value, or NULL.
 */
json_t *ctl_query_entry(struct ctl *ctl, const char *path, bool quiet);

/** Prints a value as JSON and releases the reference. */
void ctl_print_json(json_t *value);

/** Prints "auburnreachctl: ..." to standard error. @return `code`. */
enum ctl_exit ctl_fail(enum ctl_exit code, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif
