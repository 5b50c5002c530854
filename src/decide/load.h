#ifndef DECIDE_LOAD_H
#define DECIDE_LOAD_H

#include <stdint.h>

/**
 * @file
 * Estimates the load of a backend server from what one entry VM knows: the
 * number of requests it has in progress there, and the server's last load
 * report and its age. No locking.
 */

struct load_view {
	uint32_t slots;
	uint32_t own_requests; /**< requests of this entry VM in progress */
	uint32_t own_requests_at_report; /**< `own_requests` at the last report */
	uint32_t running;		 /**< last reported */
	uint32_t waiting;		 /**< last reported */
	int64_t reported_ms;		 /**< 0: no report yet */
	uint32_t work_percent; /**< last reported run time, 100: usual */
	int64_t work_reported_ms;
};

/** Age from which a report of the run time is ignored: it changes many times a
 * second. */
#define LOAD_WORK_AGE_MAX_MS 300

/** Age from which a load report is ignored. */
#define LOAD_REPORT_AGE_MAX_MS 3000

void load_record_sent(struct load_view *load);
void load_record_finished(struct load_view *load);
void load_record_report(struct load_view *load, uint32_t running,
			uint32_t waiting, int64_t now_ms);

/** Records the server's run time, 100 being as usual. */
void load_record_work(struct load_view *load, uint32_t percent, int64_t now_ms);
/** @return the last reported run time while it is fresh, else 100. */
uint32_t load_work_percent(const struct load_view *load, int64_t now_ms);

/**
 * Limits the requests in progress that one entry VM may have on a server. Load
 * reports do not yet include what other VMs send at the same moment: without a
 * limit, many VMs that send to a few servers fill their queues before any VM
 * learns of it.
 *
 * @param vms number of entry VMs that share the server.
 * @return the maximum for one entry VM.
 */
uint32_t load_max_own_requests(uint32_t slots, uint32_t vms);

/** @return the estimated number of running and queued requests of other VMs. */
uint32_t load_estimate_others(const struct load_view *load, int64_t now_ms);

/** @return the estimated number of running and queued requests. */
uint32_t load_estimate(const struct load_view *load, int64_t now_ms);

#endif
