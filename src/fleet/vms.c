#include "fleet/vms.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/build.h"
#include "base/counter.h"
#include "base/log.h"
#include "base/schema.h"
#include "net/tcp.h"

/* More than any VM has; keeps sums in 32 bits. */
#define VM_WEIGHT_MAX 1000000

#define BUILD_CHARACTERS "abcdefghijklmnopqrstuvwxyz0123456789-"

struct vms {
	const struct topology *topology;
	GPtrArray *all;
	GHashTable *unreadable; /* name -> text of its entry */
	uint64_t generation;	/* never 0 */
};

static void vm_free(gpointer data)
{
	struct vm *vm = data;

	free(vm->name);
	free(vm->address);
	free(vm->status_address);
	g_free(vm);
}

struct vms *vms_new(const struct topology *topology)
{
	struct vms *vms = g_new0(struct vms, 1);

	vms->topology = topology;
	vms->generation = 1;
	vms->all = g_ptr_array_new_with_free_func(vm_free);
	vms->unreadable =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return vms;
}

void vms_free(struct vms *vms)
{
	if (!vms)
		return;
	g_ptr_array_unref(vms->all);
	g_hash_table_destroy(vms->unreadable);
	g_free(vms);
}

char *vms_encode_entry(const struct vm_entry *entry)
{
	json_t *root = json_pack("{s:s,s:s,s:s,s:s,s:s}", "address",
				 entry->address, "failure_domain",
				 entry->failure_domain, "relay_address",
				 entry->relay_address, "status_address",
				 entry->status_address, "build", build_commit());
	char *text;

	if (entry->cut_off)
		json_object_set_new(root, "cut_off", json_true());
	if (entry->handoff_address && *entry->handoff_address) {
		json_object_set_new(root, "handoff_address",
				    json_string(entry->handoff_address));
		json_object_set_new(root, "weight",
				    json_integer((json_int_t)entry->weight));
		json_object_set_new(root, "link_mbps",
				    json_integer((json_int_t)entry->link_mbps));
	}
	text = root ? json_dumps(root, JSON_COMPACT) : NULL;

	json_decref(root);
	return text;
}

static const struct vm *find_by_name(const struct vms *vms, const char *name)
{
	guint i;

	for (i = 0; i < vms->all->len; i++) {
		const struct vm *vm = g_ptr_array_index(vms->all, i);

		if (!strcmp(vm->name, name))
			return vm;
	}
	return NULL;
}

static void log_put(const struct vms *vms, const char *name, const char *domain,
		    const char *address, bool cut_off)
{
	const struct vm *before = find_by_name(vms, name);

	if (!before)
		log_info("vms", "VM joined vm=%s domain=%s address=%s", name,
			 domain, address);
	if (cut_off != (before && before->cut_off))
		log_info("vms", "%s vm=%s",
			 cut_off ? "VM is cut off from all servers"
				 : "VM is no longer cut off",
			 name);
}

static bool remove_by_name(struct vms *vms, const char *name)
{
	guint i;

	for (i = 0; i < vms->all->len; i++) {
		const struct vm *vm = g_ptr_array_index(vms->all, i);

		if (strcmp(vm->name, name))
			continue;
		g_ptr_array_remove_index_fast(vms->all, i);
		return true;
	}
	return false;
}

/* @return the build that the entry names; "unknown" if there is none, or one
 * that would not be a single word in the log. */
static const char *build_of_entry(json_t *root)
{
	const char *build = json_string_value(json_object_get(root, "build"));

	if (!build || !*build || build[strspn(build, BUILD_CHARACTERS)])
		return "unknown";
	return build;
}

/* Logs an entry once: it is read again whenever all keys are. */
static void record_unreadable(struct vms *vms, const char *name, json_t *root,
			      const char *text, size_t bytes)
{
	char *copy = g_strndup(text, bytes);

	counter_add(COUNTER_UNREADABLE_ENTRIES, 1);
	if (!g_strcmp0(g_hash_table_lookup(vms->unreadable, name), copy)) {
		g_free(copy);
		return;
	}
	log_warn("vms", "invalid entry of a VM is ignored vm=%s build=%s", name,
		 build_of_entry(root));
	g_hash_table_replace(vms->unreadable, g_strdup(name), copy);
}

void vms_put(struct vms *vms, const char *name, const char *text, size_t bytes)
{
	json_t *root = json_loadb(text, bytes, 0, NULL);
	const char *address = NULL;
	const char *domain = NULL;
	const char *relay = "";
	const char *status = "";
	const char *handoff = "";
	json_int_t weight = 0;
	json_int_t link_mbps = 0;
	int cut_off = 0;
	struct vm *vm;

	if (json_unpack(root, "{s:s,s:s,s?s,s?s,s?b,s?s,s?I,s?I}", "address",
			&address, "failure_domain", &domain, "relay_address",
			&relay, "status_address", &status, "cut_off", &cut_off,
			"handoff_address", &handoff, "weight", &weight,
			"link_mbps", &link_mbps) ||
	    !schema_is_address(address)) {
		record_unreadable(vms, name, root, text, bytes);
		goto out;
	}
	g_hash_table_remove(vms->unreadable, name);
	log_put(vms, name, domain, address, cut_off);
	remove_by_name(vms, name);
	vm = g_new0(struct vm, 1);
	vm->name = strdup(name);
	vm->address = strdup(address);
	vm->status_address = strdup(schema_is_address(status) ? status : "");
	vm->failure_domain = g_intern_string(domain);
	vm->region = topology_region(vms->topology, domain);
	vm->hash = XXH3_64bits(name, strlen(name));
	vm->has_relay = schema_is_address(relay) &&
			tcp_parse_address(relay, &vm->relay);
	vm->cut_off = cut_off;
	vm->has_handoff = schema_is_address(handoff) &&
			  tcp_parse_address(handoff, &vm->handoff);
	vm->weight = (uint32_t)CLAMP(weight, 0, VM_WEIGHT_MAX);
	vm->link_mbps = (uint32_t)CLAMP(link_mbps, 0, VM_WEIGHT_MAX);
	g_ptr_array_add(vms->all, vm);
	vms->generation++;
out:
	json_decref(root);
}

void vms_remove(struct vms *vms, const char *name)
{
	g_hash_table_remove(vms->unreadable, name);
	if (!remove_by_name(vms, name))
		return;
	vms->generation++;
	log_info("vms", "VM left vm=%s", name);
}

uint64_t vms_generation(const struct vms *vms)
{
	return vms->generation;
}

const GPtrArray *vms_all(const struct vms *vms)
{
	return vms->all;
}

const struct vm *vms_select_relay(const struct vms *vms,
				  const char *failure_domain, int64_t now_ms)
{
	const struct vm *relay_vm = NULL;
	guint i;

	for (i = 0; i < vms->all->len; i++) {
		const struct vm *vm = g_ptr_array_index(vms->all, i);

		if (vm->failure_domain == failure_domain && vm->has_relay &&
		    vm->relay_unfit_until_ms <= now_ms &&
		    (!relay_vm || vm->hash < relay_vm->hash))
			relay_vm = vm;
	}
	return relay_vm;
}

void vms_mark_relay_unfit(struct vms *vms, const char *name, int64_t until_ms)
{
	guint i;

	for (i = 0; i < vms->all->len; i++) {
		struct vm *vm = g_ptr_array_index(vms->all, i);

		if (!strcmp(vm->name, name))
			vm->relay_unfit_until_ms = until_ms;
	}
}

uint32_t vms_count_cut_off(const struct vms *vms)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < vms->all->len; i++)
		count += ((struct vm *)g_ptr_array_index(vms->all, i))->cut_off;
	return count;
}

uint32_t vms_count_in_region(const struct vms *vms, const char *region)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < vms->all->len; i++)
		count += ((struct vm *)g_ptr_array_index(vms->all, i))->region ==
			 region;
	return count;
}
