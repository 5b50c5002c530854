#include <argtable2.h>
#include <string.h>

#include "base/attributes.h"
#include "model.h"

/**
 * @file
 * Runs the model of one region with each policy of server choice and prints
 * tables of the results.
 */

#define REQUEST_COUNT 30000
#define DEFAULT_SEED 1

struct deployment {
	const char *name;
	uint32_t server_count;
	uint32_t slots;
};

static const struct deployment deployments[] = {
	{ "3 slots", 7, 3 },
	{ "9 slots", 7, 9 },
};

static const double loads[] = { 0.6, 0.8, 0.95 };

static void print_row(const struct model_options *options,
		      const struct model_result *result, double ideal_p99_us)
{
	char name[32];
	double requests = options->request_count;

	g_snprintf(name, sizeof(name), "%s", model_policy_names[options->policy]);
	if (options->policy == MODEL_LEND)
		g_snprintf(name, sizeof(name), "lend, %u asks",
			   options->owners_queried);
	printf("| %-12s | %8.1f | %8.1f | %6.2f | %8.3f | %8.2f | %llu |\n",
	       name, samples_quantile(&result->overhead, 500) / 1000.0,
	       samples_quantile(&result->overhead, 990) / 1000.0,
	       samples_quantile(&result->overhead, 990) / ideal_p99_us,
	       (double)result->refusals / requests,
	       (double)result->messages / requests,
	       (unsigned long long)result->double_grants);
}

static double run_policy(struct model_options *options, double ideal_p99_us)
{
	struct model_result result;
	double p99_us;

	model_run(options, &result);
	samples_sort(&result.overhead);
	p99_us = samples_quantile(&result.overhead, 990);
	if (result.responses != options->request_count)
		printf("UNANSWERED: %llu requests\n",
		       (unsigned long long)(options->request_count -
					    result.responses));
	print_row(options, &result, ideal_p99_us > 0 ? ideal_p99_us : p99_us);
	samples_free(&result.overhead);
	return p99_us;
}

static void print_table(const struct deployment *deployment, double load,
			uint32_t slow_server_count, guint32 seed)
{
	struct model_options options = {
		.entry_count = 8,
		.server_count = deployment->server_count,
		.slots = deployment->slots,
		.load = load,
		.mean_service_us = 50000,
		.sigma = 0.5,
		.request_count = REQUEST_COUNT,
		.slow_server_count = slow_server_count,
		.seed = seed,
	};
	double ideal_p99_us = 0;
	int policy;

	printf("\n%u servers of %s, 8 entry VMs, load %.0f%%%s\n\n"
	       "| way | p50 ms | p99 ms | p99 ratio | refused/request | "
	       "messages/request | twice |\n|---|---|---|---|---|---|---|\n",
	       deployment->server_count, deployment->name, load * 100,
	       slow_server_count ? ", one server four times slower" : "");
	for (policy = 0; policy < MODEL_POLICY_COUNT; policy++) {
		options.policy = policy;
		if (policy == MODEL_ONE_QUEUE) {
			ideal_p99_us = run_policy(&options, 0);
			continue;
		}
		if (policy != MODEL_LEND) {
			run_policy(&options, ideal_p99_us);
			continue;
		}
		for (options.owners_queried = 1; options.owners_queried <= 4;
		     options.owners_queried++)
			run_policy(&options, ideal_p99_us);
	}
}

int bench_decide(int argc, char **argv)
{
	struct arg_int *seed =
		arg_int0("s", "seed", "N", "seed of the random numbers (1)");
	struct arg_end *end = arg_end(4);
	void *table[] = { seed, end };
	guint32 seed_value = DEFAULT_SEED;
	size_t i, k;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, BENCH_PROGRAM " decide");
		arg_freetable(table, ARRAY_SIZE(table));
		return 2;
	}
	if (seed->count)
		seed_value = (guint32)seed->ival[0];
	printf("Time beyond service, against one queue before all slots. Seed "
	       "%u.\n",
	       seed_value);
	for (i = 0; i < ARRAY_SIZE(deployments); i++)
		for (k = 0; k < ARRAY_SIZE(loads); k++)
			print_table(&deployments[i], loads[k], 0, seed_value);
	print_table(&deployments[0], 0.6, 1, seed_value);
	arg_freetable(table, ARRAY_SIZE(table));
	return 0;
}
