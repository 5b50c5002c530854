#include <civetweb.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

#include "ctl/ctl_defs.h"

/**
 * @file
 * The commands that ask an entry VM, and the one that makes keys.
 */

#define PATH_BYTES 512
#define Z85_KEY_BYTES 41

static const char *text_of(json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}

static long long number_of(json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static const char *yes_or_no(json_t *object, const char *key)
{
	return json_is_true(json_object_get(object, key)) ? "yes" : "no";
}

/** Prints "in force on n of m". */
static void print_versions(json_t *status)
{
	long long newest = 0, at_newest = 0, all = 0;
	json_t *item;
	size_t i;

	json_array_foreach (json_object_get(status, "versions"), i, item) {
		all += number_of(item, "count");
		if (number_of(item, "version") > newest) {
			newest = number_of(item, "version");
			at_newest = number_of(item, "count");
		}
	}
	printf("document: version=%lld in force on %lld of %lld entry VMs\n",
	       newest, at_newest, all);
}

static void print_members(json_t *status)
{
	json_t *item;
	size_t i;

	json_array_foreach (json_object_get(status, "members"), i, item)
		printf("entry: name=%s domain=%s state=%s leaving=%s "
		       "incarnation=%s address=%s\n",
		       text_of(item, "name"), text_of(item, "failure_domain"),
		       text_of(item, "state"), yes_or_no(item, "leaving"),
		       text_of(item, "incarnation"), text_of(item, "address"));
}

static void print_backends(json_t *status)
{
	json_t *item;
	size_t i;

	json_array_foreach (json_object_get(status, "backends"), i, item)
		printf("backend: name=%s service=%s in_flight=%lld slots=%lld "
		       "leaving=%s ejected=%s failures=%lld\n",
		       text_of(item, "name"), text_of(item, "service"),
		       number_of(item, "in_flight"), number_of(item, "slots"),
		       number_of(item, "leaving") ? "yes" : "no",
		       yes_or_no(item, "ejected"), number_of(item, "failures"));
}

static void print_steering(json_t *status)
{
	json_t *item, *bound;
	size_t i, k;

	json_array_foreach (json_object_get(status, "steering"), i, item) {
		printf("steering: service=%s from=%s settled=%s bounds=",
		       text_of(item, "service"), text_of(item, "from"),
		       yes_or_no(item, "settled"));
		json_array_foreach (json_object_get(item, "bounds"), k, bound)
			printf("%s%.3f", k ? "," : "", json_number_value(bound));
		printf("\n");
	}
}

enum ctl_exit ctl_status(struct ctl *ctl)
{
	json_t *status = ctl_ask_entry(ctl, "/v1/status", false);

	if (!status)
		return CTL_FAILED;
	if (ctl->json) {
		ctl_print_json(status);
		return CTL_DONE;
	}
	printf("asked: name=%s domain=%s program=%s up_ms=%lld leaving=%s "
	       "in_flight=%lld store_away=%s\n",
	       text_of(status, "name"), text_of(status, "failure_domain"),
	       text_of(status, "program"), number_of(status, "up_ms"),
	       yes_or_no(status, "leaving"), number_of(status, "in_flight"),
	       yes_or_no(status, "unclaimed"));
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
	json_t *answer;
	const char *why;

	snprintf(path, sizeof(path), "/v1/explain?request_id=%s", escaped);
	g_free(escaped);
	answer = ctl_ask_entry(ctl, path, false);
	if (!answer)
		return CTL_FAILED;
	why = json_string_value(json_object_get(answer, "why"));
	if (!why) {
		ctl_fail(CTL_FAILED, "%s; %s", text_of(answer, "error"),
			 text_of(answer, "remedy"));
		json_decref(answer);
		return CTL_FAILED;
	}
	if (ctl->json)
		ctl_print_json(json_incref(answer));
	else
		printf("%s\n", why);
	json_decref(answer);
	return CTL_DONE;
}

enum ctl_exit ctl_keygen(struct ctl *ctl)
{
	char public_key[Z85_KEY_BYTES], secret_key[Z85_KEY_BYTES];

	(void)ctl;
	if (zmq_curve_keypair(public_key, secret_key))
		return ctl_fail(CTL_FAILED, "no key could be made");
	ctl_print_json(json_pack("{s:s,s:s}", "peer_public_key", public_key,
				 "peer_secret_key", secret_key));
	return CTL_DONE;
}
