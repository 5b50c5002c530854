#ifndef BASE_SCHEMA_INTERNAL_H
#define BASE_SCHEMA_INTERNAL_H

#include <string.h>

#include "base/schema.h"

/**
 * @file
 * Access to the structure members that the fields of a schema describe.
 */

static inline char **string_at(void *object, const struct field *field)
{
	return (char **)((char *)object + field->offset);
}

static inline uint32_t *count_at(void *object, const struct field *field)
{
	return (uint32_t *)((char *)object + field->count_offset);
}

static inline void *list_at(void *object, const struct field *field)
{
	void *list;

	memcpy(&list, (char *)object + field->offset, sizeof(list));
	return list;
}

static inline void set_list(void *object, const struct field *field, void *list)
{
	memcpy((char *)object + field->offset, &list, sizeof(list));
}

static inline void set_number(void *object, const struct field *field,
			      uint64_t number)
{
	char *member = (char *)object + field->offset;

	if (field->kind == FIELD_U32)
		*(uint32_t *)member = (uint32_t)number;
	else if (field->kind == FIELD_U64)
		*(uint64_t *)member = number;
	else
		*(bool *)member = number != 0;
}

static inline uint64_t number_at(const void *object, const struct field *field)
{
	const char *member = (const char *)object + field->offset;

	if (field->kind == FIELD_U32)
		return *(const uint32_t *)member;
	if (field->kind == FIELD_U64)
		return *(const uint64_t *)member;
	return *(const bool *)member;
}

#endif
