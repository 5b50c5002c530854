#ifndef BASE_DEADLINE_H
#define BASE_DEADLINE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Bounds blocking calls of the HTTP client by time.
 *
 * The client library bounds the wait for a response's header, but not the
 * reading of its body nor a connect. A watcher thread interrupts a thread that
 * has passed its deadline with a signal, again and again until the thread
 * disarms; the interrupted call then fails.
 */

/** Starts the watcher. @return 0, or -1. Called once, before other threads. */
int deadline_start(void);

/** Stops the watcher. No thread may be armed. */
void deadline_stop(void);

/**
 * Arms the calling thread, replacing what was armed.
 *
 * @param at_ns monotonic time in nanoseconds.
 */
void deadline_arm(int64_t at_ns);

/** Disarms the calling thread. */
void deadline_disarm(void);

/** @return whether the system clock has passed `at_ns`. */
bool deadline_passed(int64_t at_ns);

#endif
