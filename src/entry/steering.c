#include "entry/steering.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/log.h"
#include "document/document.h"

#define ADVANCE_PERIOD_MS 100
#define NAME_BYTES 65

struct steered {
	char service[NAME_BYTES];
	char from[NAME_BYTES];
	struct steer_position position;
	uint64_t usable; /* regions that could serve at the last look-up */
	int64_t hold_ms; /* how long a failover stays in the cap's window */
	bool moving;
};

struct steering_table {
	const struct clock *clock;
	pthread_mutex_t lock;
	GPtrArray *steered;
	pthread_t thread;
	atomic_bool stopping;
};

static void advance_all(struct steering_table *table)
{
	int64_t now_ms = clock_now_ms(table->clock);
	uint32_t i;

	pthread_mutex_lock(&table->lock);
	for (i = 0; i < table->steered->len; i++) {
		struct steered *steered = table->steered->pdata[i];

		if (!steered->moving)
			continue;
		steer_advance(&steered->position, now_ms);
		steered->moving = !steer_settled(&steered->position);
		if (!steered->moving)
			log_info("steer", "shift is complete service=%s from=%s",
				 steered->service, steered->from);
	}
	pthread_mutex_unlock(&table->lock);
}

static void *run(void *context)
{
	const struct timespec period = { 0, ADVANCE_PERIOD_MS * NS_PER_MS };
	struct steering_table *table = context;

	while (!table->stopping) {
		advance_all(table);
		clock_nanosleep(CLOCK_MONOTONIC, 0, &period, NULL);
	}
	return NULL;
}

struct steering_table *steering_new(const struct clock *clock)
{
	struct steering_table *table = calloc(1, sizeof(*table));

	if (!table)
		return NULL;
	table->clock = clock;
	table->steered = g_ptr_array_new_with_free_func(g_free);
	pthread_mutex_init(&table->lock, NULL);
	if (!pthread_create(&table->thread, NULL, run, table))
		return table;
	g_ptr_array_free(table->steered, TRUE);
	free(table);
	return NULL;
}

void steering_free(struct steering_table *table)
{
	if (!table)
		return;
	table->stopping = true;
	pthread_join(table->thread, NULL);
	g_ptr_array_free(table->steered, TRUE);
	pthread_mutex_destroy(&table->lock);
	free(table);
}

static struct steered *find(struct steering_table *table, const char *service,
			    const char *from)
{
	uint32_t i;

	for (i = 0; i < table->steered->len; i++) {
		struct steered *steered = table->steered->pdata[i];

		if (!strcmp(steered->service, service) &&
		    !strcmp(steered->from, from))
			return steered;
	}
	return NULL;
}

static struct steered *add(struct steering_table *table, const char *service,
			   const char *from)
{
	struct steered *steered = g_new0(struct steered, 1);

	snprintf(steered->service, NAME_BYTES, "%s", service);
	snprintf(steered->from, NAME_BYTES, "%s", from);
	steered->usable = UINT64_MAX;
	g_ptr_array_add(table->steered, steered);
	return steered;
}

static void apply_one(struct steering_table *table, const struct document *doc,
		      const char *service, uint32_t region)
{
	const char *from = doc->regions[region].name;
	const struct doc_steering *steering =
		document_steering(doc, service, from);
	struct steered *steered = find(table, service, from);

	if (!steered)
		steered = add(table, service, from);
	steer_set_target(&steered->position, doc, steering, region);
	steered->position.advanced_ms = clock_now_ms(table->clock);
	steered->hold_ms = doc->lookup_ttl_ms;
	if (steering)
		steered->hold_ms += steering->window_ms;
	if (!steered->moving && !steer_settled(&steered->position))
		log_info("steer", "shift begins service=%s from=%s version=%llu",
			 service, from, (unsigned long long)doc->version);
	steered->moving = !steer_settled(&steered->position);
}

void steering_apply(struct steering_table *table, const struct document *doc)
{
	uint32_t i, k;

	pthread_mutex_lock(&table->lock);
	for (i = 0; i < doc->service_count; i++)
		for (k = 0; k < doc->region_count; k++)
			apply_one(table, doc, doc->services[i].name, k);
	pthread_mutex_unlock(&table->lock);
}

/** A region that came or went moved its blocks: planned moves wait. */
static void note_usable(struct steering_table *table, struct steered *steered,
			uint64_t usable)
{
	if (steered->usable == usable)
		return;
	log_warn("steer",
		 "usable regions changed service=%s from=%s before=%llx now=%llx",
		 steered->service, steered->from,
		 (unsigned long long)steered->usable, (unsigned long long)usable);
	steered->usable = usable;
	steer_hold(&steered->position,
		   clock_now_ms(table->clock) + steered->hold_ms);
}

int steering_region(struct steering_table *table, const char *service,
		    const char *from, const char *block, uint64_t usable)
{
	struct steered *steered;
	int region = -1;

	pthread_mutex_lock(&table->lock);
	steered = find(table, service, from);
	if (steered) {
		note_usable(table, steered, usable);
		region = steer_region_at(&steered->position,
					 steer_point(block, service), usable);
	}
	pthread_mutex_unlock(&table->lock);
	return region;
}

void steering_adopt(struct steering_table *table, const char *service,
		    const char *from, const double *bound, uint32_t region_count)
{
	struct steered *steered;

	pthread_mutex_lock(&table->lock);
	steered = find(table, service, from);
	if (steered && steer_adopt(&steered->position, bound, region_count,
				   clock_now_ms(table->clock))) {
		steered->moving = !steer_settled(&steered->position);
		if (steered->moving)
			log_info("steer",
				 "joined a shift in progress service=%s from=%s",
				 service, from);
	}
	pthread_mutex_unlock(&table->lock);
}

bool steering_at(struct steering_table *table, uint32_t index, char *service,
		 char *from, struct steer_position *position)
{
	const struct steered *steered;
	bool found;

	pthread_mutex_lock(&table->lock);
	found = index < table->steered->len;
	if (found) {
		steered = table->steered->pdata[index];
		memcpy(service, steered->service, NAME_BYTES);
		memcpy(from, steered->from, NAME_BYTES);
		*position = steered->position;
	}
	pthread_mutex_unlock(&table->lock);
	return found;
}
