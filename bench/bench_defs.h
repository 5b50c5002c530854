#ifndef BENCH_BENCH_DEFS_H
#define BENCH_BENCH_DEFS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/**
 * @file
 * Declarations shared by the commands of auburnreach-bench.
 */

#define BENCH_PROGRAM "auburnreach-bench"

/** Latencies in microseconds, up to a fixed capacity. */
struct samples {
	uint32_t *values_us;
	uint32_t count;
	uint32_t capacity;
};

/** Allocates room for `capacity` values. @return false if out of memory. */
bool samples_init(struct samples *samples, uint32_t capacity);
void samples_free(struct samples *samples);

/** Adds a value; drops it if the set is full. Not thread-safe. */
void samples_add(struct samples *samples, int64_t value_us);

/** Adds all values of `from`. */
void samples_merge(struct samples *into, const struct samples *from);

/** Sorts the values; needed before samples_quantile(). */
void samples_sort(struct samples *samples);

/** @return the quantile at `permille` thousandths, or 0 without values. */
uint32_t samples_quantile(const struct samples *samples, uint32_t permille);

/** Sorts the values and prints "name count=... p50_us=... p99_us=...". */
void samples_print(struct samples *samples, const char *name);

/** Sleeps until `at_ns`, a monotonic time. */
void bench_sleep_until(int64_t at_ns);

/** The commands. argv[0] is the command's name. @return an exit code. */
int bench_load(int argc, char **argv);
int bench_check(int argc, char **argv);
int bench_forward(int argc, char **argv);
int bench_lookups(int argc, char **argv);
int bench_ports(int argc, char **argv);
int bench_fleet(int argc, char **argv);
int bench_decide(int argc, char **argv);

#endif
