#include "decide/quarantine.h"

#include <string.h>

static struct quarantine_entry *find(struct quarantine *quarantine,
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

/** A free or expired entry, or else the one that expires first. */
static struct quarantine_entry *claim_entry(struct quarantine *quarantine,
					    uint64_t fingerprint, int64_t now_ms)
{
	struct quarantine_entry *oldest = &quarantine->entries[0];
	uint32_t i;

	for (i = 1; i < QUARANTINE_ENTRIES; i++)
		if (quarantine->entries[i].until_ms < oldest->until_ms)
			oldest = &quarantine->entries[i];
	memset(oldest, 0, sizeof(*oldest));
	oldest->fingerprint = fingerprint;
	oldest->until_ms = now_ms + QUARANTINE_WATCH_MS;
	return oldest;
}

static bool has_server(const struct quarantine_entry *entry, uint64_t server)
{
	uint32_t i;

	for (i = 0; i < entry->deaths; i++)
		if (entry->servers[i] == server)
			return true;
	return false;
}

static void refuse(struct quarantine_entry *entry, int64_t now_ms)
{
	entry->refused = true;
	entry->until_ms = now_ms + QUARANTINE_REFUSE_MS;
}

bool quarantine_note(struct quarantine *quarantine, uint64_t fingerprint,
		     uint64_t server, int64_t now_ms)
{
	struct quarantine_entry *entry = find(quarantine, fingerprint, now_ms);

	if (!entry)
		entry = claim_entry(quarantine, fingerprint, now_ms);
	if (entry->refused)
		return true;
	if (!has_server(entry, server))
		entry->servers[entry->deaths++] = server;
	if (entry->deaths == QUARANTINE_DEATHS)
		refuse(entry, now_ms);
	return entry->refused;
}

bool quarantine_add(struct quarantine *quarantine, uint64_t fingerprint,
		    int64_t now_ms)
{
	struct quarantine_entry *entry = find(quarantine, fingerprint, now_ms);

	if (entry && entry->refused)
		return false;
	if (!entry)
		entry = claim_entry(quarantine, fingerprint, now_ms);
	refuse(entry, now_ms);
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
