#ifndef ENTRY_STEERING_H
#define ENTRY_STEERING_H

#include "base/clock.h"
#include "decide/steer.h"

/**
 * @file
 * The steering positions of all services and regions, and the thread that
 * advances them towards the document's targets. Every function may be called
 * from any thread.
 */

struct steering_table;

/** @return a table with its thread running, or NULL. */
struct steering_table *steering_new(const struct clock *clock);
void steering_free(struct steering_table *table);

/** Sets the targets of all positions from a document. */
void steering_apply_document(struct steering_table *table,
			     const struct document *doc);

/**
 * Chooses the region that serves an address block.
 *
 * @param usable bit i set: region i can serve the service now.
 * @return the region's index in the document, or -1 if there is none.
 */
int steering_choose_region(struct steering_table *table, const char *service,
			   const char *from, const char *block, uint64_t usable);

/**
 * Adopts a peer's position after this VM has started, so that it joins a shift
 * in progress.
 */
void steering_adopt(struct steering_table *table, const char *service,
		    const char *from, const double *bound, uint32_t region_count);

/**
 * Copies the index-th position; `service` and `from` receive up to 65 bytes.
 *
 * @return false if there are not that many positions.
 */
bool steering_copy_position(struct steering_table *table, uint32_t index,
			    char *service, char *from,
			    struct steer_position *position);

#endif
