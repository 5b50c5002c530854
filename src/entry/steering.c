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

/** The position of one service for callers from one region. */
struct steering_row {
	char service[NAME_BYTES];
	char from[NAME_BYTES];
	struct steer_position position;
	uint64_t usable; /* regions that could serve at the last look-up */
	int64_t failover_hold_ms; /* time a failover counts for the cap */
	bool moving;
};

struct steering_table {
	const struct clock *clock;
	pthread_mutex_t lock;
	GPtrArray *rows;
	pthread_t thread;
	atomic_bool stopping;
};

static void advance_all(struct steering_table *table)
{
	int64_t now_ms = clock_now_ms(table->clock);
	uint32_t i;

	pthread_mutex_lock(&table->lock);
	for (i = 0; i < table->rows->len; i++) {
		struct steering_row *row = table->rows->pdata[i];

		if (!row->moving)
			continue;
		steer_advance(&row->position, now_ms);
		row->moving = !steer_is_settled(&row->position);
		if (!row->moving)
			log_info("steer", "shift is complete service=%s from=%s",
				 row->service, row->from);
	}
	pthread_mutex_unlock(&table->lock);
}

static void *thread_main(void *context)
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
	table->rows = g_ptr_array_new_with_free_func(g_free);
	pthread_mutex_init(&table->lock, NULL);
	if (!pthread_create(&table->thread, NULL, thread_main, table))
		return table;
	g_ptr_array_free(table->rows, TRUE);
	free(table);
	return NULL;
}

void steering_free(struct steering_table *table)
{
	if (!table)
		return;
	table->stopping = true;
	pthread_join(table->thread, NULL);
	g_ptr_array_free(table->rows, TRUE);
	pthread_mutex_destroy(&table->lock);
	free(table);
}

static struct steering_row *find_row(struct steering_table *table,
				     const char *service, const char *from)
{
	uint32_t i;

	for (i = 0; i < table->rows->len; i++) {
		struct steering_row *row = table->rows->pdata[i];

		if (!strcmp(row->service, service) && !strcmp(row->from, from))
			return row;
	}
	return NULL;
}

static struct steering_row *add_row(struct steering_table *table,
				    const char *service, const char *from)
{
	struct steering_row *row = g_new0(struct steering_row, 1);

	snprintf(row->service, NAME_BYTES, "%s", service);
	snprintf(row->from, NAME_BYTES, "%s", from);
	row->usable = UINT64_MAX;
	g_ptr_array_add(table->rows, row);
	return row;
}

static void apply_to_row(struct steering_table *table, const struct document *doc,
			 const char *service, uint32_t region)
{
	const char *from = doc->regions[region].name;
	const struct doc_steering *steering =
		document_find_steering(doc, service, from);
	struct steering_row *row = find_row(table, service, from);

	if (!row)
		row = add_row(table, service, from);
	steer_set_target(&row->position, doc, steering, region);
	row->position.advanced_ms = clock_now_ms(table->clock);
	row->failover_hold_ms = doc->lookup_ttl_ms;
	if (steering)
		row->failover_hold_ms += steering->window_ms;
	if (!row->moving && !steer_is_settled(&row->position))
		log_info("steer", "shift begins service=%s from=%s version=%llu",
			 service, from, (unsigned long long)doc->version);
	row->moving = !steer_is_settled(&row->position);
}

void steering_apply_document(struct steering_table *table,
			     const struct document *doc)
{
	uint32_t i, k;

	pthread_mutex_lock(&table->lock);
	for (i = 0; i < doc->service_count; i++)
		for (k = 0; k < doc->region_count; k++)
			apply_to_row(table, doc, doc->services[i].name, k);
	pthread_mutex_unlock(&table->lock);
}

/**
 * Records the usable regions. A region that became usable or unusable has moved
 * blocks already, so the planned shift pauses.
 */
static void update_usable(struct steering_table *table,
			  struct steering_row *row, uint64_t usable)
{
	if (row->usable == usable)
		return;
	log_warn("steer",
		 "usable regions changed service=%s from=%s before=%llx now=%llx",
		 row->service, row->from, (unsigned long long)row->usable,
		 (unsigned long long)usable);
	row->usable = usable;
	steer_pause(&row->position,
		    clock_now_ms(table->clock) + row->failover_hold_ms);
}

int steering_choose_region(struct steering_table *table, const char *service,
			   const char *from, const char *block, uint64_t usable)
{
	struct steering_row *row;
	int region = -1;

	pthread_mutex_lock(&table->lock);
	row = find_row(table, service, from);
	if (row) {
		update_usable(table, row, usable);
		region = steer_region_at(&row->position,
					 steer_block_point(block, service),
					 usable);
	}
	pthread_mutex_unlock(&table->lock);
	return region;
}

void steering_adopt(struct steering_table *table, const char *service,
		    const char *from, const double *bound, uint32_t region_count)
{
	struct steering_row *row;

	pthread_mutex_lock(&table->lock);
	row = find_row(table, service, from);
	if (row && steer_adopt(&row->position, bound, region_count,
			       clock_now_ms(table->clock))) {
		row->moving = !steer_is_settled(&row->position);
		if (row->moving)
			log_info("steer",
				 "joined a shift in progress service=%s from=%s",
				 service, from);
	}
	pthread_mutex_unlock(&table->lock);
}

bool steering_copy_position(struct steering_table *table, uint32_t index,
			    char *service, char *from,
			    struct steer_position *position)
{
	const struct steering_row *row;
	bool found;

	pthread_mutex_lock(&table->lock);
	found = index < table->rows->len;
	if (found) {
		row = table->rows->pdata[index];
		memcpy(service, row->service, NAME_BYTES);
		memcpy(from, row->from, NAME_BYTES);
		*position = row->position;
	}
	pthread_mutex_unlock(&table->lock);
	return found;
}
