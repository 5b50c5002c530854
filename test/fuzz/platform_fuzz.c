#include <stdlib.h>
#include <string.h>

#include "fleet/config.h"
#include "fleet/server_limit.h"
#include "fleet/vms.h"
#include "kv/compress.h"
#include "platform/bounds_codec.h"
#include "platform/check/config_check.h"
#include "platform/config_codec.h"
#include "platform/directory_codec.h"
#include "platform/kv_codec.h"
#include "platform/server_codec.h"

/**
 * @file
 * Fuzzes the codecs and the decompressor that read what the platform's store,
 * callers and other entry VMs send, of this build or another.
 */

#define DECOMPRESSED_BYTES_MAX 65536

/* Reads an entry of a VM twice: an unreadable one is remembered. */
static void put_vm(const char *text, size_t size)
{
	static struct topology_domain domains[] = { { "fyn-a", "fyn" } };
	static const struct topology topology = { domains, 1 };
	struct vms *vms = vms_new(&topology);

	vms_put(vms, "e1", text, size);
	vms_put(vms, "e1", text, size);
	vms_free(vms);
}

/* The check must find an error in whatever entry VMs reject. */
static void check_config(const char *text, size_t size)
{
	json_t *document = json_loadb(text, size, JSON_REJECT_DUPLICATES, NULL);
	const char *problem;
	struct config *config = config_decode(text, size, &problem);
	struct findings *findings;

	if (document) {
		findings = config_check(document, document);
		if (!config && !findings->counts[FINDING_ERROR])
			abort();
		findings_free(findings);
	}
	json_decref(document);
	config_unref(config);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size); /* NOLINT */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) /* NOLINT */
{
	char *text = malloc(size + 1);
	struct directory_query question;
	struct server_entry entry;
	struct bounds bounds = { 0 };
	struct kv_page page;
	struct evbuffer *compressed = evbuffer_new();
	struct kv_read_call read;
	struct limit_report report;
	const char *problem;
	uint32_t ttl_ms;
	uint64_t lease;

	memcpy(text, data, size);
	text[size] = '\0';
	check_config(text, size);
	problem = server_entry_decode("servers/x", text, size, &entry);
	(void)problem; /* any text, or none */
	server_entry_clear(&entry);
	if (kv_decode_page(text, size, &page))
		kv_page_clear(&page);
	if (kv_decode_events(text, size, &page))
		kv_page_clear(&page);
	if (kv_decode_read_call(text, &read))
		read.wait_ms = 0;
	evbuffer_add(compressed, text, size);
	if (compress_inflate(compressed, DECOMPRESSED_BYTES_MAX) &&
	    evbuffer_get_length(compressed) > DECOMPRESSED_BYTES_MAX)
		abort();
	evbuffer_free(compressed);
	if (kv_decode_lease(text, size, &lease, &ttl_ms))
		lease = 0;
	if (!limit_report_decode(text, size, &report) &&
	    report.statement.kind == LIMIT_UNKNOWN)
		abort(); /* a report must state something */
	put_vm(text, size);
	bounds_decode(text, &bounds);
	if (directory_query_decode(text, &question))
		question.host[0] = '\0';
	free(text);
	return 0;
}
