#include "entry/explain.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "decide/rank.h"

/* A hash table without chaining: a request overwrites one of equal index. */
#define RECORD_COUNT 4096
#define ID_BYTES 96

struct record {
	char request_id[ID_BYTES];
	char text[EXPLAIN_TEXT_BYTES];
};

struct explain {
	pthread_mutex_t lock;
	struct record records[RECORD_COUNT];
};

struct explain *explain_new(void)
{
	struct explain *explain = calloc(1, sizeof(*explain));

	if (explain)
		pthread_mutex_init(&explain->lock, NULL);
	return explain;
}

void explain_free(struct explain *explain)
{
	if (!explain)
		return;
	pthread_mutex_destroy(&explain->lock);
	free(explain);
}

static struct record *record_for(struct explain *explain, const char *request_id)
{
	return &explain->records[rank_hash(request_id) % RECORD_COUNT];
}

void explain_add(struct explain *explain, const char *request_id,
		 const char *format, ...)
{
	char sentence[EXPLAIN_TEXT_BYTES];
	struct record *record;
	va_list args;
	size_t used;

	va_start(args, format);
	vsnprintf(sentence, sizeof(sentence), format, args);
	va_end(args);
	log_info("route", "%s request=%s", sentence, request_id);
	pthread_mutex_lock(&explain->lock);
	record = record_for(explain, request_id);
	if (strcmp(record->request_id, request_id)) {
		snprintf(record->request_id, ID_BYTES, "%s", request_id);
		record->text[0] = '\0';
	}
	used = strlen(record->text);
	snprintf(record->text + used, sizeof(record->text) - used, "%s%s",
		 used ? "; " : "", sentence);
	pthread_mutex_unlock(&explain->lock);
}

bool explain_find(struct explain *explain, const char *request_id, char *text,
		  size_t text_bytes)
{
	struct record *record;
	bool found;

	pthread_mutex_lock(&explain->lock);
	record = record_for(explain, request_id);
	found = *request_id && !strcmp(record->request_id, request_id);
	if (found)
		snprintf(text, text_bytes, "%s", record->text);
	pthread_mutex_unlock(&explain->lock);
	return found;
}
