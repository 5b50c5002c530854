#ifndef DOCUMENT_DOCUMENT_H
#define DOCUMENT_DOCUMENT_H

#include <jansson.h>

#include "base/shape.h"
#include "document/document_defs.h"

/**
 * @file
 * Reading, checking and writing the operators' document. The daemon, the
 * console and the command line use this one validator.
 */

/** The document's fields. */
extern const struct shape document_shape;

/**
 * Parses and checks a document.
 *
 * @param errors receives every error found.
 * @return a document that the caller frees with document_free(), or NULL.
 */
struct document *document_parse(const char *text, size_t text_bytes,
				struct shape_errors *errors);

/** Like document_parse(), from a JSON value. */
struct document *document_from_json(json_t *value, struct shape_errors *errors);

/** Frees a document. NULL is allowed. */
void document_free(struct document *doc);

/** @return a new JSON value of the whole document. */
json_t *document_to_json(const struct document *doc);

/** @return the document's text, compact; the caller frees it. */
char *document_to_text(const struct document *doc);

/** @return the index of the named region, or -1. */
int document_region_index(const struct document *doc, const char *name);

/** @return the index of the region that holds a failure domain, or -1. */
int document_region_of_domain(const struct document *doc,
			      const char *failure_domain);

/** @return the named service, or NULL. */
const struct doc_service *document_service(const struct document *doc,
					   const char *name);

/** @return the service whose prefix is the longest match of `path`, or NULL. */
const struct doc_service *document_service_for_path(const struct document *doc,
						    const char *path);

/** @return the steering of a service's callers in a region, or NULL. */
const struct doc_steering *document_steering(const struct document *doc,
					     const char *service,
					     const char *from);

/** @return whether the document lists the entry VM as leaving. */
bool document_entry_leaving(const struct document *doc, const char *name);

#endif
