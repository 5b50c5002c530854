#include "console/console_defs.h"

#define PLACE(member) .offset = offsetof(struct console_settings, member)

static const struct field operator_fields[] = {
	{ .key = "name",
	  .kind = FIELD_NAME,
	  .offset = offsetof(struct console_operator, name),
	  .required = true,
	  .min = 1,
	  .max = 64,
	  .help = "the operator's name" },
	{ .key = "password_hash",
	  .kind = FIELD_TEXT,
	  .offset = offsetof(struct console_operator, password_hash),
	  .required = true,
	  .min = 13,
	  .max = 256,
	  .help = "made with \"auburnreach-console --hash\"" },
};

static const struct shape operator_shape = {
	.fields = operator_fields,
	.field_count = ARRAY_SIZE(operator_fields),
	.size = sizeof(struct console_operator),
};

static const struct field settings_fields[] = {
	{ .key = "listen",
	  .kind = FIELD_ADDRESS,
	  PLACE(listen),
	  .required = true,
	  .min = 1,
	  .max = 64,
	  .help = "IP:port for operators' browsers" },
	{ .key = "certificate",
	  .kind = FIELD_TEXT,
	  PLACE(certificate),
	  .max = 4096,
	  .help = "PEM file with certificate and key; without it, no TLS" },
	{ .key = "store",
	  .kind = FIELD_ADDRESS,
	  PLACE(store),
	  .required = true,
	  .min = 1,
	  .max = 64,
	  .help = "IP:port of the platform's store" },
	{ .key = "entry",
	  .kind = FIELD_ADDRESS,
	  PLACE(entry),
	  .required = true,
	  .min = 1,
	  .max = 64,
	  .help = "IP:port of an entry VM, asked for the fleet's state" },
	{ .key = "operators",
	  .kind = FIELD_OBJECTS,
	  PLACE(operators),
	  .count_offset = offsetof(struct console_settings, operator_count),
	  .required = true,
	  .min = 1,
	  .max = 256,
	  .shape = &operator_shape,
	  .help = "who may use the console" },
};

const struct shape console_settings_shape = {
	.fields = settings_fields,
	.field_count = ARRAY_SIZE(settings_fields),
	.size = sizeof(struct console_settings),
};
