#include "base/shape_fields.h"
#include "console/console_defs.h"

static const struct field operator_fields[] = {
	SHAPE_NAME(console_operator, name, "name", true, "the operator's name"),
	SHAPE_TEXT(console_operator, password_hash, "password_hash", true, 256,
		   "made with \"auburnreach-console --hash\""),
};
static const struct shape operator_shape =
	SHAPE_OF(console_operator, operator_fields);

static const struct field settings_fields[] = {
	SHAPE_ADDRESS(console_settings, listen, "listen", true,
		      "IP:port for operators' browsers"),
	SHAPE_TEXT(console_settings, certificate, "certificate", false, 4096,
		   "PEM file with certificate and key; without it, no TLS"),
	SHAPE_ADDRESS(console_settings, store, "store", true,
		      "IP:port of the platform's store"),
	SHAPE_ADDRESS(console_settings, entry, "entry", true,
		      "IP:port of an entry VM, asked for the fleet's state"),
	SHAPE_LIST(console_settings, operators, operator_count, "operators",
		   FIELD_OBJECTS, 1, 256, &operator_shape,
		   "who may use the console"),
};
const struct shape console_settings_shape =
	SHAPE_OF(console_settings, settings_fields);
