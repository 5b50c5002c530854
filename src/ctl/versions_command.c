#include <stdio.h>
#include <string.h>

#include "ctl/ctl_defs.h"

/**
 * @file
 * The command that shows under which configuration each entry VM of the platform
 * answers. It asks one VM for the others, and each of them for its status.
 */

#define STATUS_PATH "/status"

struct versions {
	json_t *statuses;    /* by VM; JSON null: not reached */
	const char *newest;  /* version in force on any VM */
	long long era;	     /* newest of the store that a VM has read */
	size_t behind_count; /* VMs with an older version or era */
	size_t unreached_count;
};

static const char *get_text(json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text && *text ? text : "-";
}

static long long get_number(json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

/* Versions have a fixed width, so that text order is numeric order. */
static void note_newest(struct versions *versions, json_t *status)
{
	const char *version = get_text(status, "version");

	if (strcmp(version, versions->newest) > 0)
		versions->newest = version;
	if (get_number(status, "store_era") > versions->era)
		versions->era = get_number(status, "store_era");
}

static void query_vms(struct ctl *ctl, json_t *first, struct versions *versions)
{
	json_t *vm;
	size_t i;

	json_array_foreach (json_object_get(first, "vms"), i, vm) {
		const char *name = get_text(vm, "vm");
		json_t *status = NULL;

		ctl->entry = get_text(vm, "status_address");
		if (strcmp(ctl->entry, "-"))
			status = ctl_query_entry(ctl, STATUS_PATH, true);
		if (status)
			note_newest(versions, status);
		json_object_set_new(versions->statuses, name,
				    status ? status : json_null());
	}
}

static bool is_behind(const struct versions *versions, json_t *status)
{
	return strcmp(get_text(status, "version"), versions->newest) != 0 ||
	       get_number(status, "store_era") != versions->era;
}

static void print_vm(struct versions *versions, const char *name, json_t *status)
{
	if (!json_is_object(status)) {
		versions->unreached_count++;
		printf("vm: name=%s state=not-reached\n", name);
		return;
	}
	versions->behind_count += is_behind(versions, status);
	printf("vm: name=%s domain=%s build=%s version=%s version_age_ms=%lld "
	       "store_era=%lld servers=%lld servers_age_ms=%lld relay=%s "
	       "state=%s%s%s\n",
	       name, get_text(status, "failure_domain"),
	       get_text(status, "build"), get_text(status, "version"),
	       get_number(status, "version_age_ms"),
	       get_number(status, "store_era"), get_number(status, "servers"),
	       get_number(status, "servers_age_ms"), get_text(status, "relay"),
	       is_behind(versions, status) ? "behind" : "current",
	       json_is_true(json_object_get(status, "stopping")) ? ",stopping"
								 : "",
	       json_is_true(json_object_get(status, "cut_off")) ? ",cut-off"
								: "");
}

enum ctl_exit ctl_versions(struct ctl *ctl)
{
	json_t *first = ctl_query_entry(ctl, STATUS_PATH, false);
	struct versions versions = { json_object(), "", 0, 0, 0 };
	const char *name;
	json_t *status;

	if (!first)
		return CTL_FAILED;
	if (!json_is_array(json_object_get(first, "vms"))) {
		json_decref(first);
		json_decref(versions.statuses);
		return ctl_fail(CTL_FAILED,
				"%s has no list of entry VMs under " STATUS_PATH
				"; --entry must be a metrics address",
				ctl->entry);
	}
	query_vms(ctl, first, &versions);
	if (ctl->json) {
		ctl_print_json(json_incref(versions.statuses));
	} else {
		json_object_foreach (versions.statuses, name, status)
			print_vm(&versions, name, status);
		printf("fleet: version=%s store_era=%lld vms=%zu behind=%zu "
		       "not_reached=%zu\n",
		       versions.newest, versions.era,
		       json_object_size(versions.statuses),
		       versions.behind_count, versions.unreached_count);
	}
	json_decref(versions.statuses);
	json_decref(first);
	return versions.behind_count || versions.unreached_count ? CTL_FAILED
								 : CTL_DONE;
}
