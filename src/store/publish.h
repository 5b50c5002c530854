#ifndef STORE_PUBLISH_H
#define STORE_PUBLISH_H

#include <jansson.h>

#include "base/schema.h"
#include "store/store_defs.h"

/**
 * @file
 * Publishes documents to the store. No other write changes how traffic is
 * routed.
 */

enum publish_result {
	PUBLISH_DONE,
	PUBLISH_INVALID,     /**< `errors` holds the reasons */
	PUBLISH_CONFLICT,    /**< the document changed since the base version */
	PUBLISH_UNREACHABLE, /**< nothing was written */
	PUBLISH_UNKNOWN,     /**< it may have been written */
};

struct publication {
	json_t *value; /**< the document; receives its version and metadata */
	uint64_t base_version;	/**< version that the change is based on */
	uint64_t floor_version; /**< version in use by the fleet; 0: unknown */
	const char *author;
	const char *comment;
	uint64_t version; /**< receives the published version */
	json_t *conflict; /**< receives the changes since the base, or NULL */
};

/**
 * Reads the document in the store.
 *
 * @param value receives a new JSON value, or NULL when there is none.
 */
enum store_result publish_read_document(const struct store *store,
					json_t **value);

/**
 * Validates and publishes a document. If the store's response is lost, the
 * change id is read back to find out whether the write took effect.
 *
 * @param errors receives the validation errors.
 */
enum publish_result publish_document(const struct store *store,
				     struct publication *publication,
				     struct schema_errors *errors);

/**
 * @return a new list of past publications, oldest first: version, change_id,
 * author, comment, unix_ms and changes. NULL if the store cannot be read.
 */
json_t *publish_read_history(const struct store *store);

/** @return a new list of the changes after `version`, oldest first. */
json_t *publish_read_changes_since(const struct store *store, uint64_t version);

#endif
