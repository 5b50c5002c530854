#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/schema.h"
#include "decide/orders.h"

/**
 * @file
 * Fuzzes the parsers of order keys from callers and of peer addresses.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size); /* NOLINT */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) /* NOLINT */
{
	char *text = strndup((const char *)data, size);
	struct order_key key;
	char prefix[200];

	if (text && order_key_parse(text, &key)) {
		order_key_prefix(&key, prefix, sizeof(prefix));
		if (strchr(prefix, '~') == prefix)
			__builtin_trap(); /* the home's name must not be empty */
	}
	if (text)
		schema_is_address(text);
	free(text);
	return 0;
}
