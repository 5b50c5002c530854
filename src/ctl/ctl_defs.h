#ifndef CTL_CTL_DEFS_H
#define CTL_CTL_DEFS_H

#include <jansson.h>
#include <stdbool.h>

#include "store/store_defs.h"

/**
 * @file
 * What the commands of auburnreachctl share.
 */

#define CTL_PROGRAM "auburnreachctl"

/** Exit codes. */
enum ctl_exit {
	CTL_DONE = 0,
	CTL_FAILED = 1, /**< refused, in conflict, or out of reach */
	CTL_USAGE = 2,	/**< wrong use, or a document that is not valid */
};

/** Options that every command takes. */
struct ctl {
	struct store store;
	bool has_store;
	const char *entry; /**< "IP:port" of an entry VM, or NULL */
	const char *author;
	const char *comment;
	bool json;
	bool undo;
	const char **args; /**< what follows the command */
	int arg_count;
};

/** One command. @return an exit code. */
typedef enum ctl_exit (*ctl_command_fn)(struct ctl *ctl);

enum ctl_exit ctl_check(struct ctl *ctl);
enum ctl_exit ctl_show(struct ctl *ctl);
enum ctl_exit ctl_diff(struct ctl *ctl);
enum ctl_exit ctl_publish(struct ctl *ctl);
enum ctl_exit ctl_drain(struct ctl *ctl);
enum ctl_exit ctl_shift(struct ctl *ctl);
enum ctl_exit ctl_status(struct ctl *ctl);
enum ctl_exit ctl_explain(struct ctl *ctl);
enum ctl_exit ctl_trace(struct ctl *ctl);
enum ctl_exit ctl_history(struct ctl *ctl);
enum ctl_exit ctl_schema(struct ctl *ctl);
enum ctl_exit ctl_keygen(struct ctl *ctl);

/**
 * Asks an entry VM.
 *
 * @param quiet whether to leave out the line on standard error.
 * @return a new JSON value, or NULL.
 */
json_t *ctl_ask_entry(struct ctl *ctl, const char *path, bool quiet);

/** Prints a value as JSON and releases it. */
void ctl_print_json(json_t *value);

/** Prints "auburnreachctl: what" on standard error. */
enum ctl_exit ctl_fail(enum ctl_exit code, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif
