#include "standin.h"

#include <signal.h>
#include <stdlib.h>
#include <time.h>

#include "base/clock.h"
#include "http/http_server.h"

#define BODY_BYTES_MAX (4 * 1024 * 1024)

static void init_stop_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void standin_block_signals(void)
{
	sigset_t set;

	init_stop_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void standin_run_until_signal(struct mg_context *server)
{
	int signal_number;
	sigset_t set;

	init_stop_signals(&set);
	sigwait(&set, &signal_number);
	mg_stop(server);
	mg_exit_library();
}

json_t *standin_read_json(struct mg_connection *connection)
{
	json_t *value = NULL;
	char *body;
	int64_t body_bytes = http_read_body(connection, BODY_BYTES_MAX, &body);

	if (body_bytes >= 0)
		value = json_loadb(body, (size_t)body_bytes, 0, NULL);
	free(body);
	return value;
}

void standin_sleep_ms(int64_t ms)
{
	struct timespec time = {
		.tv_sec = ms / MS_PER_S,
		.tv_nsec = ms % MS_PER_S * NS_PER_MS,
	};

	if (ms > 0)
		nanosleep(&time, NULL);
}
