#include "document/edit.h"

#include <string.h>

/** @return the list item whose keys have these values; `key2` may be NULL. */
static json_t *find_item(json_t *doc, const char *list, const char *key1,
			 const char *value1, const char *key2, const char *value2)
{
	const char *text;
	json_t *item;
	size_t i;

	json_array_foreach (json_object_get(doc, list), i, item) {
		text = json_string_value(json_object_get(item, key1));
		if (!text || strcmp(text, value1))
			continue;
		if (!key2)
			return item;
		text = json_string_value(json_object_get(item, key2));
		if (text && !strcmp(text, value2))
			return item;
	}
	return NULL;
}

const char *edit_set_backend_leaving(json_t *doc, const char *name, bool leaving)
{
	json_t *backend = find_item(doc, "backends", "name", name, NULL, NULL);

	if (!backend)
		return "no backend server with this name";
	json_object_set_new(backend, "leaving", json_boolean(leaving));
	return NULL;
}

const char *edit_set_entry_leaving(json_t *doc, const char *name, bool leaving)
{
	json_t *list = json_object_get(doc, "leaving_entries");
	json_t *item;
	size_t i;

	if (!list) {
		list = json_array();
		json_object_set_new(doc, "leaving_entries", list);
	}
	json_array_foreach (list, i, item) {
		if (strcmp(json_string_value(item), name))
			continue;
		if (!leaving)
			json_array_remove(list, i);
		return NULL;
	}
	if (!leaving)
		return "this entry VM is not listed as leaving";
	json_array_append_new(list, json_string(name));
	return NULL;
}

static json_t *find_steering(json_t *doc, const char *service, const char *from)
{
	return find_item(doc, "steering", "service", service, "from", from);
}

const char *edit_set_shares(json_t *doc, const char *service, const char *from,
			    json_t *shares)
{
	json_t *steering = find_steering(doc, service, from);
	json_t *list = json_array();
	const char *region;
	json_t *value;

	json_object_foreach (shares, region, value)
		json_array_append_new(list, json_pack("{s:s,s:O}", "to", region,
						      "permille", value));
	if (!steering) {
		steering =
			json_pack("{s:s,s:s}", "service", service, "from", from);
		if (!json_object_get(doc, "steering"))
			json_object_set_new(doc, "steering", json_array());
		json_array_append_new(json_object_get(doc, "steering"), steering);
	}
	json_object_set_new(steering, "shares", list);
	return NULL;
}

const char *edit_set_move_cap(json_t *doc, const char *service, const char *from,
			      uint32_t cap_permille, uint32_t window_ms)
{
	json_t *steering = find_steering(doc, service, from);

	if (!steering)
		return "no steering entry for this service and region";
	json_object_set_new(steering, "move_cap_permille",
			    json_integer(cap_permille));
	json_object_set_new(steering, "window_ms", json_integer(window_ms));
	return NULL;
}

const char *edit_set_link_capacity(json_t *doc, const char *from,
				   const char *to, uint32_t mbit_per_s)
{
	json_t *link = find_item(doc, "links", "from", from, "to", to);

	if (!link)
		return "no link between these regions";
	json_object_set_new(link, "mbit_per_s", json_integer(mbit_per_s));
	return NULL;
}

const char *edit_set_service_number(json_t *doc, const char *service,
				    const char *key, json_int_t value)
{
	json_t *item = find_item(doc, "services", "name", service, NULL, NULL);

	if (!item)
		return "no service with this name";
	json_object_set_new(item, key, json_integer(value));
	return NULL;
}
