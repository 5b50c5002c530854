#include "decide/reach.h"

#include <string.h>

/* Failures are compared within this time. */
#define FAILURE_AGE_MAX_MS 2000
/* This many different servers must fail before others are probed. */
#define SUSPECT_SERVERS 2
/* Interval between rounds of probes while servers can be connected to, and
 * between single probes while none can. */
#define ROUND_INTERVAL_MS 1000
#define PROBE_INTERVAL_MS 250

void reach_record_connected(struct reach *reach, uint64_t server_hash,
			    int64_t now_ms)
{
	if (reach->state == REACH_CUT_OFF && reach->servers > 1 &&
	    (!reach->connected_hash || reach->connected_hash == server_hash)) {
		reach->connected_hash = server_hash;
		reach->next_probe_ms = now_ms;
		return;
	}
	if (reach->state != REACH_UP)
		reach->next_probe_ms = now_ms + ROUND_INTERVAL_MS;
	reach->state = REACH_UP;
	reach->connected_hash = 0;
	reach->failed_count = 0;
	reach->probes_left = 0;
}

static void forget_failure(struct reach *reach, uint32_t index)
{
	reach->failed_count--;
	memmove(&reach->failed[index], &reach->failed[index + 1],
		(reach->failed_count - index) * sizeof(reach->failed[0]));
}

/* Leaves the earlier failures of the same server, and old ones, out. */
static void forget_failures(struct reach *reach, uint64_t server_hash,
			    int64_t now_ms)
{
	uint32_t i = 0;

	while (i < reach->failed_count) {
		const struct reach_failure *failure = &reach->failed[i];

		if (failure->server_hash == server_hash ||
		    (reach->state == REACH_UP &&
		     now_ms - failure->at_ms > FAILURE_AGE_MAX_MS))
			forget_failure(reach, i);
		else
			i++;
	}
}

void reach_record_failed(struct reach *reach, uint64_t server_hash,
			 const char *failure_domain, int64_t now_ms)
{
	reach->connected_hash = 0;
	forget_failures(reach, server_hash, now_ms);
	if (!reach->failed_count)
		reach->first_failure_ms = now_ms;
	if (reach->failed_count == REACH_FAILED_MAX)
		forget_failure(reach, 0);
	reach->failed[reach->failed_count].server_hash = server_hash;
	reach->failed[reach->failed_count].failure_domain = failure_domain;
	reach->failed[reach->failed_count].at_ms = now_ms;
	reach->failed_count++;
}

void reach_record_probe_failed(struct reach *reach)
{
	if (reach->state != REACH_SUSPECT || --reach->probes_left)
		return;
	reach->state = REACH_CUT_OFF;
}

uint32_t reach_begin_probes(struct reach *reach, uint32_t servers, int64_t now_ms)
{
	reach->servers = servers;
	/* a single server that fails cannot be told from a cut */
	if (now_ms < reach->next_probe_ms || reach->state == REACH_SUSPECT ||
	    servers < (reach->state == REACH_UP ? SUSPECT_SERVERS : 1))
		return 0;
	if (reach->state == REACH_CUT_OFF) {
		reach->next_probe_ms = now_ms + PROBE_INTERVAL_MS;
		return 1;
	}
	if (reach->failed_count < SUSPECT_SERVERS)
		return 0;
	reach->state = REACH_SUSPECT;
	reach->probes_left = servers < REACH_PROBES ? servers : REACH_PROBES;
	return reach->probes_left;
}

static uint32_t count_domain(const struct reach *reach,
			     const struct reach_candidate *candidates,
			     const uint32_t *chosen, uint32_t chosen_count,
			     const char *failure_domain)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < reach->failed_count; i++)
		count += reach->failed[i].failure_domain == failure_domain;
	for (i = 0; i < chosen_count; i++)
		count += candidates[chosen[i]].failure_domain == failure_domain;
	return count;
}

/* @return how little a probe of the candidate would tell beside the failures
 * and the probes chosen before; UINT32_MAX: it is among these probes. */
static uint32_t redundancy(const struct reach *reach,
			   const struct reach_candidate *candidates,
			   const uint32_t *chosen, uint32_t chosen_count,
			   const struct reach_candidate *candidate)
{
	uint32_t same = candidate->server_hash == reach->connected_hash;
	uint32_t i;

	for (i = 0; i < reach->failed_count; i++)
		same += reach->failed[i].server_hash == candidate->server_hash;
	for (i = 0; i < chosen_count; i++) {
		if (&candidates[chosen[i]] == candidate)
			return UINT32_MAX;
		same += !strcmp(candidates[chosen[i]].service,
				candidate->service);
	}
	return same + 4 * count_domain(reach, candidates, chosen, chosen_count,
				       candidate->failure_domain);
}

uint32_t reach_choose_probes(const struct reach *reach,
			     const struct reach_candidate *candidates,
			     uint32_t count, uint32_t start, uint32_t wanted,
			     uint32_t *chosen)
{
	uint32_t chosen_count = 0;
	uint32_t i;

	while (chosen_count < wanted && chosen_count < count &&
	       chosen_count < REACH_PROBES) {
		uint32_t least = UINT32_MAX;
		uint32_t index = 0;

		for (i = 0; i < count; i++) {
			uint32_t at = (start + i) % count;
			uint32_t value =
				redundancy(reach, candidates, chosen,
					   chosen_count, &candidates[at]);

			if (value < least) {
				least = value;
				index = at;
			}
		}
		chosen[chosen_count++] = index;
	}
	return chosen_count;
}
