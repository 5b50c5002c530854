#include "decide/quarantine.h"

#include <string.h>

static struct quarantine_entry *find_entry(struct quarantine *quarantine,
					   uint64_t fingerprint, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < QUARANTINE_ENTRIES; i++) {
		struct quarantine_entry *entry = &quarantine->entries[i];

		if (entry->fingerprint == fingerprint && entry->until_ms > now_ms)
			return entry;
	}
	return NULL;
}

/** Reuses a free or expired entry, or else the one that expires first. */
static struct quarantine_entry *allocate_entry(struct quarantine *quarantine,
					       uint64_t fingerprint,
					       int64_t now_ms)
{
	struct quarantine_entry *first_to_expire = &quarantine->entries[0];
	uint32_t i;

	for (i = 1; i < QUARANTINE_ENTRIES; i++)
		if (quarantine->entries[i].until_ms < first_to_expire->until_ms)
			first_to_expire = &quarantine->entries[i];
	memset(first_to_expire, 0, sizeof(*first_to_expire));
	first_to_expire->fingerprint = fingerprint;
	first_to_expire->until_ms = now_ms + QUARANTINE_WINDOW_MS;
	return first_to_expire;
}

static bool has_server(const struct quarantine_entry *entry, uint64_t server)
{
	uint32_t i;

	for (i = 0; i < entry->crashes; i++)
		if (entry->servers[i] == server)
			return true;
	return false;
}

static void mark_refused(struct quarantine_entry *entry, int64_t now_ms)
{
	entry->refused = true;
	entry->until_ms = now_ms + QUARANTINE_REFUSE_MS;
}

bool quarantine_record_crash(struct quarantine *quarantine, uint64_t fingerprint,
			     uint64_t server, int64_t now_ms)
{
	struct quarantine_entry *entry =
		find_entry(quarantine, fingerprint, now_ms);

	if (!entry)
		entry = allocate_entry(quarantine, fingerprint, now_ms);
	if (entry->refused)
		return true;
	if (!has_server(entry, server))
		entry->servers[entry->crashes++] = server;
	if (entry->crashes == QUARANTINE_CRASHES)
		mark_refused(entry, now_ms);
	return entry->refused;
}

bool quarantine_add(struct quarantine *quarantine, uint64_t fingerprint,
		    int64_t now_ms)
{
	struct quarantine_entry *entry =
		find_entry(quarantine, fingerprint, now_ms);

	if (entry && entry->refused)
		return false;
	if (!entry)
		entry = allocate_entry(quarantine, fingerprint, now_ms);
	mark_refused(entry, now_ms);
	return true;
}

bool quarantine_refuses(const struct quarantine *quarantine,
			uint64_t fingerprint, int64_t now_ms)
{
	uint32_t i;

	for (i = 0; i < QUARANTINE_ENTRIES; i++) {
		const struct quarantine_entry *entry = &quarantine->entries[i];

		if (entry->fingerprint == fingerprint && entry->refused &&
		    entry->until_ms > now_ms)
			return true;
	}
	return false;
}
