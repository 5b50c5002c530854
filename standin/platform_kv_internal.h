#ifndef STANDIN_PLATFORM_KV_INTERNAL_H
#define STANDIN_PLATFORM_KV_INTERNAL_H

#include <glib.h>
#include <jansson.h>

#include "platform_kv.h"

/** @file Declarations shared by the source files of the platform's store. */

struct item {
	char *value; /* base64 */
	uint64_t revision;
	uint64_t lease;
};

struct lease {
	struct platform_kv *kv;
	uint64_t id;
	uint32_t ttl_ms;
	struct event *timer;
};

struct watch {
	struct platform_kv *kv;
	struct responder_request *request;
	char *prefix;
	uint64_t after_revision;
	struct event *timer;
};

/* What the store had at some time, without its history. */
struct copy {
	GTree *items; /* NULL: no copy was taken */
	uint64_t revision;
	GHashTable *leases; /* set of IDs */
};

struct platform_kv {
	struct event_base *base;
	GTree *items;	    /* key -> struct item */
	GHashTable *leases; /* lease ID -> struct lease */
	GQueue history;	    /* json_t *, oldest first */
	GQueue watches;
	uint64_t revision;
	uint64_t compacted_revision;
	uint64_t next_lease;
	uint64_t calls;
	uint64_t cheap_calls;
	enum platform_kv_fault fault;
	uint64_t era;
	struct copy copy;
};

/** @return an empty tree of items by key. */
GTree *items_new(void);

/** Discards the history up to and including `revision`. */
void discard_history(struct platform_kv *kv, uint64_t revision);

#endif
