#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdint.h>

#include "base/attributes.h"

/**
 * @file
 * The log: one line per event, written by a separate thread.
 *
 * A line has the form "part: short sentence key=value ...". Logging never
 * blocks: when the writer thread cannot keep up, lines are dropped and counted.
 */

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
};

/**
 * Opens the log on standard output and starts the writer thread.
 *
 * @param level lines of less severe levels are discarded.
 * @return 0, or -1 when the writer thread cannot be started.
 */
int log_open(enum log_level level);

/** Changes the level for the lines that follow. Any thread. */
void log_set_level(enum log_level level);

/** Writes the queued lines, stops the writer thread and closes the log. */
void log_close(void);

/**
 * @param name "error", "warn", "info" or "debug".
 * @return the level, or -1 for another name.
 */
int log_level_from_name(const char *name);

/**
 * Queues one line. Any thread; never blocks.
 *
 * @param part constant name of the component that logs, such as "steer".
 */
void log_line(enum log_level level, const char *part, const char *format, ...)
	PRINTF_LIKE(3, 4);

/** @return the number of lines dropped since log_open(). Any thread. */
uint64_t log_dropped(void);

#define log_error(part, ...) log_line(LOG_LEVEL_ERROR, part, __VA_ARGS__)
#define log_warn(part, ...) log_line(LOG_LEVEL_WARN, part, __VA_ARGS__)
#define log_info(part, ...) log_line(LOG_LEVEL_INFO, part, __VA_ARGS__)
#define log_debug(part, ...) log_line(LOG_LEVEL_DEBUG, part, __VA_ARGS__)

#endif
