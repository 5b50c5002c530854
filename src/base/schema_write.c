#include <stdlib.h>

#include "base/schema_internal.h"

/**
 * @file
 * Frees and writes structures, and generates JSON Schemas.
 */

static void clear_list(const struct field *field, void *object)
{
	uint32_t count = *count_at(object, field);
	char *list = list_at(object, field);
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (field->schema)
			schema_clear(field->schema,
				     list + i * field->schema->size);
		else
			free(((char **)list)[i]);
	}
	free(list);
	set_list(object, field, NULL);
	*count_at(object, field) = 0;
}

void schema_clear(const struct schema *schema, void *object)
{
	size_t i;

	for (i = 0; i < schema->field_count; i++) {
		const struct field *field = &schema->fields[i];

		switch (field->kind) {
		case FIELD_NAME:
		case FIELD_TEXT:
		case FIELD_ADDRESS:
			free(*string_at(object, field));
			*string_at(object, field) = NULL;
			break;
		case FIELD_NAMES:
		case FIELD_ADDRESSES:
		case FIELD_OBJECTS:
			clear_list(field, object);
			break;
		default:
			break;
		}
	}
}

static json_t *write_list(const struct field *field, const void *object)
{
	uint32_t count = *count_at((void *)object, field);
	const char *list = list_at((void *)object, field);
	json_t *array = json_array();
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (field->schema)
			json_array_append_new(
				array,
				schema_write(field->schema,
					     list + i * field->schema->size));
		else
			json_array_append_new(
				array, json_string(((char *const *)list)[i]));
	}
	return array;
}

json_t *schema_write(const struct schema *schema, const void *object)
{
	json_t *value = json_object();
	json_t *item;
	size_t i;

	for (i = 0; i < schema->field_count; i++) {
		const struct field *field = &schema->fields[i];

		switch (field->kind) {
		case FIELD_NAME:
		case FIELD_TEXT:
		case FIELD_ADDRESS:
			item = json_string(*string_at((void *)object, field));
			break;
		case FIELD_U32:
		case FIELD_U64:
			item = json_integer((json_int_t)number_at(object, field));
			break;
		case FIELD_BOOL:
			item = json_boolean(number_at(object, field));
			break;
		default:
			item = write_list(field, object);
			break;
		}
		json_object_set_new(value, field->key, item);
	}
	return value;
}

static json_t *field_to_json_schema(const struct field *field)
{
	json_int_t min = (json_int_t)field->min;
	json_int_t max = (json_int_t)field->max;
	json_t *items;

	switch (field->kind) {
	case FIELD_NAME:
		return json_pack("{s:s,s:s,s:I,s:I}", "type", "string",
				 "pattern", "^[A-Za-z0-9._-]*$", "minLength",
				 min, "maxLength", max);
	case FIELD_TEXT:
	case FIELD_ADDRESS:
		return json_pack("{s:s,s:I,s:I}", "type", "string", "minLength",
				 min, "maxLength", max);
	case FIELD_U32:
	case FIELD_U64:
		return json_pack("{s:s,s:I,s:I}", "type", "integer", "minimum",
				 min, "maximum", max);
	case FIELD_BOOL:
		return json_pack("{s:s}", "type", "boolean");
	case FIELD_ADDRESSES:
		items = json_pack("{s:s}", "type", "string");
		break;
	case FIELD_NAMES:
		items = json_pack("{s:s,s:s}", "type", "string", "pattern",
				  "^[A-Za-z0-9._-]+$");
		break;
	default:
		items = schema_to_json_schema(field->schema);
		break;
	}
	return json_pack("{s:s,s:I,s:I,s:o}", "type", "array", "minItems", min,
			 "maxItems", max, "items", items);
}

json_t *schema_to_json_schema(const struct schema *schema)
{
	json_t *properties = json_object();
	json_t *required = json_array();
	json_t *item;
	size_t i;

	for (i = 0; i < schema->field_count; i++) {
		const struct field *field = &schema->fields[i];

		item = field_to_json_schema(field);
		json_object_set_new(item, "description",
				    json_string(field->help));
		if (!field->required &&
		    (field->kind == FIELD_U32 || field->kind == FIELD_U64))
			json_object_set_new(
				item, "default",
				json_integer((json_int_t)field->default_value));
		json_object_set_new(properties, field->key, item);
		if (field->required)
			json_array_append_new(required, json_string(field->key));
	}
	return json_pack("{s:s,s:b,s:o,s:o}", "type", "object",
			 "additionalProperties", 0, "required", required,
			 "properties", properties);
}
