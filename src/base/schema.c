#include "base/schema_internal.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ERRORS_REPORTED_MAX 100
#define FILE_BYTES_MAX (1024 * 1024)
#define ADDRESS_BYTES_MAX 64
#define LIST_ITEM_BYTES_MAX 64
#define PATH_BYTES_MAX 256

struct schema_errors schema_errors_new(void)
{
	struct schema_errors errors = { g_string_new(NULL), 0 };

	return errors;
}

void schema_errors_clear(struct schema_errors *errors)
{
	if (errors->text)
		g_string_free(errors->text, TRUE);
	errors->text = NULL;
	errors->count = 0;
}

void schema_add_error(struct schema_errors *errors, const char *path,
		      const char *format, ...)
{
	va_list args;

	if (++errors->count > ERRORS_REPORTED_MAX)
		return;
	g_string_append_printf(errors->text, "%s: ", path);
	va_start(args, format);
	g_string_append_vprintf(errors->text, format, args);
	va_end(args);
	g_string_append_c(errors->text, '\n');
}

bool schema_is_address(const char *text)
{
	unsigned char binary[sizeof(struct in6_addr)];
	char host[ADDRESS_BYTES_MAX];
	const char *colon = strrchr(text, ':');
	char *end;
	size_t host_bytes;
	long port;

	if (!colon || colon == text || !colon[1])
		return false;
	port = strtol(colon + 1, &end, 10);
	if (*end || port < 1 || port > 65535)
		return false;
	host_bytes = (size_t)(colon - text);
	if (host_bytes >= sizeof(host))
		return false;
	memcpy(host, text, host_bytes);
	host[host_bytes] = '\0';
	if (host[0] == '[' && host[host_bytes - 1] == ']') {
		host[host_bytes - 1] = '\0';
		return inet_pton(AF_INET6, host + 1, binary) == 1;
	}
	return inet_pton(AF_INET, host, binary) == 1;
}

static bool is_name(const char *text)
{
	return text[0] && strspn(text, "abcdefghijklmnopqrstuvwxyz"
				       "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				       "0123456789-_.") == strlen(text);
}

static bool is_list(const struct field *field)
{
	return field->kind == FIELD_NAMES || field->kind == FIELD_ADDRESSES ||
	       field->kind == FIELD_OBJECTS;
}

/* A list's `min` and `max` limit its items; their lengths have fixed limits. */
static bool check_length(const struct field *field, size_t bytes,
			 const char *path, struct schema_errors *errors)
{
	uint64_t min = is_list(field) ? 1 : field->min;
	uint64_t max = is_list(field) ? LIST_ITEM_BYTES_MAX : field->max;

	if (bytes >= min && bytes <= max)
		return true;
	schema_add_error(errors, path,
			 "has %zu bytes; must have %" PRIu64 " to %" PRIu64,
			 bytes, min, max);
	return false;
}

static char *read_string(const struct field *field, json_t *value,
			 const char *path, struct schema_errors *errors)
{
	const char *text = json_string_value(value);

	if (!text) {
		schema_add_error(errors, path, "must be a string");
		return NULL;
	}
	if (json_string_length(value) != strlen(text)) {
		schema_add_error(errors, path, "must not contain a NUL byte");
		return NULL;
	}
	if (!check_length(field, strlen(text), path, errors))
		return NULL;
	if ((field->kind == FIELD_NAME || field->kind == FIELD_NAMES) &&
	    *text && !is_name(text)) {
		schema_add_error(errors, path,
				 "\"%.64s\" is not a name; use letters, digits, "
				 "\"-\", \"_\" and \".\"",
				 text);
		return NULL;
	}
	if ((field->kind == FIELD_ADDRESS || field->kind == FIELD_ADDRESSES) &&
	    *text && !schema_is_address(text)) {
		schema_add_error(errors, path,
				 "\"%.64s\" is not an address; write IP:port, such "
				 "as 10.0.0.1:8080",
				 text);
		return NULL;
	}
	return strdup(text);
}

static void read_number(const struct field *field, json_t *value,
			const char *path, void *out, struct schema_errors *errors)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value)) {
		schema_add_error(errors, path, "must be an integer");
	} else if (number < 0 || (uint64_t)number < field->min ||
		   (uint64_t)number > field->max) {
		schema_add_error(errors, path,
				 "%" JSON_INTEGER_FORMAT
				 " is out of range; must be %" PRIu64
				 " to %" PRIu64,
				 number, field->min, field->max);
	} else {
		set_number(out, field, (uint64_t)number);
	}
}

static void read_list(const struct field *field, json_t *value,
		      const char *path, void *out, struct schema_errors *errors)
{
	size_t size = field->schema ? field->schema->size : sizeof(char *);
	char item_path[PATH_BYTES_MAX + 24];
	char *list;
	size_t i;

	if (!json_is_array(value)) {
		schema_add_error(errors, path, "must be a list");
		return;
	}
	if (json_array_size(value) < field->min ||
	    json_array_size(value) > field->max) {
		schema_add_error(errors, path,
				 "has %zu items; must have %" PRIu64
				 " to %" PRIu64,
				 json_array_size(value), field->min, field->max);
		return;
	}
	if (!json_array_size(value))
		return;
	list = calloc(json_array_size(value), size);
	if (!list) {
		schema_add_error(errors, path, "out of memory");
		return;
	}
	set_list(out, field, list);
	*count_at(out, field) = (uint32_t)json_array_size(value);
	for (i = 0; i < json_array_size(value); i++) {
		json_t *item = json_array_get(value, i);

		snprintf(item_path, sizeof(item_path), "%s[%zu]", path, i);
		if (field->schema)
			schema_read(field->schema, item, item_path,
				    list + i * size, errors);
		else
			((char **)list)[i] =
				read_string(field, item, item_path, errors);
	}
}

static void read_field(const struct field *field, json_t *value,
		       const char *path, void *out, struct schema_errors *errors)
{
	switch (field->kind) {
	case FIELD_NAME:
	case FIELD_TEXT:
	case FIELD_ADDRESS:
		*string_at(out, field) = read_string(field, value, path, errors);
		break;
	case FIELD_U32:
	case FIELD_U64:
		read_number(field, value, path, out, errors);
		break;
	case FIELD_BOOL:
		if (!json_is_boolean(value))
			schema_add_error(errors, path, "must be true or false");
		else
			set_number(out, field, json_is_true(value));
		break;
	case FIELD_NAMES:
	case FIELD_ADDRESSES:
	case FIELD_OBJECTS:
		read_list(field, value, path, out, errors);
		break;
	}
}

static void set_default(const struct field *field, const char *path, void *out,
			struct schema_errors *errors)
{
	if (field->required) {
		schema_add_error(errors, path, "is missing; add it (%s)",
				 field->help);
		return;
	}
	switch (field->kind) {
	case FIELD_NAME:
	case FIELD_TEXT:
	case FIELD_ADDRESS:
		*string_at(out, field) = strdup("");
		break;
	case FIELD_U32:
	case FIELD_U64:
	case FIELD_BOOL:
		set_number(out, field, field->default_value);
		break;
	default:
		break;
	}
}

static const struct field *find_field(const struct schema *schema, const char *key)
{
	size_t i;

	for (i = 0; i < schema->field_count; i++)
		if (!strcmp(schema->fields[i].key, key))
			return &schema->fields[i];
	return NULL;
}

bool schema_read(const struct schema *schema, json_t *value, const char *path,
		 void *out, struct schema_errors *errors)
{
	uint32_t error_count_before = errors->count;
	char field_path[PATH_BYTES_MAX];
	const char *dot = *path ? "." : "";
	const char *key;
	json_t *item;
	size_t i;

	if (!json_is_object(value)) {
		schema_add_error(errors, *path ? path : "(top)",
				 "must be an object");
		return false;
	}
	json_object_foreach (value, key, item) {
		if (find_field(schema, key))
			continue;
		snprintf(field_path, sizeof(field_path), "%s%s%.64s", path, dot,
			 key);
		schema_add_error(errors, field_path,
				 "is not a known key; remove or correct it");
	}
	for (i = 0; i < schema->field_count; i++) {
		const struct field *field = &schema->fields[i];

		snprintf(field_path, sizeof(field_path), "%s%s%s", path, dot,
			 field->key);
		item = json_object_get(value, field->key);
		if (item)
			read_field(field, item, field_path, out, errors);
		else
			set_default(field, field_path, out, errors);
	}
	return errors->count == error_count_before;
}

json_t *schema_parse(const char *text, size_t text_bytes, size_t bytes_max,
		     struct schema_errors *errors)
{
	json_error_t error;
	json_t *value;

	if (text_bytes > bytes_max) {
		schema_add_error(errors, "(top)",
				 "has %zu bytes; at most %zu are allowed",
				 text_bytes, bytes_max);
		return NULL;
	}
	value = json_loadb(text, text_bytes, JSON_REJECT_DUPLICATES, &error);
	if (!value)
		schema_add_error(errors, "(top)",
				 "invalid JSON at line %d, column %d: %s",
				 error.line, error.column, error.text);
	return value;
}

bool schema_read_file(const struct schema *schema, const char *file_name,
		      void *out, struct schema_errors *errors)
{
	GError *error = NULL;
	json_t *value;
	char *text;
	gsize text_bytes;
	bool read = false;

	if (!g_file_get_contents(file_name, &text, &text_bytes, &error)) {
		schema_add_error(errors, file_name, "%s", error->message);
		g_error_free(error);
		return false;
	}
	value = schema_parse(text, text_bytes, FILE_BYTES_MAX, errors);
	if (value)
		read = schema_read(schema, value, "", out, errors);
	json_decref(value);
	g_free(text);
	return read;
}
