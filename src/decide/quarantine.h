#ifndef DECIDE_QUARANTINE_H
#define DECIDE_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Quarantine for requests that crash the backend servers that run them. After
 * requests with the same fingerprint have crashed two servers, requests with
 * that fingerprint are rejected for a while. No I/O; the caller does the
 * locking.
 */

#define QUARANTINE_ENTRIES 256
#define QUARANTINE_CRASHES 2
/** Time window for both crashes, and duration of the quarantine after them. */
#define QUARANTINE_WINDOW_MS 60000
#define QUARANTINE_REFUSE_MS 300000

struct quarantine_entry {
	uint64_t fingerprint; /**< 0: unused entry */
	uint64_t servers[QUARANTINE_CRASHES];
	uint32_t crashes;
	int64_t until_ms;
	bool refused;
};

struct quarantine {
	struct quarantine_entry entries[QUARANTINE_ENTRIES];
};

/**
 * Records that the connection to a server broke while it ran a request.
 *
 * @param server hash of the server's name.
 * @return whether the fingerprint is now in quarantine.
 */
bool quarantine_record_crash(struct quarantine *quarantine, uint64_t fingerprint,
			     uint64_t server, int64_t now_ms);

/**
 * Puts a fingerprint reported by a peer into quarantine.
 *
 * @return whether it was not in quarantine before.
 */
bool quarantine_add(struct quarantine *quarantine, uint64_t fingerprint,
		    int64_t now_ms);

/** @return whether the fingerprint is in quarantine now. */
bool quarantine_refuses(const struct quarantine *quarantine,
			uint64_t fingerprint, int64_t now_ms);

#endif
