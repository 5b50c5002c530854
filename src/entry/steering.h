#ifndef ENTRY_STEERING_H
#define ENTRY_STEERING_H

#include "base/clock.h"
#include "decide/steer.h"

/**
 * @file
 * The steering positions of all services and regions, and the thread that
 * advances them. Every function may be called from any thread.
 */

struct steering_table;

/** @return a table with its thread running, or NULL. */
struct steering_table *steering_new(const struct clock *clock);
void steering_free(struct steering_table *table);

/** Takes over a document's targets. */
void steering_apply(struct steering_table *table, const struct document *doc);

/**
 * Chooses the region that serves a block.
 *
 * @param usable bit i set: region i can serve the service now.
 * @return an index in the document's order, or -1.
 */
int steering_region(struct steering_table *table, const char *service,
		    const char *from, const char *block, uint64_t usable);

/** Takes over a peer's position after a start. */
void steering_adopt(struct steering_table *table, const char *service,
		    const char *from, const double *bound, uint32_t region_count);

/**
 * Copies the index-th position; names receive up to 65 bytes.
 *
 * @return false past the last.
 */
bool steering_at(struct steering_table *table, uint32_t index, char *service,
		 char *from, struct steer_position *position);

#endif
