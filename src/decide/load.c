#include "decide/load.h"

/* A VM may use this many times its equal share of a server's slots: objects are
 * distributed unevenly over VMs, and not all VMs send at the same time. */
#define OWN_SHARE_FACTOR 5
/* Always allowed: with fewer requests, a VM would learn too little about the
 * server's load. */
#define OWN_REQUESTS_MIN 2

void load_record_sent(struct load_view *load)
{
	load->own_requests++;
}

void load_record_finished(struct load_view *load)
{
	if (load->own_requests)
		load->own_requests--;
}

void load_record_report(struct load_view *load, uint32_t running,
			uint32_t waiting, int64_t now_ms)
{
	load->running = running;
	load->waiting = waiting;
	load->own_requests_at_report = load->own_requests;
	load->reported_ms = now_ms;
}

uint32_t load_max_own_requests(uint32_t slots, uint32_t vms)
{
	const uint32_t all = OWN_SHARE_FACTOR * slots;
	const uint32_t share = vms ? (all + vms - 1) / vms : all;

	return share > OWN_REQUESTS_MIN ? share : OWN_REQUESTS_MIN;
}

void load_record_work(struct load_view *load, uint32_t percent, int64_t now_ms)
{
	load->work_percent = percent;
	load->work_reported_ms = now_ms;
}

uint32_t load_work_percent(const struct load_view *load, int64_t now_ms)
{
	if (!load->work_percent ||
	    now_ms - load->work_reported_ms >= LOAD_WORK_AGE_MAX_MS)
		return 100;
	return load->work_percent;
}

uint32_t load_estimate_others(const struct load_view *load, int64_t now_ms)
{
	int64_t age_ms = now_ms - load->reported_ms;
	int64_t others;

	if (!load->reported_ms || age_ms >= LOAD_REPORT_AGE_MAX_MS)
		return 0;
	others = (int64_t)load->running + load->waiting -
		 load->own_requests_at_report;
	if (others < 0)
		others = 0;
	/* requests of other VMs count less as the report gets older */
	return (uint32_t)(others * (LOAD_REPORT_AGE_MAX_MS - age_ms) /
			  LOAD_REPORT_AGE_MAX_MS);
}

uint32_t load_estimate(const struct load_view *load, int64_t now_ms)
{
	return load->own_requests + load_estimate_others(load, now_ms);
}
