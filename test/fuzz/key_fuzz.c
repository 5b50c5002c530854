#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/shape.h"
#include "decide/orders.h"

/**
 * @file
 * Order keys of callers, and addresses of peers.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size); /* NOLINT */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) /* NOLINT */
{
	char *text = strndup((const char *)data, size);
	struct order_key parts;
	char prefix[200];

	if (text && order_key_parse(text, &parts)) {
		order_key_prefix(&parts, prefix, sizeof(prefix));
		if (strchr(prefix, '~') == prefix)
			__builtin_trap(); /* a home has a name */
	}
	if (text)
		shape_is_address(text);
	free(text);
	return 0;
}
