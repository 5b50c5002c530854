#ifndef DOCUMENT_DIFF_H
#define DOCUMENT_DIFF_H

#include <jansson.h>

/**
 * @file
 * Compares two documents field by field.
 */

/** Differences beyond this number are left out. */
#define DIFF_ITEMS_MAX 2000

/**
 * Compares two JSON values. Objects in lists are matched by "name", by
 * "service" and "from", by "from" and "to" or by "to"; strings by their text;
 * anything else by index. An inserted item is thus reported as one difference.
 *
 * @return a new list of {"path", "old", "new"}; an absent side is null. Ignores
 * "version", "change_id", "author" and "comment" at the top level.
 */
json_t *diff_documents(json_t *old_value, json_t *new_value);

/**
 * @return a new list of the items of `theirs` whose path equals, contains or is
 * contained in a path of `mine`.
 */
json_t *diff_conflicts(json_t *mine, json_t *theirs);

/** @return "path: old -> new" lines, which the caller frees. */
char *diff_to_text(json_t *differences);

#endif
