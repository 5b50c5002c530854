#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "wire/wire.h"

/**
 * @file
 * Fuzzes the parser of messages from peers.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size); /* NOLINT */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) /* NOLINT */
{
	Wire__Envelope *envelope = wire_unpack(data, size);
	size_t packed_bytes;
	void *packed;

	if (!envelope)
		return 0;
	packed = wire_pack(envelope, &packed_bytes);
	if (!packed)
		__builtin_trap();
	free(packed);
	wire_free(envelope);
	return 0;
}
