#ifndef BASE_SHAPE_H
#define BASE_SHAPE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/attributes.h"

/**
 * @file
 * JSON objects read into structures by tables of fields.
 *
 * One table checks the input (all errors at once, unknown keys refused), frees
 * and writes the structure, and yields its JSON schema.
 */

enum field_kind {
	FIELD_NAME,	 /**< char *: letters, digits, "-", "_", "." */
	FIELD_TEXT,	 /**< char *: any text */
	FIELD_ADDRESS,	 /**< char *: "IP:port" */
	FIELD_U32,	 /**< uint32_t */
	FIELD_U64,	 /**< uint64_t */
	FIELD_BOOL,	 /**< bool */
	FIELD_NAMES,	 /**< char **, with a count: list of names */
	FIELD_ADDRESSES, /**< char **, with a count: list of "IP:port" */
	FIELD_OBJECTS,	 /**< array of structures, with a count */
};

struct shape;

/** One key of an object. */
struct field {
	const char *key;
	enum field_kind kind;
	size_t offset;
	size_t count_offset; /**< of a uint32_t, for lists */
	bool required;
	uint64_t min; /**< of a number, of a text's bytes, of a list's count */
	uint64_t max;
	uint64_t fallback; /**< value of a number or bool that is absent */
	const struct shape *shape; /**< of a list's objects */
	const char *help;
};

/** An object's fields and the size of its structure. */
struct shape {
	const struct field *fields;
	size_t field_count;
	size_t size;
};

/** Errors found in one input, as lines "path: what is wrong; the remedy". */
struct shape_errors {
	GString *text;
	uint32_t count;
};

/** @return an empty list; the caller frees `text` with shape_errors_clear(). */
struct shape_errors shape_errors_new(void);
void shape_errors_clear(struct shape_errors *errors);

/** Adds one error at `path`. Errors past the hundredth are only counted. */
void shape_error(struct shape_errors *errors, const char *path,
		 const char *format, ...) PRINTF_LIKE(3, 4);

/**
 * Reads `value` into `out`, which must be zeroed.
 *
 * Whatever the outcome, the caller frees `out` with shape_clear().
 * @return whether no error was added.
 */
bool shape_read(const struct shape *shape, json_t *value, const char *path,
		void *out, struct shape_errors *errors);

/** Frees what the structure's fields own, not the structure itself. */
void shape_clear(const struct shape *shape, void *object);

/** @return a new JSON object with every field of `object`, or NULL. */
json_t *shape_write(const struct shape *shape, const void *object);

/** @return a new JSON schema of the shape, or NULL. */
json_t *shape_schema(const struct shape *shape);

/**
 * Parses bounded JSON text.
 *
 * @param bytes_max longer input is refused before parsing.
 * @return a new value, or NULL with one error added.
 */
json_t *shape_parse(const char *text, size_t text_bytes, size_t bytes_max,
		    struct shape_errors *errors);

/**
 * Reads a JSON file into `out`. See shape_read().
 */
bool shape_read_file(const struct shape *shape, const char *file_name,
		     void *out, struct shape_errors *errors);

/** @return whether `text` is "IP:port" with an IPv4 or bracketed IPv6 one. */
bool shape_is_address(const char *text);

#endif
