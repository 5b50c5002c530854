#ifndef BASE_DEADLINE_H
#define BASE_DEADLINE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * @file
 * Deadlines for blocking calls of the HTTP client.
 *
 * The client library has a time-out for a response's header, but none for
 * reading the body or for connecting. A watcher thread sends a signal to each
 * thread past its deadline, repeatedly until the thread disarms; the
 * interrupted call then fails.
 */

/**
 * Starts the watcher thread. Called once, before other threads are created.
 *
 * @return 0, or -1.
 */
int deadline_watcher_start(void);

/** Stops the watcher thread. No thread may have a deadline armed. */
void deadline_watcher_stop(void);

/**
 * Sets the calling thread's deadline, replacing an earlier one.
 *
 * @param deadline_ns monotonic time in nanoseconds.
 */
void deadline_arm(int64_t deadline_ns);

/** Clears the calling thread's deadline. */
void deadline_disarm(void);

/**
 * Sets a time at which the deadlines of all threads that observe it end at the
 * latest, also of calls in progress. Any thread.
 *
 * @param end_ns monotonic time in nanoseconds; 0: none.
 */
void deadline_set_end(int64_t end_ns);

/** From now on the calling thread observes the end. */
void deadline_observe_end(void);

/** @return `deadline_ns`, or the end if the thread observes an earlier one. */
int64_t deadline_limit(int64_t deadline_ns);

/**
 * @return whether `deadline_ns` (monotonic), or an earlier end that the thread
 * observes, has been reached. Any thread.
 */
bool deadline_passed(int64_t deadline_ns);

#endif
