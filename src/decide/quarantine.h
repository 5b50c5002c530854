#ifndef DECIDE_QUARANTINE_H
#define DECIDE_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Requests that crash the backend servers that run them. After two servers
 * died under one fingerprint, requests of that fingerprint are refused for a
 * while. Pure: the caller locks.
 */

#define QUARANTINE_ENTRIES 256
#define QUARANTINE_DEATHS 2
/** Time in which both deaths must fall, and time of refusal after them. */
#define QUARANTINE_WATCH_MS 60000
#define QUARANTINE_REFUSE_MS 300000

struct quarantine_entry {
	uint64_t fingerprint; /**< 0: free */
	uint64_t servers[QUARANTINE_DEATHS];
	uint32_t deaths;
	int64_t until_ms;
	bool refused;
};

struct quarantine {
	struct quarantine_entry entries[QUARANTINE_ENTRIES];
};

/**
 * Notes that a server's connection broke while it ran a request.
 *
 * @param server hash of the server's name.
 * @return whether the fingerprint is refused from now on.
 */
bool quarantine_note(struct quarantine *quarantine, uint64_t fingerprint,
		     uint64_t server, int64_t now_ms);

/** Refuses a fingerprint that a peer found. @return whether it was news. */
bool quarantine_add(struct quarantine *quarantine, uint64_t fingerprint,
		    int64_t now_ms);

/** @return whether requests of the fingerprint are refused now. */
bool quarantine_refuses(const struct quarantine *quarantine,
			uint64_t fingerprint, int64_t now_ms);

#endif
