#include <civetweb.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

#include "ctl/ctl_defs.h"

/**
 * @file
 * Commands that query an entry VM, and the command that generates keys.
 */

#define PATH_BYTES 512
#define Z85_KEY_BYTES 41

static const char *get_text(json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}

static long long get_number(json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static const char *format_bool(json_t *object, const char *key)
{
	return json_is_true(json_object_get(object, key)) ? "yes" : "no";
}

/** Prints how many entry VMs have the newest known version. */
static void print_versions(json_t *status)
{
	long long newest_version = 0, newest_count = 0, total_count = 0;
	json_t *item;
	size_t i;

	json_array_foreach (json_object_get(status, "versions"), i, item) {
		total_count += get_number(item, "count");
		if (get_number(item, "version") > newest_version) {
			newest_version = get_number(item, "version");
			newest_count = get_number(item, "count");
		}
	}
	printf("document: version=%lld in force on %lld of %lld entry VMs\n",
	       newest_version, newest_count, total_count);
}

static void print_members(json_t *status)
{
	json_t *item;
	size_t i;

	json_array_foreach (json_object_get(status, "members"), i, item)
		printf("entry: name=%s domain=%s state=%s leaving=%s "
		       "incarnation=%s address=%s\n",
		       get_text(item, "name"), get_text(item, "failure_domain"),
		       get_text(item, "state"), format_bool(item, "leaving"),
		       get_text(item, "incarnation"), get_text(item, "address"));
}

static void print_backends(json_t *status)
{
	json_t *item;
	size_t i;

	json_array_foreach (json_object_get(status, "backends"), i, item)
		printf("backend: name=%s service=%s in_flight=%lld slots=%lld "
		       "leaving=%s ejected=%s failures=%lld\n",
		       get_text(item, "name"), get_text(item, "service"),
		       get_number(item, "in_flight"), get_number(item, "slots"),
		       get_number(item, "leaving") ? "yes" : "no",
		       format_bool(item, "ejected"),
		       get_number(item, "failures"));
}

static void print_steering(json_t *status)
{
	json_t *item, *bound;
	size_t i, k;

	json_array_foreach (json_object_get(status, "steering"), i, item) {
		printf("steering: service=%s from=%s settled=%s bounds=",
		       get_text(item, "service"), get_text(item, "from"),
		       format_bool(item, "settled"));
		json_array_foreach (json_object_get(item, "bounds"), k, bound)
			printf("%s%.3f", k ? "," : "", json_number_value(bound));
		printf("\n");
	}
}

enum ctl_exit ctl_status(struct ctl *ctl)
{
	json_t *status = ctl_query_entry(ctl, "/v1/status", false);

	if (!status)
		return CTL_FAILED;
	if (ctl->json) {
		ctl_print_json(status);
		return CTL_DONE;
	}
	printf("asked: name=%s domain=%s program=%s up_ms=%lld leaving=%s "
	       "in_flight=%lld store_away=%s\n",
	       get_text(status, "name"), get_text(status, "failure_domain"),
	       get_text(status, "program"), get_number(status, "up_ms"),
	       format_bool(status, "leaving"), get_number(status, "in_flight"),
	       format_bool(status, "unclaimed"));
	print_versions(status);
	print_members(status);
	print_backends(status);
	print_steering(status);
	json_decref(status);
	return CTL_DONE;
}

enum ctl_exit ctl_explain(struct ctl *ctl)
{
	char *escaped = g_uri_escape_string(ctl->args[0], NULL, FALSE);
	char path[PATH_BYTES];
	json_t *response;
	const char *explanation;

	snprintf(path, sizeof(path), "/v1/explain?request_id=%s", escaped);
	g_free(escaped);
	response = ctl_query_entry(ctl, path, false);
	if (!response)
		return CTL_FAILED;
	explanation = json_string_value(json_object_get(response, "why"));
	if (!explanation) {
		ctl_fail(CTL_FAILED, "%s; %s", get_text(response, "error"),
			 get_text(response, "remedy"));
		json_decref(response);
		return CTL_FAILED;
	}
	if (ctl->json)
		ctl_print_json(json_incref(response));
	else
		printf("%s\n", explanation);
	json_decref(response);
	return CTL_DONE;
}

enum ctl_exit ctl_keygen(struct ctl *ctl)
{
	char public_key[Z85_KEY_BYTES], secret_key[Z85_KEY_BYTES];

	(void)ctl;
	if (zmq_curve_keypair(public_key, secret_key))
		return ctl_fail(CTL_FAILED, "cannot generate a key pair");
	ctl_print_json(json_pack("{s:s,s:s}", "peer_public_key", public_key,
				 "peer_secret_key", secret_key));
	return CTL_DONE;
}
