#include "document/current.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"

struct current {
	pthread_mutex_t lock; /* protects `active` */
	struct current_document *active;
	pthread_mutex_t apply_lock; /* one document is applied at a time */
	current_applied_fn on_applied;
	void *context;
};

/* protects the reference counts of all documents */
static pthread_mutex_t reference_lock = PTHREAD_MUTEX_INITIALIZER;

struct current *current_new(current_applied_fn on_applied, void *context)
{
	struct current *current = calloc(1, sizeof(*current));

	if (!current)
		return NULL;
	pthread_mutex_init(&current->lock, NULL);
	pthread_mutex_init(&current->apply_lock, NULL);
	current->on_applied = on_applied;
	current->context = context;
	return current;
}

void current_unref(struct current_document *ref)
{
	uint32_t remaining;

	if (!ref)
		return;
	pthread_mutex_lock(&reference_lock);
	remaining = --ref->references;
	pthread_mutex_unlock(&reference_lock);
	if (remaining)
		return;
	document_free(ref->doc);
	g_free(ref->text);
	free(ref);
}

void current_free(struct current *current)
{
	if (!current)
		return;
	current_unref(current->active);
	pthread_mutex_destroy(&current->lock);
	pthread_mutex_destroy(&current->apply_lock);
	free(current);
}

struct current_document *current_get(struct current *current)
{
	struct current_document *active;

	pthread_mutex_lock(&current->lock);
	active = current->active;
	if (active) {
		pthread_mutex_lock(&reference_lock);
		active->references++;
		pthread_mutex_unlock(&reference_lock);
	}
	pthread_mutex_unlock(&current->lock);
	return active;
}

uint64_t current_version(struct current *current)
{
	uint64_t version;

	pthread_mutex_lock(&current->lock);
	version = current->active ? current->active->doc->version : 0;
	pthread_mutex_unlock(&current->lock);
	return version;
}

static struct current_document *
parse_offered(const char *text, uint32_t text_bytes, const char *source)
{
	struct schema_errors errors = schema_errors_new();
	struct document *doc = document_parse(text, text_bytes, &errors);
	struct current_document *parsed = NULL;

	if (!doc) {
		counter_add(COUNTER_DOCUMENTS_REFUSED, 1);
		log_warn("document",
			 "refused an invalid document source=%s "
			 "errors=%u first=\"%s\"",
			 source, errors.count, errors.text->str);
		goto out;
	}
	parsed = calloc(1, sizeof(*parsed));
	if (!parsed) {
		document_free(doc);
		goto out;
	}
	parsed->doc = doc;
	parsed->text = g_strndup(text, text_bytes);
	parsed->text_bytes = text_bytes;
	parsed->references = 1;
out:
	schema_errors_clear(&errors);
	return parsed;
}

enum current_result current_apply(struct current *current, const char *text,
				  uint32_t text_bytes, const char *source)
{
	struct current_document *offered =
		parse_offered(text, text_bytes, source);
	struct current_document *old;

	if (!offered)
		return CURRENT_INVALID;
	pthread_mutex_lock(&current->apply_lock);
	if (offered->doc->version <= current_version(current)) {
		pthread_mutex_unlock(&current->apply_lock);
		current_unref(offered);
		return CURRENT_NOT_NEWER;
	}
	pthread_mutex_lock(&current->lock);
	old = current->active;
	current->active = offered;
	pthread_mutex_unlock(&current->lock);
	gauge_set(GAUGE_DOCUMENT_VERSION, (int64_t)offered->doc->version);
	counter_add(COUNTER_DOCUMENTS_APPLIED, 1);
	log_info("document",
		 "new version is in force version=%" PRIu64
		 " source=%s author=\"%s\"",
		 offered->doc->version, source, offered->doc->author);
	if (current->on_applied)
		current->on_applied(current->context, offered->doc);
	pthread_mutex_unlock(&current->apply_lock);
	current_unref(old);
	return CURRENT_APPLIED;
}
