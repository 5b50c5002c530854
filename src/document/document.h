#ifndef DOCUMENT_DOCUMENT_H
#define DOCUMENT_DOCUMENT_H

#include <jansson.h>

#include "base/schema.h"
#include "document/document_defs.h"

/**
 * @file
 * Parses, validates and writes the operators' document. The daemon, the console
 * and auburnreachctl share this validator.
 */

/** Schema of the document. */
extern const struct schema document_schema;

/**
 * Parses and validates a document.
 *
 * @param errors receives every error found.
 * @return a document that the caller frees with document_free(), or NULL.
 */
struct document *document_parse(const char *text, size_t text_bytes,
				struct schema_errors *errors);

/** Like document_parse(), from a JSON value. */
struct document *document_from_json(json_t *value, struct schema_errors *errors);

/** Frees a document. NULL is allowed. */
void document_free(struct document *doc);

/** @return the complete document as a new JSON value. */
json_t *document_to_json(const struct document *doc);

/** @return the document as compact JSON text, which the caller frees. */
char *document_to_text(const struct document *doc);

/** @return the index of the named region, or -1. */
int document_region_index(const struct document *doc, const char *name);

/** @return the index of the region that contains a failure domain, or -1. */
int document_region_index_of_domain(const struct document *doc,
				    const char *failure_domain);

/** @return the named service, or NULL. */
const struct doc_service *document_find_service(const struct document *doc,
						const char *name);

/** @return the service with the longest prefix that matches `path`, or NULL. */
const struct doc_service *
document_find_service_for_path(const struct document *doc, const char *path);

/** @return the steering of a service's callers in a region, or NULL. */
const struct doc_steering *document_find_steering(const struct document *doc,
						  const char *service,
						  const char *from);

/** @return whether the document lists the entry VM as leaving. */
bool document_is_entry_leaving(const struct document *doc, const char *name);

#endif
