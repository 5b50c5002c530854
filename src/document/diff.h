#ifndef DOCUMENT_DIFF_H
#define DOCUMENT_DIFF_H

#include <jansson.h>

/**
 * @file
 * The differences between two documents, field by field.
 */

/**
 * Compares two JSON values. Items of lists are matched by their "name", or by
 * "service" and "from", or by "to", so that an inserted item is one
 * difference.
 *
 * @return a new list of {"path", "old", "new"}; an absent side is null.
 * "version", "change_id", "author" and "comment" at the top are left out.
 */
json_t *diff_documents(json_t *old_value, json_t *new_value);

/**
 * @return a new list of the items of `theirs` whose path is also, or lies
 * within or around, a path of `mine`.
 */
json_t *diff_conflicts(json_t *mine, json_t *theirs);

/** @return "path: old -> new" lines, which the caller frees. */
char *diff_to_text(json_t *differences);

#endif
