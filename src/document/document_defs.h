#ifndef DOCUMENT_DOCUMENT_DEFS_H
#define DOCUMENT_DOCUMENT_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * In-memory form of the operators' document. Read-only once it is active.
 */

/** Scale of shares, which are in thousandths. */
#define PERMILLE 1000

#define DOCUMENT_BYTES_MAX (1000 * 1000)
#define DOCUMENT_REGIONS_MAX 64

struct doc_region {
	char *name;
	char **failure_domains;
	uint32_t failure_domain_count;
};

/** A link between two regions, with its capacity in each direction. */
struct doc_link {
	char *from;
	char *to;
	uint32_t mbit_per_s;
};

struct doc_service {
	char *name;
	char *path_prefix;
	uint32_t deadline_ms;
	uint32_t attempts_max;
	uint32_t retry_budget_permille; /**< of the requests */
	uint32_t queue_max;		/**< requests waiting in one entry VM */
	uint32_t body_bytes_max;
	uint32_t response_bytes_max;
	uint32_t order_memory_ms;
	bool key_required;
};

struct doc_backend {
	char *name;
	char *service;
	char *failure_domain;
	char *address;
	uint32_t slots;
	uint32_t connections;
	bool leaving;
};

struct doc_share {
	char *to;
	uint32_t permille;
};

/** Regions that serve one region's callers, and how fast shares may change. */
struct doc_steering {
	char *service;
	char *from;
	struct doc_share *shares;
	uint32_t share_count;
	uint32_t move_cap_permille; /**< per window, of the region's traffic */
	uint32_t window_ms;
};

struct document {
	uint64_t version;
	char *change_id;
	char *author;
	char *comment;
	uint32_t lookup_ttl_ms;
	struct doc_region *regions;
	uint32_t region_count;
	struct doc_link *links;
	uint32_t link_count;
	struct doc_service *services;
	uint32_t service_count;
	struct doc_backend *backends;
	uint32_t backend_count;
	struct doc_steering *steering;
	uint32_t steering_count;
	char **leaving_entries;
	uint32_t leaving_entry_count;
};

#endif
