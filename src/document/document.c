#include "document/document.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/schema_fields.h"

static const struct field region_fields[] = {
	SCHEMA_NAME(doc_region, name, "name", true, "the region's name"),
	SCHEMA_LIST(doc_region, failure_domains, failure_domain_count,
		    "failure_domains", FIELD_NAMES, 1, 16, NULL,
		    "names of the region's failure domains"),
};
static const struct schema region_schema = SCHEMA_OF(doc_region, region_fields);

static const struct field link_fields[] = {
	SCHEMA_NAME(doc_link, from, "from", true, "one region"),
	SCHEMA_NAME(doc_link, to, "to", true, "the other region"),
	SCHEMA_U32(doc_link, mbit_per_s, "mbit_per_s", 1, 10000000, 4000,
		   "capacity each way, in Mbit/s"),
};
static const struct schema link_schema = SCHEMA_OF(doc_link, link_fields);

static const struct field service_fields[] = {
	SCHEMA_NAME(doc_service, name, "name", true, "the service's name"),
	{ .key = "path_prefix",
	  .kind = FIELD_TEXT,
	  .offset = offsetof(struct doc_service, path_prefix),
	  .required = true,
	  .min = 2,
	  .max = 64,
	  .help = "requests under this path belong to the service" },
	SCHEMA_U32(doc_service, deadline_ms, "deadline_ms", 10, 600000, 5000,
		   "time a request may take, in ms"),
	SCHEMA_U32(doc_service, attempts_max, "attempts_max", 1, 5, 3,
		   "backend servers tried for one request, at most"),
	SCHEMA_U32(doc_service, retry_budget_permille, "retry_budget_permille",
		   0, PERMILLE, 100,
		   "retries allowed, in thousandths of the requests"),
	SCHEMA_U32(doc_service, queue_max, "queue_max", 0, 10000, 64,
		   "requests that may wait for a slot in one entry VM"),
	SCHEMA_U32(doc_service, body_bytes_max, "body_bytes_max", 0, 16777216,
		   1048576, "largest request body, in bytes"),
	SCHEMA_U32(doc_service, response_bytes_max, "answer_bytes_max", 1,
		   67108864, 4194304, "largest answer body, in bytes"),
	SCHEMA_U32(doc_service, order_memory_ms, "order_memory_ms", 60000,
		   86400000, 3600000, "time an order's key is remembered, in ms"),
	SCHEMA_BOOL(doc_service, key_required, "key_required", true,
		    "refuse non-idempotent requests without an Idempotency-Key"),
};
static const struct schema service_schema =
	SCHEMA_OF(doc_service, service_fields);

static const struct field backend_fields[] = {
	SCHEMA_NAME(doc_backend, name, "name", true, "the backend server's name"),
	SCHEMA_NAME(doc_backend, service, "service", true, "the service it runs"),
	SCHEMA_NAME(doc_backend, failure_domain, "failure_domain", true,
		    "where it stands"),
	SCHEMA_ADDRESS(doc_backend, address, "address", true, "IP:port"),
	SCHEMA_U32(doc_backend, slots, "slots", 1, 10000, 1,
		   "requests it runs at the same time"),
	SCHEMA_U32(doc_backend, connections, "connections", 1, 100000, 100,
		   "connections it accepts"),
	SCHEMA_BOOL(doc_backend, leaving, "leaving", false,
		    "true: it gets no new requests"),
};
static const struct schema backend_schema =
	SCHEMA_OF(doc_backend, backend_fields);

static const struct field share_fields[] = {
	SCHEMA_NAME(doc_share, to, "to", true, "the region that serves the share"),
	SCHEMA_U32(doc_share, permille, "permille", 0, PERMILLE, 0,
		   "the share, in thousandths"),
};
static const struct schema share_schema = SCHEMA_OF(doc_share, share_fields);

static const struct field steering_fields[] = {
	SCHEMA_NAME(doc_steering, service, "service", true, "the service"),
	SCHEMA_NAME(doc_steering, from, "from", true, "the callers' region"),
	SCHEMA_LIST(doc_steering, shares, share_count, "shares", FIELD_OBJECTS,
		    1, DOCUMENT_REGIONS_MAX, &share_schema,
		    "regions that serve them; the shares sum to 1000"),
	SCHEMA_U32(doc_steering, move_cap_permille, "move_cap_permille", 1,
		   PERMILLE, 50,
		   "traffic that may move in one window, in thousandths"),
	SCHEMA_U32(doc_steering, window_ms, "window_ms", 100, 86400000, 10000,
		   "the window of the cap, in ms"),
};
static const struct schema steering_schema =
	SCHEMA_OF(doc_steering, steering_fields);

static const struct field document_fields[] = {
	{ .key = "version",
	  .kind = FIELD_U64,
	  .offset = offsetof(struct document, version),
	  .required = true,
	  .min = 1,
	  .max = 1ULL << 52,
	  .help = "grows by one with each publication" },
	SCHEMA_NAME(document, change_id, "change_id", false,
		    "identifies the publication; set by the publisher"),
	SCHEMA_TEXT(document, author, "author", false, 128, "who published it"),
	SCHEMA_TEXT(document, comment, "comment", false, 1024,
		    "why it was published"),
	SCHEMA_U32(document, lookup_ttl_ms, "lookup_ttl_ms", 100, 600000, 2000,
		   "time a caller may use a look-up answer, in ms"),
	SCHEMA_LIST(document, regions, region_count, "regions", FIELD_OBJECTS,
		    1, DOCUMENT_REGIONS_MAX, &region_schema, "the regions"),
	SCHEMA_LIST(document, links, link_count, "links", FIELD_OBJECTS, 0,
		    2016, &link_schema, "links between regions"),
	SCHEMA_LIST(document, services, service_count, "services",
		    FIELD_OBJECTS, 1, 64, &service_schema, "the services"),
	SCHEMA_LIST(document, backends, backend_count, "backends", FIELD_OBJECTS,
		    0, 4096, &backend_schema, "the backend servers"),
	SCHEMA_LIST(document, steering, steering_count, "steering",
		    FIELD_OBJECTS, 0, 4096, &steering_schema,
		    "which regions serve whose callers"),
	SCHEMA_LIST(document, leaving_entries, leaving_entry_count,
		    "leaving_entries", FIELD_NAMES, 0, 1024, NULL,
		    "entry VMs that look-up answers must leave out"),
};
const struct schema document_schema = SCHEMA_OF(document, document_fields);

int document_region_index(const struct document *doc, const char *name)
{
	uint32_t i;

	for (i = 0; i < doc->region_count; i++)
		if (!strcmp(doc->regions[i].name, name))
			return (int)i;
	return -1;
}

int document_region_index_of_domain(const struct document *doc,
				    const char *failure_domain)
{
	uint32_t i, k;

	for (i = 0; i < doc->region_count; i++) {
		const struct doc_region *region = &doc->regions[i];

		for (k = 0; k < region->failure_domain_count; k++)
			if (!strcmp(region->failure_domains[k], failure_domain))
				return (int)i;
	}
	return -1;
}

const struct doc_service *document_find_service(const struct document *doc,
						const char *name)
{
	uint32_t i;

	for (i = 0; i < doc->service_count; i++)
		if (!strcmp(doc->services[i].name, name))
			return &doc->services[i];
	return NULL;
}

const struct doc_service *
document_find_service_for_path(const struct document *doc, const char *path)
{
	const struct doc_service *best = NULL;
	size_t best_bytes = 0;
	uint32_t i;

	for (i = 0; i < doc->service_count; i++) {
		const char *prefix = doc->services[i].path_prefix;
		size_t bytes = strlen(prefix);

		if (bytes <= best_bytes || strncmp(path, prefix, bytes))
			continue;
		if (path[bytes] && path[bytes] != '/' && path[bytes] != '?')
			continue;
		best = &doc->services[i];
		best_bytes = bytes;
	}
	return best;
}

const struct doc_steering *document_find_steering(const struct document *doc,
						  const char *service,
						  const char *from)
{
	uint32_t i;

	for (i = 0; i < doc->steering_count; i++)
		if (!strcmp(doc->steering[i].service, service) &&
		    !strcmp(doc->steering[i].from, from))
			return &doc->steering[i];
	return NULL;
}

bool document_is_entry_leaving(const struct document *doc, const char *name)
{
	uint32_t i;

	for (i = 0; i < doc->leaving_entry_count; i++)
		if (!strcmp(doc->leaving_entries[i], name))
			return true;
	return false;
}

static void check_unique(GHashTable *seen, const char *name, const char *path,
			 struct schema_errors *errors)
{
	if (!g_hash_table_add(seen, (char *)name))
		schema_add_error(errors, path,
				 "\"%s\" is used twice; names must be unique",
				 name);
}

static void check_regions(const struct document *doc, struct schema_errors *errors)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	char path[96];
	uint32_t i, k;

	for (i = 0; i < doc->region_count; i++) {
		const struct doc_region *region = &doc->regions[i];

		snprintf(path, sizeof(path), "regions[%u].name", i);
		check_unique(seen, region->name, path, errors);
		for (k = 0; k < region->failure_domain_count; k++) {
			snprintf(path, sizeof(path),
				 "regions[%u].failure_domains[%u]", i, k);
			check_unique(seen, region->failure_domains[k], path,
				     errors);
		}
	}
	g_hash_table_destroy(seen);
}

static void check_region_exists(const struct document *doc, const char *name,
				const char *path, struct schema_errors *errors)
{
	if (document_region_index(doc, name) < 0)
		schema_add_error(errors, path,
				 "\"%s\" is not a region of this document", name);
}

static void check_links(const struct document *doc, struct schema_errors *errors)
{
	char path[64];
	uint32_t i;

	for (i = 0; i < doc->link_count; i++) {
		snprintf(path, sizeof(path), "links[%u].from", i);
		check_region_exists(doc, doc->links[i].from, path, errors);
		snprintf(path, sizeof(path), "links[%u].to", i);
		check_region_exists(doc, doc->links[i].to, path, errors);
		if (!strcmp(doc->links[i].from, doc->links[i].to))
			schema_add_error(errors, path,
					 "\"%s\" is linked to itself; name another "
					 "region",
					 doc->links[i].to);
	}
}

static void check_services(const struct document *doc,
			   struct schema_errors *errors)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *prefixes = g_hash_table_new(g_str_hash, g_str_equal);
	char path[64];
	uint32_t i;

	for (i = 0; i < doc->service_count; i++) {
		const char *prefix = doc->services[i].path_prefix;

		snprintf(path, sizeof(path), "services[%u].name", i);
		check_unique(names, doc->services[i].name, path, errors);
		snprintf(path, sizeof(path), "services[%u].path_prefix", i);
		check_unique(prefixes, prefix, path, errors);
		if (prefix[0] != '/' || strpbrk(prefix, "?# %\r\n") ||
		    prefix[strlen(prefix) - 1] == '/')
			schema_add_error(errors, path,
					 "\"%s\" is not a valid path prefix; it must "
					 "start with \"/\", not end with it and "
					 "contain no \"?\", \"#\", \"%%\" or space",
					 prefix);
		if (!strcmp(prefix, "/v1") || !strncmp(prefix, "/v1/", 4))
			schema_add_error(errors, path,
					 "\"%s\" is reserved by the system; choose "
					 "another prefix",
					 prefix);
	}
	g_hash_table_destroy(names);
	g_hash_table_destroy(prefixes);
}

static void check_backends(const struct document *doc,
			   struct schema_errors *errors)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *addresses = g_hash_table_new(g_str_hash, g_str_equal);
	char path[64];
	uint32_t i;

	for (i = 0; i < doc->backend_count; i++) {
		const struct doc_backend *backend = &doc->backends[i];

		snprintf(path, sizeof(path), "backends[%u].name", i);
		check_unique(names, backend->name, path, errors);
		snprintf(path, sizeof(path), "backends[%u].address", i);
		check_unique(addresses, backend->address, path, errors);
		snprintf(path, sizeof(path), "backends[%u].service", i);
		if (!document_find_service(doc, backend->service))
			schema_add_error(errors, path,
					 "\"%s\" is not a service of this document",
					 backend->service);
		snprintf(path, sizeof(path), "backends[%u].failure_domain", i);
		if (document_region_index_of_domain(doc,
						    backend->failure_domain) < 0)
			schema_add_error(errors, path,
					 "\"%s\" is not a failure domain of this "
					 "document",
					 backend->failure_domain);
	}
	g_hash_table_destroy(names);
	g_hash_table_destroy(addresses);
}

static bool region_has_backend(const struct document *doc, const char *service,
			       const char *region)
{
	int index = document_region_index(doc, region);
	uint32_t i;

	for (i = 0; i < doc->backend_count; i++) {
		const struct doc_backend *backend = &doc->backends[i];

		if (!strcmp(backend->service, service) && !backend->leaving &&
		    document_region_index_of_domain(doc, backend->failure_domain) ==
			    index)
			return true;
	}
	return false;
}

static void check_shares(const struct document *doc, uint32_t index,
			 struct schema_errors *errors)
{
	const struct doc_steering *steering = &doc->steering[index];
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	uint32_t sum = 0;
	char path[96];
	uint32_t i;

	for (i = 0; i < steering->share_count; i++) {
		const struct doc_share *share = &steering->shares[i];

		snprintf(path, sizeof(path), "steering[%u].shares[%u].to",
			 index, i);
		check_unique(seen, share->to, path, errors);
		check_region_exists(doc, share->to, path, errors);
		if (share->permille &&
		    !region_has_backend(doc, steering->service, share->to))
			schema_add_error(errors, path,
					 "\"%s\" has no backend server of service "
					 "\"%s\" that stays; give it none of the "
					 "share",
					 share->to, steering->service);
		sum += share->permille;
	}
	if (sum != PERMILLE) {
		snprintf(path, sizeof(path), "steering[%u].shares", index);
		schema_add_error(errors, path,
				 "the shares sum to %u; they must sum to %u",
				 sum, PERMILLE);
	}
	g_hash_table_destroy(seen);
}

static void check_steering(const struct document *doc,
			   struct schema_errors *errors)
{
	char path[64];
	uint32_t i;

	for (i = 0; i < doc->steering_count; i++) {
		const struct doc_steering *steering = &doc->steering[i];

		snprintf(path, sizeof(path), "steering[%u].service", i);
		if (!document_find_service(doc, steering->service))
			schema_add_error(errors, path,
					 "\"%s\" is not a service of this document",
					 steering->service);
		snprintf(path, sizeof(path), "steering[%u].from", i);
		check_region_exists(doc, steering->from, path, errors);
		if (document_find_steering(doc, steering->service,
					   steering->from) != steering)
			schema_add_error(errors, path,
					 "service \"%s\" and region \"%s\" "
					 "appear twice; keep one steering entry",
					 steering->service, steering->from);
		check_shares(doc, i, errors);
	}
}

/** Checks constraints across fields. Each field must match the schema. */
static void check_consistency(const struct document *doc,
			      struct schema_errors *errors)
{
	check_regions(doc, errors);
	check_links(doc, errors);
	check_services(doc, errors);
	check_backends(doc, errors);
	check_steering(doc, errors);
}

struct document *document_from_json(json_t *value, struct schema_errors *errors)
{
	struct document *doc = calloc(1, sizeof(*doc));

	if (!doc) {
		schema_add_error(errors, "(top)", "out of memory");
		return NULL;
	}
	if (schema_read(&document_schema, value, "", doc, errors))
		check_consistency(doc, errors);
	if (errors->count) {
		document_free(doc);
		return NULL;
	}
	return doc;
}

struct document *document_parse(const char *text, size_t text_bytes,
				struct schema_errors *errors)
{
	json_t *value =
		schema_parse(text, text_bytes, DOCUMENT_BYTES_MAX, errors);
	struct document *doc;

	if (!value)
		return NULL;
	doc = document_from_json(value, errors);
	json_decref(value);
	return doc;
}

void document_free(struct document *doc)
{
	if (!doc)
		return;
	schema_clear(&document_schema, doc);
	free(doc);
}

json_t *document_to_json(const struct document *doc)
{
	return schema_write(&document_schema, doc);
}

char *document_to_text(const struct document *doc)
{
	json_t *value = document_to_json(doc);
	char *text = json_dumps(value, JSON_COMPACT);

	json_decref(value);
	return text;
}
