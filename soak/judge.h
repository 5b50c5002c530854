#ifndef SOAK_JUDGE_H
#define SOAK_JUDGE_H

#include <jansson.h>

#include "callers.h"
#include "plan.h"

/**
 * @file
 * Checks the guarantees to callers against what callers and backend servers
 * recorded during a soak run.
 */

/** VMs must meet their time bounds again this long after the last fault. */
#define JUDGE_RECOVERY_MS 4000

struct evidence {
	const struct soak_plan *plan;
	const GArray *records; /**< of struct call_record */
	json_t *runs;	       /**< request ID to the servers that ran it */
	json_t *late_runs; /**< runs that began too long after the server's drain */
	json_t *limits;	    /**< server to how its limit was kept */
	int64_t started_ms; /**< clock time of the start of the plan */
	uint32_t vm_count;
	int64_t served_from_ms; /**< every request from here on must succeed */
	uint32_t unexpected_exits;
	uint32_t rss_early_kb; /**< of the largest VM, after startup */
	uint32_t rss_max_kb;   /**< of the largest VM, at the end */
};

/** Prints the first violations of each guarantee. @return their total count. */
uint32_t judge_evidence(const struct evidence *evidence);

#endif
