#ifndef BASE_SCHEMA_H
#define BASE_SCHEMA_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/attributes.h"

/**
 * @file
 * Schemas that map JSON objects to structures by a table of fields.
 *
 * The table is used to validate input (reporting all errors at once and rejecting
 * unknown keys), to free and write the structure, and to generate a JSON Schema.
 */

enum field_kind {
	FIELD_NAME,	 /**< char *: letters, digits, "-", "_", "." */
	FIELD_TEXT,	 /**< char *: any text */
	FIELD_ADDRESS,	 /**< char *: "IP:port" */
	FIELD_U32,	 /**< uint32_t */
	FIELD_U64,	 /**< uint64_t */
	FIELD_BOOL,	 /**< bool */
	FIELD_NAMES,	 /**< char ** and a count: list of names */
	FIELD_ADDRESSES, /**< char ** and a count: list of "IP:port" */
	FIELD_OBJECTS,	 /**< array of structures and a count */
};

struct schema;

/** One key of an object, and the structure member that holds its value. */
struct field {
	const char *key;
	enum field_kind kind;
	size_t offset;
	size_t count_offset; /**< of the uint32_t count; lists only */
	bool required;
	uint64_t min; /**< smallest number, string bytes or list items */
	uint64_t max;
	uint64_t default_value;	     /**< number or bool to use if absent */
	const struct schema *schema; /**< of the objects of a list */
	const char *help;
};

/** The fields of an object and the size of its structure. */
struct schema {
	const struct field *fields;
	size_t field_count;
	size_t size;
};

/** Errors of one input, as lines "path: what is wrong; the remedy". */
struct schema_errors {
	GString *text;
	uint32_t count;
};

/** @return an empty list, to be freed with schema_errors_clear(). */
struct schema_errors schema_errors_new(void);
/** Frees the text; the list must not be used afterwards. */
void schema_errors_clear(struct schema_errors *errors);

/** Adds an error at `path`. After the first 100, errors are only counted. */
void schema_add_error(struct schema_errors *errors, const char *path,
		      const char *format, ...) PRINTF_LIKE(3, 4);

/**
 * Validates `value` and reads it into `out`.
 *
 * @param path prefix of the paths in errors; "" for the top level.
 * @param out must be zeroed; the caller frees it with schema_clear(), also
 * after errors.
 * @return true if no error was added.
 */
bool schema_read(const struct schema *schema, json_t *value, const char *path,
		 void *out, struct schema_errors *errors);

/** Frees the strings and lists of the structure, not the structure itself. */
void schema_clear(const struct schema *schema, void *object);

/** @return a new JSON object with all fields of `object`, or NULL. */
json_t *schema_write(const struct schema *schema, const void *object);

/** @return a new JSON Schema document for `schema`, or NULL. */
json_t *schema_to_json_schema(const struct schema *schema);

/**
 * Parses JSON text; duplicate keys are errors.
 *
 * @param bytes_max longer input is rejected before parsing.
 * @return a new value, or NULL with one error added.
 */
json_t *schema_parse(const char *text, size_t text_bytes, size_t bytes_max,
		     struct schema_errors *errors);

/** Reads a JSON file into `out`. See schema_read(). */
bool schema_read_file(const struct schema *schema, const char *file_name,
		      void *out, struct schema_errors *errors);

/** @return whether `text` is "IPv4:port" or "[IPv6]:port". */
bool schema_is_address(const char *text);

#endif
