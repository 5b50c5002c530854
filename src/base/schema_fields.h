#ifndef BASE_SCHEMA_FIELDS_H
#define BASE_SCHEMA_FIELDS_H

#include "base/schema.h"

/**
 * @file
 * Initializers for schemas and their fields. `type` is the structure's tag.
 */

#define SCHEMA_STRING(type, member, key_, kind_, required_, max_, help_)        \
	{                                                                       \
		.key = key_, .kind = kind_,                                     \
		.offset = offsetof(struct type, member), .required = required_, \
		.min = (required_) ? 1 : 0, .max = max_, .help = help_          \
	}
#define SCHEMA_NAME(type, member, key_, required_, help_) \
	SCHEMA_STRING(type, member, key_, FIELD_NAME, required_, 64, help_)
#define SCHEMA_ADDRESS(type, member, key_, required_, help_) \
	SCHEMA_STRING(type, member, key_, FIELD_ADDRESS, required_, 64, help_)
#define SCHEMA_TEXT(type, member, key_, required_, max_, help_) \
	SCHEMA_STRING(type, member, key_, FIELD_TEXT, required_, max_, help_)
#define SCHEMA_U32(type, member, key_, min_, max_, default_, help_)   \
	{                                                             \
		.key = key_, .kind = FIELD_U32,                       \
		.offset = offsetof(struct type, member), .min = min_, \
		.max = max_, .default_value = default_, .help = help_ \
	}
#define SCHEMA_BOOL(type, member, key_, default_, help_) \
	{                                                \
		.key = key_, .kind = FIELD_BOOL,         \
		.offset = offsetof(struct type, member), \
		.default_value = default_, .help = help_ \
	}
#define SCHEMA_LIST(type, member, count, key_, kind_, min_, max_, schema_, help_) \
	{                                                                         \
		.key = key_, .kind = kind_,                                       \
		.offset = offsetof(struct type, member),                          \
		.count_offset = offsetof(struct type, count),                     \
		.required = (min_) > 0, .min = min_, .max = max_,                 \
		.schema = schema_, .help = help_                                  \
	}
#define SCHEMA_OF(type, fields_)                                       \
	{                                                              \
		.fields = fields_, .field_count = ARRAY_SIZE(fields_), \
		.size = sizeof(struct type)                            \
	}

#endif
