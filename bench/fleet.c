#include <argtable2.h>
#include <stdlib.h>

#include "base/attributes.h"
#include "bench_defs.h"
#include "fleet_model.h"

/**
 * @file
 * Runs load patterns in the fleet model with each placement policy and prints a
 * table of the results.
 */

/* Runs per row, each with its seed: enough to show the spread, few enough to
 * finish within a minute. */
#define SEED_COUNT 5

static void print_row(const struct fleet_pattern *pattern,
		      enum fleet_policy policy)
{
	double in_time_share[SEED_COUNT];
	double lowest = 1;
	double highest = 0;
	struct fleet_result total = { 0 };
	double max_shift = 0;
	double mean_cached = 0;
	double mean_busy = 0;
	uint32_t i;

	for (i = 0; i < SEED_COUNT; i++) {
		struct fleet_result run = fleet_model_run(pattern, policy, i + 1);

		in_time_share[i] = run.request_count ? (double)run.in_time /
							       run.request_count
						     : 0;
		lowest = in_time_share[i] < lowest ? in_time_share[i] : lowest;
		highest = in_time_share[i] > highest ? in_time_share[i] : highest;
		total.request_count += run.request_count;
		total.in_time += run.in_time;
		total.late += run.late;
		total.refused += run.refused;
		total.failed += run.failed;
		mean_cached += run.cached_share / SEED_COUNT;
		mean_busy += run.busy_share / SEED_COUNT;
		max_shift = run.shift > max_shift ? run.shift : max_shift;
	}
	printf("%-14s %-9s %6.3f %6.3f-%5.3f %6.3f %8.3f %7.3f %6.2f %5.2f "
	       "%6.2f\n",
	       pattern->name, fleet_policy_name(policy),
	       (double)total.in_time / total.request_count, lowest, highest,
	       (double)total.late / total.request_count,
	       (double)total.refused / total.request_count,
	       (double)total.failed / total.request_count, mean_cached,
	       mean_busy, max_shift);
}

static bool print_pattern(const char *file_name)
{
	struct schema_errors errors = schema_errors_new();
	struct fleet_pattern pattern = { 0 };
	bool valid = schema_read_file(&fleet_pattern_schema, file_name,
				      &pattern, &errors);
	int policy;

	if (!valid)
		fprintf(stderr, "%s: %s", file_name, errors.text->str);
	for (policy = 0; valid && policy < FLEET_POLICY_COUNT; policy++)
		print_row(&pattern, policy);
	schema_clear(&fleet_pattern_schema, &pattern);
	schema_errors_clear(&errors);
	return valid;
}

int bench_fleet(int argc, char **argv)
{
	struct arg_file *files = arg_filen(NULL, NULL, "PATTERN", 1, 50,
					   "JSON files with load patterns");
	struct arg_end *end = arg_end(5);
	void *table[] = { files, end };
	int code = 2;
	int i;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, BENCH_PROGRAM " fleet");
		arg_print_glossary(stderr, table, "  %-20s %s\n");
		goto out;
	}
	printf("pattern        way       in-time  low-high    late  refused  "
	       "failed  known  busy  shift\n");
	code = 0;
	for (i = 0; i < files->count; i++)
		if (!print_pattern(files->filename[i]))
			code = 2;
out:
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}
