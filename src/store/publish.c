#include "store/publish.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "document/diff.h"
#include "document/document.h"

#define ATTEMPTS_MAX 4
#define HISTORY_KEY_BYTES 64
#define RECORD_BYTES_MAX 65536
/* lifetime of a publication's history record */
#define HISTORY_TTL_S (30 * 24 * 3600)

enum store_result publish_read_document(const struct store *store, json_t **value)
{
	struct store_value raw;
	enum store_result result;

	*value = NULL;
	result = store->get(store->context, STORE_KEY_DOCUMENT, &raw);
	if (result != STORE_OK)
		return result;
	if (raw.bytes)
		*value = json_loadb(raw.bytes, raw.byte_count, 0, NULL);
	free(raw.bytes);
	return STORE_OK;
}

static uint64_t get_version(json_t *value)
{
	return (uint64_t)json_integer_value(json_object_get(value, "version"));
}

static const char *get_change_id(json_t *value)
{
	const char *id = json_string_value(json_object_get(value, "change_id"));

	return id ? id : "";
}

static void format_history_key(uint64_t version, char *key)
{
	/* fixed width, so that keys sort in the order of versions */
	snprintf(key, HISTORY_KEY_BYTES, "%s%016" PRIx64, STORE_PREFIX_HISTORY,
		 version);
}

/**
 * Creates a publication's history record. If it is too long, its list of
 * changes is left out and only their number remains.
 */
static char *make_history_record(json_t *stored,
				 const struct publication *publication)
{
	json_t *before = stored ? json_incref(stored) : json_object();
	json_t *changes = diff_documents(before, publication->value);
	json_t *record;
	char *text;

	record = json_pack("{s:I,s:s,s:s,s:s,s:I,s:i,s:O}", "version",
			   (json_int_t)publication->version, "change_id",
			   get_change_id(publication->value), "author",
			   publication->author, "comment", publication->comment,
			   "unix_ms", (json_int_t)clock_unix_ms(&clock_system),
			   "change_count", (int)json_array_size(changes),
			   "changes", changes);
	text = json_dumps(record, JSON_COMPACT);
	if (text && strlen(text) > RECORD_BYTES_MAX) {
		free(text);
		json_object_set_new(record, "changes", json_array());
		text = json_dumps(record, JSON_COMPACT);
	}
	json_decref(record);
	json_decref(changes);
	json_decref(before);
	return text;
}

static enum store_result commit_publication(const struct store *store,
					    json_t *stored,
					    uint64_t stored_revision,
					    const struct publication *publication)
{
	char *text = json_dumps(publication->value, JSON_COMPACT);
	char *history = make_history_record(stored, publication);
	char key[HISTORY_KEY_BYTES];
	char head[128];
	struct store_put puts[3] = {
		{ .key = STORE_KEY_DOCUMENT,
		  .value = text,
		  .compare = true,
		  .expected_revision = stored_revision },
		{ .key = STORE_KEY_HEAD, .value = head },
		{ .key = key, .value = history },
	};
	enum store_result result;

	format_history_key(publication->version, key);
	snprintf(head, sizeof(head), "%" PRIu64 " %s", publication->version,
		 get_change_id(publication->value));
	/* without a lease the record never expires, better than not publishing */
	store->lease(store->context, HISTORY_TTL_S, &puts[2].lease);
	result = store->commit(store->context, puts, ARRAY_SIZE(puts));
	free(text);
	free(history);
	return result;
}

/** Sets the version and metadata of the document, and validates it. */
static bool prepare_document(struct publication *publication,
			     uint64_t stored_version, const char *change_id,
			     struct schema_errors *errors)
{
	struct document *doc;

	publication->version = stored_version;
	if (publication->floor_version > publication->version)
		publication->version = publication->floor_version;
	publication->version++;
	json_object_set_new(publication->value, "version",
			    json_integer((json_int_t)publication->version));
	json_object_set_new(publication->value, "change_id",
			    json_string(change_id));
	json_object_set_new(publication->value, "author",
			    json_string(publication->author));
	json_object_set_new(publication->value, "comment",
			    json_string(publication->comment));
	doc = document_from_json(publication->value, errors);
	if (!doc)
		return false;
	json_decref(publication->value);
	publication->value = document_to_json(doc);
	document_free(doc);
	return true;
}

/** @return whether the publication with this change id took effect. */
static bool is_in_history(const struct store *store,
			  const struct publication *publication,
			  const char *change_id)
{
	char key[HISTORY_KEY_BYTES];
	struct store_value raw;
	bool found = false;

	format_history_key(publication->version, key);
	if (store->get(store->context, key, &raw) != STORE_OK)
		return false;
	found = raw.bytes && strstr(raw.bytes, change_id);
	free(raw.bytes);
	return found;
}

/** @return PUBLISH_UNKNOWN to be called again with the same change id. */
static enum publish_result attempt_publish(const struct store *store,
					   struct publication *publication,
					   const char *change_id, bool is_retry,
					   struct schema_errors *errors)
{
	enum publish_result outcome = PUBLISH_UNKNOWN;
	struct store_value raw;
	enum store_result result;
	json_t *stored;

	result = store->get(store->context, STORE_KEY_DOCUMENT, &raw);
	if (result != STORE_OK)
		return is_retry ? PUBLISH_UNKNOWN : PUBLISH_UNREACHABLE;
	stored = raw.bytes ? json_loadb(raw.bytes, raw.byte_count, 0, NULL)
			   : NULL;
	if (is_retry && !strcmp(get_change_id(stored), change_id)) {
		outcome = PUBLISH_DONE;
		goto out;
	}
	if (is_retry && is_in_history(store, publication, change_id)) {
		outcome = PUBLISH_DONE;
		goto out;
	}
	if (get_version(stored) != publication->base_version) {
		outcome = PUBLISH_CONFLICT;
		goto out;
	}
	if (!prepare_document(publication, get_version(stored), change_id,
			      errors)) {
		outcome = PUBLISH_INVALID;
		goto out;
	}
	result = commit_publication(store, stored, raw.mod_revision, publication);
	if (result == STORE_OK)
		outcome = PUBLISH_DONE;
	else if (result == STORE_CONFLICT)
		outcome = is_retry ? PUBLISH_UNKNOWN : PUBLISH_CONFLICT;
	else if (result == STORE_UNREACHABLE && !is_retry)
		outcome = PUBLISH_UNREACHABLE;
out:
	json_decref(stored);
	free(raw.bytes);
	return outcome;
}

enum publish_result publish_document(const struct store *store,
				     struct publication *publication,
				     struct schema_errors *errors)
{
	enum publish_result outcome = PUBLISH_UNKNOWN;
	char *change_id = g_uuid_string_random();
	int i;

	publication->conflict = NULL;
	for (i = 0; i < ATTEMPTS_MAX && outcome == PUBLISH_UNKNOWN; i++)
		outcome = attempt_publish(store, publication, change_id, i > 0,
					  errors);
	if (outcome == PUBLISH_CONFLICT)
		publication->conflict =
			publish_read_changes_since(store,
						   publication->base_version);
	g_free(change_id);
	return outcome;
}

static void append_record(void *context, const char *key, const char *value)
{
	json_t *list = context;
	json_t *record = json_loads(value, 0, NULL);

	(void)key;
	if (record)
		json_array_append_new(list, record);
}

json_t *publish_read_history(const struct store *store)
{
	json_t *list = json_array();

	if (store->list(store->context, STORE_PREFIX_HISTORY, append_record,
			list) == STORE_OK)
		return list;
	json_decref(list);
	return NULL;
}

json_t *publish_read_changes_since(const struct store *store, uint64_t version)
{
	json_t *history = publish_read_history(store);
	json_t *changes = json_array();
	json_t *record, *change;
	size_t i, k;

	json_array_foreach (history, i, record) {
		if (get_version(record) <= version)
			continue;
		json_array_foreach (json_object_get(record, "changes"), k,
				    change) {
			json_t *copy = json_copy(change);

			json_object_set(copy, "author",
					json_object_get(record, "author"));
			json_object_set(copy, "version",
					json_object_get(record, "version"));
			json_array_append_new(changes, copy);
		}
	}
	json_decref(history);
	return changes;
}
