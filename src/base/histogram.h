#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/**
 * @file
 * Latency histograms of the process, exported as OpenMetrics text.
 */

enum histogram {
	HISTOGRAM_ANSWERED, /**< total time of requests with a response */
	HISTOGRAM_REFUSED,  /**< total time of requests with verdict NOT_RUN */
	HISTOGRAM_FAILED,   /**< total time of other failed requests */
	HISTOGRAM_ATTEMPT,  /**< time of one attempt at a backend server */
	HISTOGRAM_STORE,    /**< time of store calls other than watches */
	HISTOGRAM_LOOP_LAG, /**< lateness of timers, see net/loop_watch.h */
	HISTOGRAM_COUNT
};

/** Records one latency. Any thread. */
void histogram_add(enum histogram histogram, int64_t elapsed_ms);

/** Appends all histograms. Any thread. */
void histogram_write(GString *text);

#endif
