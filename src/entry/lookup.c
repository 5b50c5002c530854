#include "entry/lookup.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "entry/lookup_snapshot.h"
#include "entry/steering.h"
#include "http/http_server.h"

#define ENTRIES_MAX 3
#define BLOCK_TEXT_BYTES 64
#define IPV4_BLOCK_BITS 24
#define IPV6_BLOCK_BITS 48
#define KEY_PREFIX_BYTES 160
#define RETRY_AFTER "Retry-After: 1\r\n"

/** A look-up in progress, with the data it is decided on. */
struct lookup {
	struct entry *entry;
	const struct document *doc;
	const struct doc_service *service;
	const struct lookup_snapshot *snapshot;
	const struct peer_view *view;
	char block[BLOCK_TEXT_BYTES];
	const char *from;
	int region;
	uint32_t chosen[ENTRIES_MAX];
	uint32_t chosen_count;
};

/**
 * Formats the address block (/24 for IPv4, /48 for IPv6) that contains an
 * address. Other text is copied.
 */
static void format_block(const char *address, char *block)
{
	unsigned char binary[16];
	char text[INET6_ADDRSTRLEN];

	if (inet_pton(AF_INET, address, binary) == 1) {
		binary[3] = 0;
		inet_ntop(AF_INET, binary, text, sizeof(text));
		snprintf(block, BLOCK_TEXT_BYTES, "%s/%d", text, IPV4_BLOCK_BITS);
	} else if (inet_pton(AF_INET6, address, binary) == 1) {
		memset(binary + 6, 0, 10);
		inet_ntop(AF_INET6, binary, text, sizeof(text));
		snprintf(block, BLOCK_TEXT_BYTES, "%s/%d", text, IPV6_BLOCK_BITS);
	} else {
		snprintf(block, BLOCK_TEXT_BYTES, "%.60s", address);
	}
}

/** @return the regions that can serve the service now, one bit each. */
static uint64_t usable_regions(const struct lookup *lookup)
{
	const struct lookup_snapshot *snapshot = lookup->snapshot;
	uint64_t usable =
		snapshot->regions_with_entry &
		snapshot->regions_with_server[lookup->service - lookup->doc->services];
	struct backends_load load;

	backends_get_load(lookup->entry->backends, lookup->service->name, &load);
	if (snapshot->own_region >= 0 && !load.usable_slots)
		usable &= ~(1ULL << snapshot->own_region);
	return usable;
}

static void choose_entries(struct lookup *lookup)
{
	const struct lookup_snapshot_region *region =
		&lookup->snapshot->regions[lookup->region];

	lookup->chosen_count =
		rank_choose(region->candidates, region->candidate_count,
			    rank_hash(lookup->block), lookup->chosen,
			    ENTRIES_MAX);
}

static json_t *home_json(const struct member *home)
{
	struct order_key key = {
		.incarnation = home->incarnation,
		.claimed = !(home->flags & MEMBER_UNCLAIMED),
		.issued_unix_s = clock_unix_ms(&clock_system) / MS_PER_S,
	};
	char prefix[KEY_PREFIX_BYTES];

	snprintf(key.home, sizeof(key.home), "%s", home->name);
	order_key_prefix(&key, prefix, sizeof(prefix));
	return json_pack("{s:s,s:s,s:s}", "name", home->name, "address",
			 home->http_address, "key_prefix", prefix);
}

static json_t *response_json(const struct lookup *lookup)
{
	json_t *entries = json_array();
	uint32_t i;

	for (i = 0; i < lookup->chosen_count; i++) {
		const struct member *member =
			&lookup->view->members[lookup->chosen[i]];

		json_array_append_new(entries, json_pack("{s:s,s:s,s:s}", "name",
							 member->name, "address",
							 member->http_address,
							 "failure_domain",
							 member->failure_domain));
	}
	return json_pack("{s:s,s:s,s:s,s:s,s:I,s:i,s:o,s:o}", "service",
			 lookup->service->name, "block", lookup->block, "from",
			 lookup->from, "region",
			 lookup->doc->regions[lookup->region].name, "version",
			 (json_int_t)lookup->doc->version, "ttl_ms",
			 (int)lookup->doc->lookup_ttl_ms, "entries", entries,
			 "order_home",
			 home_json(&lookup->view->members[lookup->chosen[0]]));
}

static void reply_error(struct mg_connection *connection, uint32_t status,
			const char *reason, const char *remedy)
{
	counter_add(COUNTER_LOOKUPS_REFUSED, 1);
	http_reply_error(connection, status, status == 503 ? RETRY_AFTER : NULL,
			 reason, remedy);
}

/** Reads the query string. @return false after an error response. */
static bool read_query(struct mg_connection *connection, struct lookup *lookup)
{
	const struct document *doc = lookup->doc;
	char service[65], address[BLOCK_TEXT_BYTES], from[65];
	int region;

	if (!http_query_parameter(connection, "service", service,
				  sizeof(service))) {
		reply_error(connection, 400, "service is missing",
			    "add ?service=NAME");
		return false;
	}
	lookup->service = document_find_service(doc, service);
	if (!lookup->service) {
		reply_error(connection, 404, "service is not in the document",
			    "ask for a service that the operators published");
		return false;
	}
	if (!http_query_parameter(connection, "client", address, sizeof(address)))
		snprintf(address, sizeof(address), "%s",
			 mg_get_request_info(connection)->remote_addr);
	format_block(address, lookup->block);
	region = document_region_index_of_domain(
		doc, lookup->entry->settings.failure_domain);
	if (http_query_parameter(connection, "from", from, sizeof(from)))
		region = document_region_index(doc, from);
	if (region >= 0) {
		lookup->from = doc->regions[region].name;
		return true;
	}
	reply_error(connection, 400, "from is not a region of the document",
		    "leave it out or name a region");
	return false;
}

static void respond(struct mg_connection *connection, struct lookup *lookup)
{
	char headers[96];

	lookup->region =
		steering_choose_region(lookup->entry->steering,
				       lookup->service->name, lookup->from,
				       lookup->block, usable_regions(lookup));
	if (lookup->region >= 0)
		choose_entries(lookup);
	if (!lookup->chosen_count) {
		log_warn("lookup", "no region can serve service=%s block=%s",
			 lookup->service->name, lookup->block);
		reply_error(connection, 503, "no region can serve now",
			    "ask again after the time in Retry-After");
		return;
	}
	log_info("lookup",
		 "answered service=%s block=%s from=%s region=%s entry=%s "
		 "version=%" PRIu64,
		 lookup->service->name, lookup->block, lookup->from,
		 lookup->doc->regions[lookup->region].name,
		 lookup->view->members[lookup->chosen[0]].name,
		 lookup->doc->version);
	counter_add(COUNTER_LOOKUPS, 1);
	snprintf(headers, sizeof(headers),
		 "Cache-Control: private, max-age=%u\r\n",
		 (unsigned)(lookup->doc->lookup_ttl_ms / MS_PER_S));
	http_reply_json(connection, 200, headers, response_json(lookup));
}

int lookup_handle(struct mg_connection *connection, void *context)
{
	struct lookup lookup = { .entry = context };
	struct lookup_snapshot *snapshot = lookup_snapshot_get(lookup.entry);

	if (!snapshot) {
		reply_error(connection, 503, "no document is in force yet",
			    "publish one, or wait until this VM has heard of it");
		return 503;
	}
	lookup.snapshot = snapshot;
	lookup.doc = snapshot->current_doc->doc;
	lookup.view = snapshot->view;
	if (read_query(connection, &lookup))
		respond(connection, &lookup);
	lookup_snapshot_unref(snapshot);
	return 200;
}
