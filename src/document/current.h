#ifndef DOCUMENT_CURRENT_H
#define DOCUMENT_CURRENT_H

#include "document/document.h"

/**
 * @file
 * The document in force in this process. Versions only rise.
 */

/** A document with its text, shared by counted references. */
struct current_document {
	struct document *doc;
	char *text;
	uint32_t text_bytes;
	uint32_t references;
};

struct current;

/** What came of an offered document. */
enum current_result {
	CURRENT_APPLIED,
	CURRENT_OLD,	 /**< not above the version in force */
	CURRENT_INVALID, /**< the errors say why */
};

/**
 * Called after a document came into force, on the thread that applied it.
 */
typedef void (*current_applied_fn)(void *context, const struct document *doc);

struct current *current_new(current_applied_fn applied, void *context);
void current_free(struct current *current);

/**
 * @return the document in force, or NULL before the first; to be given back
 * with current_release(). Any thread.
 */
struct current_document *current_get(struct current *current);
void current_release(struct current_document *held);

/** @return the version in force; 0 before the first. Any thread. */
uint64_t current_version(struct current *current);

/**
 * Checks an offered document and puts it in force if it is valid and its
 * version is higher. Any thread.
 *
 * @param source where it came from, for the log.
 */
enum current_result current_offer(struct current *current, const char *text,
				  uint32_t text_bytes, const char *source);

#endif
