#include <stddef.h>
#include <stdint.h>

#include "document/diff.h"
#include "document/document.h"

/**
 * @file
 * Fuzzes the document parser, which reads documents from the store, from peers
 * and from operators' files.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size); /* NOLINT */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) /* NOLINT */
{
	struct schema_errors errors = schema_errors_new();
	struct document *doc = document_parse((const char *)data, size, &errors);
	json_t *value, *diff;

	if (doc) {
		value = document_to_json(doc);
		diff = diff_documents(value, value);
		if (json_array_size(diff))
			__builtin_trap();
		json_decref(diff);
		json_decref(value);
	} else if (!errors.count) {
		__builtin_trap(); /* a rejected document must have an error */
	}
	document_free(doc);
	schema_errors_clear(&errors);
	return 0;
}
