#ifndef DOCUMENT_CURRENT_H
#define DOCUMENT_CURRENT_H

#include "document/document.h"

/**
 * @file
 * The document that is active in this process. It is only replaced by a
 * document with a higher version.
 */

/** A reference-counted document with the text it was parsed from. */
struct current_document {
	struct document *doc;
	char *text;
	uint32_t text_bytes;
	uint32_t references;
};

struct current;

/** Result of current_apply(). */
enum current_result {
	CURRENT_APPLIED,
	CURRENT_NOT_NEWER, /**< version is not above the active one */
	CURRENT_INVALID,   /**< not valid (logged), or out of memory */
};

/**
 * Called after a document became active, on the thread that applied it. Calls
 * never overlap.
 */
typedef void (*current_applied_fn)(void *context, const struct document *doc);

struct current *current_new(current_applied_fn on_applied, void *context);
void current_free(struct current *current);

/**
 * @return a new reference to the active document, to be released with
 * current_unref(), or NULL if none has been applied yet. Any thread.
 */
struct current_document *current_get(struct current *current);

/** Drops a reference. NULL is allowed. Any thread. */
void current_unref(struct current_document *ref);

/** @return the active version, or 0 if there is none yet. Any thread. */
uint64_t current_version(struct current *current);

/**
 * Parses a document and makes it the active one if it is valid and its version
 * is higher than the active one. Any thread.
 *
 * @param source sender or store the text came from, for the log.
 */
enum current_result current_apply(struct current *current, const char *text,
				  uint32_t text_bytes, const char *source);

#endif
