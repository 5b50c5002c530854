#include <argtable2.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"
#include "base/clock.h"
#include "bench_defs.h"
#include "http/http_pool.h"
#include "http/http_server.h"

/**
 * @file
 * Compares two addresses within one run: requests forwarded by an entry VM with
 * requests to the backend server itself, and look-ups with an empty handler of
 * the HTTP library.
 */

#define REQUEST_TIMEOUT_MS 5000
#define REUSE_WITHIN_MS 1000
#define RESPONSE_BYTES_MAX (1024 * 1024)

/** Requests to one address, sent by several threads. */
struct stream {
	const char *address;
	const char *path;
	uint32_t rate_per_s; /* 0: the next one as soon as a response arrives */
	uint32_t count;
	uint32_t thread_count;
	struct http_pool *pool;
	uint32_t next_index;
	int64_t start_ns;
	uint32_t failed;
};

struct stream_thread {
	struct stream *stream;
	pthread_t thread;
	struct samples samples;
};

static bool send_get(struct stream *stream)
{
	struct http_request request = {
		.method = "GET",
		.path = stream->path,
		.response_bytes_max = RESPONSE_BYTES_MAX,
		.deadline_ns = clock_now_ns(&clock_system) +
			       REQUEST_TIMEOUT_MS * NS_PER_MS,
	};
	struct http_response response = { 0 };
	bool succeeded =
		http_pool_exchange(stream->pool, &request, REUSE_WITHIN_MS,
				   &response) == HTTP_COMPLETE &&
		response.status == 200;

	http_response_clear(&response);
	return succeeded;
}

static void *stream_thread_main(void *context)
{
	struct stream_thread *thread = context;
	struct stream *stream = thread->stream;
	int64_t due_ns;
	uint32_t index;

	while ((index = __sync_fetch_and_add(&stream->next_index, 1)) <
	       stream->count) {
		due_ns = clock_now_ns(&clock_system);
		if (stream->rate_per_s) {
			due_ns = stream->start_ns + (int64_t)index * NS_PER_MS *
							    MS_PER_S /
							    stream->rate_per_s;
			bench_sleep_until(due_ns);
		}
		if (send_get(stream))
			samples_add(&thread->samples,
				    (clock_now_ns(&clock_system) - due_ns) / 1000);
		else
			__sync_fetch_and_add(&stream->failed, 1);
	}
	return NULL;
}

/** Runs a stream; `merged` receives its latencies. @return elapsed ns. */
static int64_t run_stream(struct stream *stream, struct samples *merged)
{
	struct stream_thread *threads =
		g_new0(struct stream_thread, stream->thread_count);
	uint32_t i;

	stream->pool = http_pool_new(stream->address, stream->thread_count,
				     REUSE_WITHIN_MS);
	stream->next_index = 0;
	stream->start_ns = clock_now_ns(&clock_system);
	samples_init(merged, stream->count);
	for (i = 0; i < stream->thread_count; i++) {
		threads[i].stream = stream;
		samples_init(&threads[i].samples, stream->count);
		pthread_create(&threads[i].thread, NULL, stream_thread_main,
			       &threads[i]);
	}
	for (i = 0; i < stream->thread_count; i++) {
		pthread_join(threads[i].thread, NULL);
		samples_merge(merged, &threads[i].samples);
		samples_free(&threads[i].samples);
	}
	http_pool_free(stream->pool);
	g_free(threads);
	return clock_now_ns(&clock_system) - stream->start_ns;
}

/** Sorts the values. @return the index of the median. */
static uint32_t sort_and_find_median(double *values, uint32_t count,
				     double *lowest, double *highest)
{
	uint32_t i, k;
	double swap;

	for (i = 0; i < count; i++)
		for (k = i + 1; k < count; k++)
			if (values[k] < values[i]) {
				swap = values[i];
				values[i] = values[k];
				values[k] = swap;
			}
	*lowest = values[0];
	*highest = values[count - 1];
	return count / 2;
}

#define ROUNDS_MAX 21

static void print_spread(const char *name, double *values, uint32_t rounds)
{
	double lowest, highest;
	uint32_t median_index =
		sort_and_find_median(values, rounds, &lowest, &highest);

	printf("%s median=%.3f lowest=%.3f highest=%.3f rounds=%u\n", name,
	       values[median_index], lowest, highest, rounds);
}

int bench_forward(int argc, char **argv)
{
	struct arg_str *bare =
		arg_str1("b", "bare", "IP:PORT", "the backend server");
	struct arg_str *entry = arg_str1("e", "entry", "IP:PORT",
					 "the entry VM before the server");
	struct arg_str *path = arg_str1("p", "path", "PATH",
					"path of a request to the service");
	struct arg_int *rate =
		arg_int0("r", "rate", "N", "requests per second (1000)");
	struct arg_int *count =
		arg_int0("n", "count", "N", "requests per round (2000)");
	struct arg_int *rounds =
		arg_int0(NULL, "rounds", "N", "alternating rounds (5)");
	struct arg_end *end = arg_end(8);
	void *table[] = { bare, entry, path, rate, count, rounds, end };
	double p50[ROUNDS_MAX], p99[ROUNDS_MAX];
	struct samples direct, forwarded;
	struct stream stream = { .thread_count = 16 };
	uint32_t round_count, i;
	int code = 2;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, BENCH_PROGRAM " forward");
		goto out;
	}
	stream.path = path->sval[0];
	stream.rate_per_s = rate->count ? (uint32_t)rate->ival[0] : 1000;
	stream.count = count->count ? (uint32_t)count->ival[0] : 2000;
	round_count = rounds->count ? (uint32_t)rounds->ival[0] : 5;
	round_count = CLAMP(round_count, 1, ROUNDS_MAX);
	for (i = 0; i < round_count; i++) {
		stream.address = bare->sval[0];
		run_stream(&stream, &direct);
		stream.address = entry->sval[0];
		run_stream(&stream, &forwarded);
		samples_sort(&direct);
		samples_sort(&forwarded);
		p50[i] = ((double)samples_quantile(&forwarded, 500) -
			  samples_quantile(&direct, 500)) /
			 1000;
		p99[i] = ((double)samples_quantile(&forwarded, 990) -
			  samples_quantile(&direct, 990)) /
			 1000;
		samples_free(&direct);
		samples_free(&forwarded);
	}
	print_spread("added_p50_ms", p50, round_count);
	print_spread("added_p99_ms", p99, round_count);
	printf("failed=%u\n", stream.failed);
	code = stream.failed ? 1 : 0;
out:
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}

static int handle_empty_request(struct mg_connection *connection, void *context)
{
	(void)context;
	http_reply(connection, 200, "application/json", NULL, "{}", 2);
	return 200;
}

int bench_lookups(int argc, char **argv)
{
	struct arg_str *entry = arg_str1("e", "entry", "IP:PORT", "the entry VM");
	struct arg_str *service = arg_str1("s", "service", "NAME", "the service");
	struct arg_str *empty = arg_str1(NULL, "empty", "IP:PORT",
					 "address for the empty handler");
	struct arg_int *count =
		arg_int0("n", "count", "N", "look-ups per round (50000)");
	struct arg_int *rounds =
		arg_int0(NULL, "rounds", "N", "alternating rounds (5)");
	struct arg_end *end = arg_end(8);
	void *table[] = { entry, service, empty, count, rounds, end };
	double ratio[ROUNDS_MAX], lookups_per_s[ROUNDS_MAX],
		empty_per_s[ROUNDS_MAX];
	struct stream stream = { .thread_count = 16 };
	struct http_server_options options = {
		.threads = 64,
		.keep_alive_ms = 2000,
		.request_timeout_ms = 10000,
		.connections_max = 64,
	};
	struct mg_context *server = NULL;
	struct samples merged;
	uint32_t round_count, i;
	char path[160];
	int code = 2;

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, BENCH_PROGRAM " lookups");
		goto out;
	}
	options.address = empty->sval[0];
	server = http_server_start(&options);
	if (!server)
		goto out;
	mg_set_request_handler(server, "/", handle_empty_request, NULL);
	snprintf(path, sizeof(path), "/v1/entries?service=%s", service->sval[0]);
	stream.path = path;
	stream.count = count->count ? (uint32_t)count->ival[0] : 50000;
	round_count = rounds->count ? (uint32_t)rounds->ival[0] : 5;
	round_count = CLAMP(round_count, 1, ROUNDS_MAX);
	for (i = 0; i < round_count; i++) {
		stream.address = empty->sval[0];
		empty_per_s[i] =
			stream.count * 1e9 / run_stream(&stream, &merged);
		samples_free(&merged);
		stream.address = entry->sval[0];
		lookups_per_s[i] =
			stream.count * 1e9 / run_stream(&stream, &merged);
		samples_free(&merged);
		ratio[i] = lookups_per_s[i] / empty_per_s[i];
	}
	print_spread("empty_per_s", empty_per_s, round_count);
	print_spread("lookups_per_s", lookups_per_s, round_count);
	print_spread("ratio", ratio, round_count);
	printf("failed=%u\n", stream.failed);
	code = stream.failed ? 1 : 0;
out:
	if (server)
		mg_stop(server);
	arg_freetable(table, ARRAY_SIZE(table));
	return code;
}
