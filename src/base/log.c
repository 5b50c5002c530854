#include "base/log.h"

#include <glib.h>
#include <inttypes.h>
#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/ring.h"

#define QUEUE_SLOTS 16384
#define LINE_BYTES_MAX 800
/* The writer thread polls the queue: waking it for each line would slow down
 * the request that logs. */
#define POLL_INTERVAL_MS 100

struct line {
	enum log_level level;
	char text[LINE_BYTES_MAX];
};

static const int log4c_priorities[] = {
	LOG4C_PRIORITY_ERROR,
	LOG4C_PRIORITY_WARN,
	LOG4C_PRIORITY_INFO,
	LOG4C_PRIORITY_DEBUG,
};

static const char *const level_names[] = { "error", "warn", "info", "debug" };

static struct ring *line_queue;
static pthread_t writer_thread;
static log4c_category_t *category;
static _Atomic enum log_level level_max = LOG_LEVEL_WARN;
static atomic_bool stopping;
static atomic_uint_fast64_t dropped_lines;

int log_level_from_name(const char *name)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(level_names); i++)
		if (!strcmp(name, level_names[i]))
			return (int)i;
	return -1;
}

static void *run_writer(void *context)
{
	const struct timespec interval = { 0, POLL_INTERVAL_MS * NS_PER_MS };
	struct line *line;
	bool needs_flush = false;

	(void)context;
	for (;;) {
		line = ring_pop(line_queue, 0);
		if (line) {
			log4c_category_log(category,
					   log4c_priorities[line->level], "%s",
					   line->text);
			free(line);
			needs_flush = true;
			continue;
		}
		if (needs_flush)
			fflush(stdout);
		needs_flush = false;
		if (stopping && !ring_size(line_queue))
			break;
		clock_nanosleep(CLOCK_MONOTONIC, 0, &interval, NULL);
	}
	return NULL;
}

/* Lines already contain time and level, so log4c adds nothing. */
static const char *format_message(const log4c_layout_t *layout,
				  const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

/* Writes to the stdio buffer; the writer thread flushes it when idle. */
static int stdout_append(log4c_appender_t *appender,
			 const log4c_logging_event_t *event)
{
	(void)appender;
	return fprintf(stdout, "%s\n", event->evt_rendered_msg);
}

static const log4c_layout_type_t plain_layout = { "plain", format_message };
static const log4c_appender_type_t stdout_appender = { "buffered_stdout", NULL,
						       stdout_append, NULL };

int log_open(enum log_level level)
{
	log4c_appender_t *appender;

	if (log4c_init())
		fprintf(stderr, "log: cannot read the log4c configuration\n");
	log4c_layout_type_set(&plain_layout);
	log4c_appender_type_set(&stdout_appender);
	category = log4c_category_get("auburnreach");
	appender = log4c_appender_get("auburnreach-log");
	log4c_layout_set_type(log4c_layout_get("plain"), &plain_layout);
	log4c_appender_set_type(appender, &stdout_appender);
	log4c_appender_set_layout(appender, log4c_layout_get("plain"));
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, log4c_priorities[level]);
	level_max = level;
	stopping = false;
	line_queue = ring_new(QUEUE_SLOTS);
	if (!line_queue)
		return -1;
	if (pthread_create(&writer_thread, NULL, run_writer, NULL)) {
		ring_free(line_queue);
		line_queue = NULL;
		return -1;
	}
	return 0;
}

void log_set_level(enum log_level level)
{
	level_max = level;
	if (category)
		log4c_category_set_priority(category, log4c_priorities[level]);
}

void log_close(void)
{
	if (!line_queue)
		return;
	stopping = true;
	pthread_join(writer_thread, NULL);
	if (dropped_lines)
		fprintf(stderr, "log: lines were dropped count=%llu\n",
			(unsigned long long)dropped_lines);
	ring_free(line_queue);
	line_queue = NULL;
	log4c_fini();
}

/* What comes from outside must not begin a line of its own. */
static void replace_control_characters(char *text)
{
	for (; *text; text++)
		if (g_ascii_iscntrl(*text))
			*text = '?';
}

void log_line(enum log_level level, const char *part, const char *format, ...)
{
	struct line *line;
	int64_t now_ms;
	va_list args;
	int used;

	if (level > level_max || !line_queue)
		return;
	line = malloc(sizeof(*line));
	if (!line) {
		dropped_lines++;
		return;
	}
	line->level = level;
	now_ms = clock_unix_ms(&clock_system);
	used = snprintf(line->text, sizeof(line->text),
			"%" PRId64 ".%03d %s %s: ", now_ms / MS_PER_S,
			(int)(now_ms % MS_PER_S), level_names[level], part);
	va_start(args, format);
	vsnprintf(line->text + used, sizeof(line->text) - (size_t)used, format,
		  args);
	va_end(args);
	replace_control_characters(line->text);
	if (!ring_push(line_queue, line)) {
		dropped_lines++;
		free(line);
	}
}

uint64_t log_dropped(void)
{
	return dropped_lines;
}
