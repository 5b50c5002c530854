#include "decide/load.h"

void load_sent(struct load_view *load)
{
	load->own++;
}

void load_finished(struct load_view *load)
{
	if (load->own)
		load->own--;
}

void load_report(struct load_view *load, uint32_t running, uint32_t waiting,
		 int64_t now_ms)
{
	load->running = running;
	load->waiting = waiting;
	load->own_at_report = load->own;
	load->reported_ms = now_ms;
}

uint32_t load_estimate(const struct load_view *load, int64_t now_ms)
{
	int64_t age_ms = now_ms - load->reported_ms;
	int64_t others;

	if (!load->reported_ms || age_ms >= LOAD_REPORT_AGE_MAX_MS)
		return load->own;
	others = (int64_t)load->running + load->waiting - load->own_at_report;
	if (others < 0)
		others = 0;
	/* what others do there fades from knowledge as the report ages */
	others = others * (LOAD_REPORT_AGE_MAX_MS - age_ms) /
		 LOAD_REPORT_AGE_MAX_MS;
	return load->own + (uint32_t)others;
}
