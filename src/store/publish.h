#ifndef STORE_PUBLISH_H
#define STORE_PUBLISH_H

#include <jansson.h>

#include "base/shape.h"
#include "store/store_defs.h"

/**
 * @file
 * Publishing a document: the only writes that change how traffic flows.
 */

enum publish_result {
	PUBLISH_DONE,
	PUBLISH_INVALID,     /**< the errors say why */
	PUBLISH_CONFLICT,    /**< another publication came first */
	PUBLISH_UNREACHABLE, /**< nothing was written */
	PUBLISH_UNKNOWN,     /**< it may have been written */
};

struct publication {
	json_t *value;		/**< the document; its version is set here */
	uint64_t base_version;	/**< what the change was made from */
	uint64_t floor_version; /**< the fleet's; 0: not known */
	const char *author;
	const char *comment;
	uint64_t version; /**< receives the version published */
	json_t *conflict; /**< receives what changed since the base, or NULL */
};

/**
 * Reads the document in the store.
 *
 * @param value receives a new JSON value, or NULL when there is none.
 */
enum store_result publish_read(const struct store *store, json_t **value);

/**
 * Checks and publishes. An answer lost by the store is resolved by reading
 * back the change id.
 *
 * @param errors receives what is wrong with the document.
 */
enum publish_result publish_run(const struct store *store,
				struct publication *publication,
				struct shape_errors *errors);

/**
 * @return a new list of past publications, oldest first: version, change_id,
 * author, comment, unix_ms and changes. NULL when the store does not answer.
 */
json_t *publish_history(const struct store *store);

/** @return a new list of the changes after `version`, in order. */
json_t *publish_changes_since(const struct store *store, uint64_t version);

#endif
