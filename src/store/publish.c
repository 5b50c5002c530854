#include "store/publish.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "document/diff.h"
#include "document/document.h"

#define TRIES 4
#define HISTORY_KEY_BYTES 64
#define CHANGES_BYTES_MAX 65536
/* A publication's record is kept for this long. */
#define HISTORY_TTL_S (30 * 24 * 3600)

enum store_result publish_read(const struct store *store, json_t **value)
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

static uint64_t version_of(json_t *value)
{
	return (uint64_t)json_integer_value(json_object_get(value, "version"));
}

static const char *change_id_of(json_t *value)
{
	const char *id = json_string_value(json_object_get(value, "change_id"));

	return id ? id : "";
}

static void history_key(uint64_t version, char *key)
{
	/* fixed width: the store lists keys in the order of versions */
	snprintf(key, HISTORY_KEY_BYTES, "%s%016" PRIx64, STORE_PREFIX_HISTORY,
		 version);
}

/** The record of a publication; changes too long to keep are counted. */
static char *history_text(json_t *held, const struct publication *publication)
{
	json_t *before = held ? json_incref(held) : json_object();
	json_t *changes = diff_documents(before, publication->value);
	json_t *record;
	char *text;

	record = json_pack("{s:I,s:s,s:s,s:s,s:I,s:i,s:O}", "version",
			   (json_int_t)publication->version, "change_id",
			   change_id_of(publication->value), "author",
			   publication->author, "comment", publication->comment,
			   "unix_ms", (json_int_t)clock_unix_ms(&clock_system),
			   "change_count", (int)json_array_size(changes),
			   "changes", changes);
	text = json_dumps(record, JSON_COMPACT);
	if (text && strlen(text) > CHANGES_BYTES_MAX) {
		free(text);
		json_object_set_new(record, "changes", json_array());
		text = json_dumps(record, JSON_COMPACT);
	}
	json_decref(record);
	json_decref(changes);
	json_decref(before);
	return text;
}

static enum store_result write_all(const struct store *store, json_t *held,
				   uint64_t held_revision,
				   const struct publication *publication)
{
	char *text = json_dumps(publication->value, JSON_COMPACT);
	char *history = history_text(held, publication);
	char key[HISTORY_KEY_BYTES];
	char head[128];
	struct store_put puts[3] = {
		{ .key = STORE_KEY_DOCUMENT,
		  .value = text,
		  .compare = true,
		  .expected_revision = held_revision },
		{ .key = STORE_KEY_HEAD, .value = head },
		{ .key = key, .value = history },
	};
	enum store_result result;

	history_key(publication->version, key);
	snprintf(head, sizeof(head), "%" PRIu64 " %s", publication->version,
		 change_id_of(publication->value));
	/* without a lease the record stays for ever; that harms less */
	store->lease(store->context, HISTORY_TTL_S, &puts[2].lease);
	result = store->commit(store->context, puts, ARRAY_SIZE(puts));
	free(text);
	free(history);
	return result;
}

/** Sets what publishing sets, and checks the whole. */
static bool prepare(struct publication *publication, uint64_t held_version,
		    const char *change_id, struct shape_errors *errors)
{
	struct document *doc;

	publication->version = held_version;
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

/** Whether a publication with this id took effect. */
static bool is_in_history(const struct store *store,
			  const struct publication *publication,
			  const char *change_id)
{
	char key[HISTORY_KEY_BYTES];
	struct store_value raw;
	bool found = false;

	history_key(publication->version, key);
	if (store->get(store->context, key, &raw) != STORE_OK)
		return false;
	found = raw.bytes && strstr(raw.bytes, change_id);
	free(raw.bytes);
	return found;
}

/** One try. @return PUBLISH_UNKNOWN to try again with the same change id. */
static enum publish_result try_once(const struct store *store,
				    struct publication *publication,
				    const char *change_id, bool sent_before,
				    struct shape_errors *errors)
{
	enum publish_result outcome = PUBLISH_UNKNOWN;
	struct store_value raw;
	enum store_result result;
	json_t *held;

	result = store->get(store->context, STORE_KEY_DOCUMENT, &raw);
	if (result != STORE_OK)
		return sent_before ? PUBLISH_UNKNOWN : PUBLISH_UNREACHABLE;
	held = raw.bytes ? json_loadb(raw.bytes, raw.byte_count, 0, NULL) : NULL;
	if (sent_before && !strcmp(change_id_of(held), change_id)) {
		outcome = PUBLISH_DONE;
		goto out;
	}
	if (sent_before && is_in_history(store, publication, change_id)) {
		outcome = PUBLISH_DONE;
		goto out;
	}
	if (version_of(held) != publication->base_version) {
		outcome = PUBLISH_CONFLICT;
		goto out;
	}
	if (!prepare(publication, version_of(held), change_id, errors)) {
		outcome = PUBLISH_INVALID;
		goto out;
	}
	result = write_all(store, held, raw.mod_revision, publication);
	if (result == STORE_OK)
		outcome = PUBLISH_DONE;
	else if (result == STORE_CONFLICT)
		outcome = sent_before ? PUBLISH_UNKNOWN : PUBLISH_CONFLICT;
	else if (result == STORE_UNREACHABLE && !sent_before)
		outcome = PUBLISH_UNREACHABLE;
out:
	json_decref(held);
	free(raw.bytes);
	return outcome;
}

enum publish_result publish_run(const struct store *store,
				struct publication *publication,
				struct shape_errors *errors)
{
	enum publish_result outcome = PUBLISH_UNKNOWN;
	char *change_id = g_uuid_string_random();
	int i;

	publication->conflict = NULL;
	for (i = 0; i < TRIES && outcome == PUBLISH_UNKNOWN; i++)
		outcome = try_once(store, publication, change_id, i > 0, errors);
	if (outcome == PUBLISH_CONFLICT)
		publication->conflict =
			publish_changes_since(store, publication->base_version);
	g_free(change_id);
	return outcome;
}

static void add_record(void *context, const char *key, const char *value)
{
	json_t *list = context;
	json_t *record = json_loads(value, 0, NULL);

	(void)key;
	if (record)
		json_array_append_new(list, record);
}

json_t *publish_history(const struct store *store)
{
	json_t *list = json_array();

	if (store->list(store->context, STORE_PREFIX_HISTORY, add_record,
			list) == STORE_OK)
		return list;
	json_decref(list);
	return NULL;
}

json_t *publish_changes_since(const struct store *store, uint64_t version)
{
	json_t *history = publish_history(store);
	json_t *changes = json_array();
	json_t *record, *change;
	size_t i, k;

	json_array_foreach (history, i, record) {
		if (version_of(record) <= version)
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
