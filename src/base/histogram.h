#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/**
 * @file
 * The process's latency histograms, written as OpenMetrics text.
 */

enum histogram {
	HISTOGRAM_ANSWERED, /**< whole time of requests that were answered */
	HISTOGRAM_REFUSED,  /**< of those told that they have not run */
	HISTOGRAM_FAILED,   /**< of those told nothing of the sort */
	HISTOGRAM_ATTEMPT,  /**< time of one send to a backend server */
	HISTOGRAM_STORE,    /**< time of calls to the store, watches left out */
	HISTOGRAM_COUNT
};

/** Adds one latency. Any thread. */
void histogram_add(enum histogram histogram, int64_t took_ms);

/** Appends all of them. */
void histogram_write(GString *text);

#endif
