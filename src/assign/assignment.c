#include "assign/assignment.h"

#include <string.h>
#include <xxhash.h>

#include "base/log.h"
#include "decide/assign.h"

/* Limits on the VMs and servers of a failure domain that are assigned: several
 * times the sizes to design for. */
#define VMS_MAX 512
#define SERVERS_MAX 1024
/* Part of a cold server's slots that counts: it takes a few requests per
 * second, and more with each second. */
#define COLD_SLOTS_PART 0.25
/* Least link of a VM for servers with large bodies, as a part of the fastest of
 * its failure domain. */
#define LINK_SHARE_MIN 0.5

/* A server of a service in a region. */
struct member {
	const struct vm *vm; /* NULL: its failure domain has none that can be
			      * assigned, and every VM sends to it */
	const char *failure_domain;
};

/* The assignment of one service in one region. */
struct group {
	uint64_t config_version;
	uint64_t vms_generation;
	uint64_t servers_generation;
	int64_t valid_until_ms; /* a cold server is warm from then */
	GArray *members;	/* struct member */
	GArray *targets;	/* struct assign_target, beside the members */
	GPtrArray *own_servers; /* struct server */
};

struct assignment {
	struct proxy *proxy;
	GHashTable *groups;	  /* "service\nregion" to struct group */
	GHashTable *avoided;	  /* name of a VM to the time until, int64_t */
	uint64_t self_generation; /* of the list of VMs that `is_listed` is of */
	bool is_listed;		  /* this VM is in the list */
};

static void group_free(gpointer data)
{
	struct group *group = data;

	g_array_unref(group->members);
	g_array_unref(group->targets);
	g_ptr_array_unref(group->own_servers);
	g_free(group);
}

struct assignment *assignment_new(struct proxy *proxy)
{
	struct assignment *assignment = g_new0(struct assignment, 1);

	assignment->proxy = proxy;
	assignment->groups = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, group_free);
	assignment->avoided =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return assignment;
}

void assignment_free(struct assignment *assignment)
{
	if (!assignment)
		return;
	g_hash_table_destroy(assignment->groups);
	g_hash_table_destroy(assignment->avoided);
	g_free(assignment);
}

static bool is_self(const struct assignment *assignment, const struct vm *vm)
{
	return !strcmp(vm->name, assignment->proxy->settings->name);
}

static bool is_listed(struct assignment *assignment)
{
	const struct vms *vms = assignment->proxy->vms;
	const GPtrArray *all = vms_all(vms);
	guint i;

	if (assignment->self_generation == vms_generation(vms))
		return assignment->is_listed;
	assignment->self_generation = vms_generation(vms);
	assignment->is_listed = false;
	for (i = 0; i < all->len && !assignment->is_listed; i++)
		assignment->is_listed =
			is_self(assignment, g_ptr_array_index(all, i));
	return assignment->is_listed;
}

bool assignment_is_on(const struct assignment *assignment)
{
	const struct proxy *proxy = assignment ? assignment->proxy : NULL;
	const char *address;

	if (!proxy || !proxy->config || !proxy->config->has_large_bodies)
		return false;
	address = proxy->settings->handoff_address;
	/* the cast allows the cached part to be updated */
	return address && *address && is_listed((struct assignment *)assignment);
}

static bool can_be_assigned(const struct vm *vm)
{
	return vm->has_handoff && vm->weight && !vm->cut_off;
}

/* @return whether large bodies go to or come from the servers of a service. */
static bool has_large_bodies(const struct config *config, const char *service)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < config->route_count; i++) {
		const struct route *route = &config->routes[i];

		if (route->kind != ROUTE_UPLOAD && route->kind != ROUTE_DOWNLOAD)
			continue;
		for (k = 0; k < route->part_count; k++)
			if (!strcmp(route->parts[k].service->name, service))
				return true;
	}
	return false;
}

/* Leaves out VMs with far slower links than others. */
static uint32_t keep_fast_links(struct assign_vm *vms, uint32_t count)
{
	uint32_t max = 0;
	uint32_t kept = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		max = MAX(max, vms[i].weight);
	for (i = 0; i < count; i++)
		if (vms[i].weight >= max * LINK_SHARE_MIN)
			vms[kept++] = vms[i];
	return kept;
}

/* @param by_link whether the VMs with the fastest links are used, weighted by
 * these. A body of 90 KB takes 72 ms on a link of 10 Mbit/s. A VM with such a
 * link that was assigned to servers of uploads had no answer of the store for
 * seconds, and used an old configuration. */
static uint32_t collect_vms(const struct assignment *assignment,
			    const char *failure_domain, bool by_link,
			    struct assign_vm *out)
{
	const GPtrArray *all = vms_all(assignment->proxy->vms);
	uint32_t count = 0;
	guint i;

	for (i = 0; i < all->len && count < VMS_MAX; i++) {
		const struct vm *vm = g_ptr_array_index(all, i);

		if (vm->failure_domain != failure_domain || !can_be_assigned(vm))
			continue;
		out[count].hash = vm->hash;
		out[count].weight =
			by_link && vm->link_mbps ? vm->link_mbps : vm->weight;
		out[count++].index = i;
	}
	return by_link ? keep_fast_links(out, count) : count;
}

static uint32_t collect_servers(const GPtrArray *list, const char *failure_domain,
				struct assign_server *out)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < list->len && count < SERVERS_MAX; i++) {
		const struct server *server = g_ptr_array_index(list, i);

		if (server->failure_domain != failure_domain)
			continue;
		out[count].hash = server->hash;
		out[count++].index = i;
	}
	return count;
}

/* Only what every VM reads from the store: what a server says in its responses
 * is known to the VM that sends to it, and would make the results differ. */
static double usable_slots(const struct proxy *proxy,
			   const struct server *server, int64_t now_ms)
{
	if (server->draining ||
	    g_hash_table_contains(proxy->evacuated, server->failure_domain))
		return 0;
	return server->load.slots *
	       (server->cold_until_ms > now_ms ? COLD_SLOTS_PART : 1);
}

static void add_member(struct group *group, const struct vm *vm,
		       const struct server *server, double slots)
{
	const struct member member = { .vm = vm,
				       .failure_domain = server->failure_domain };
	const struct assign_target target = { .hash = server->hash,
					      .weight = slots };

	g_array_append_val(group->members, member);
	g_array_append_val(group->targets, target);
}

static void assign_domain(struct assignment *assignment, struct group *group,
			  const char *service, const char *failure_domain,
			  int64_t now_ms)
{
	/* static because all run on the event loop's only thread */
	static struct assign_vm vms[VMS_MAX];
	static struct assign_server servers[SERVERS_MAX];
	struct proxy *proxy = assignment->proxy;
	const GPtrArray *list = servers_for_service(proxy->servers, service);
	const uint64_t parts[2] = {
		XXH3_64bits(service, strlen(service)),
		XXH3_64bits(failure_domain, strlen(failure_domain)),
	};
	uint32_t vm_count =
		collect_vms(assignment, failure_domain,
			    has_large_bodies(proxy->config, service), vms);
	uint32_t count = collect_servers(list, failure_domain, servers);
	uint32_t i;

	assign_servers(XXH3_64bits(parts, sizeof(parts)), vms, vm_count,
		       servers, count);
	for (i = 0; i < count; i++) {
		struct server *server = g_ptr_array_index(list, servers[i].index);
		const struct vm *vm =
			servers[i].vm == ASSIGN_NONE
				? NULL
				: g_ptr_array_index(vms_all(proxy->vms),
						    servers[i].vm);

		add_member(group, vm, server,
			   usable_slots(proxy, server, now_ms));
		if (vm && is_self(assignment, vm))
			g_ptr_array_add(group->own_servers, server);
		if (server->cold_until_ms > now_ms)
			group->valid_until_ms = MIN(group->valid_until_ms,
						    server->cold_until_ms);
	}
}

static void log_group(const struct assignment *assignment,
		      const struct group *group, const char *service,
		      const char *region)
{
	if (region == assignment->proxy->region)
		log_info("assign",
			 "servers assigned service=%s region=%s servers=%u "
			 "own_servers=%u",
			 service, region, group->members->len,
			 group->own_servers->len);
}

static void compute_group(struct assignment *assignment, struct group *group,
			  const char *service, const char *region)
{
	const struct proxy *proxy = assignment->proxy;
	const struct topology *topology = &proxy->topology;
	const uint32_t own_before = group->own_servers->len;
	const uint32_t servers_before = group->members->len;
	int64_t now_ms = proxy_now_ms(proxy);
	uint32_t i;

	g_array_set_size(group->members, 0);
	g_array_set_size(group->targets, 0);
	g_ptr_array_set_size(group->own_servers, 0);
	group->config_version = proxy->config->version;
	group->vms_generation = vms_generation(proxy->vms);
	group->servers_generation = servers_generation(proxy->servers);
	group->valid_until_ms = INT64_MAX;
	for (i = 0; i < topology->domain_count; i++)
		if (!strcmp(topology->domains[i].region, region))
			assign_domain(assignment, group, service,
				      g_intern_string(topology->domains[i].name),
				      now_ms);
	if (group->own_servers->len != own_before ||
	    group->members->len != servers_before)
		log_group(assignment, group, service, region);
}

static struct group *find_group(struct assignment *assignment,
				const char *service, const char *region)
{
	const struct proxy *proxy = assignment->proxy;
	char key[512];
	struct group *group;

	g_snprintf(key, sizeof(key), "%s\n%s", service, region);
	group = g_hash_table_lookup(assignment->groups, key);
	if (!group) {
		group = g_new0(struct group, 1);
		group->members = g_array_new(false, true, sizeof(struct member));
		group->targets =
			g_array_new(false, true, sizeof(struct assign_target));
		group->own_servers = g_ptr_array_new();
		g_hash_table_insert(assignment->groups, g_strdup(key), group);
	}
	if (group->config_version != proxy->config->version ||
	    group->vms_generation != vms_generation(proxy->vms) ||
	    group->servers_generation != servers_generation(proxy->servers) ||
	    proxy_now_ms(proxy) >= group->valid_until_ms)
		compute_group(assignment, group, service, region);
	return group;
}

static bool is_avoided(struct assignment *assignment, const struct vm *vm,
		       int64_t now_ms)
{
	const int64_t *until_ms;

	if (!vm || !g_hash_table_size(assignment->avoided))
		return false;
	until_ms = g_hash_table_lookup(assignment->avoided, vm->name);
	if (!until_ms)
		return false;
	if (*until_ms > now_ms)
		return true;
	g_hash_table_remove(assignment->avoided, vm->name);
	return false;
}

/* @param failure_domain NULL: any. */
static uint32_t find_member(struct assignment *assignment, struct group *group,
			    uint64_t object_hash, const char *failure_domain)
{
	int64_t now_ms = proxy_now_ms(assignment->proxy);
	guint i;

	for (i = 0; i < group->members->len; i++) {
		const struct member *member =
			&g_array_index(group->members, struct member, i);

		g_array_index(group->targets, struct assign_target, i).excluded =
			(failure_domain &&
			 member->failure_domain != failure_domain) ||
			is_avoided(assignment, member->vm, now_ms);
	}
	return assign_object(object_hash,
			     (const struct assign_target *)group->targets->data,
			     group->targets->len);
}

const struct vm *assignment_find_vm(struct assignment *assignment,
				    const struct assignment_query *query)
{
	struct group *group;
	uint32_t index = ASSIGN_NONE;

	if (!assignment_is_on(assignment) || !query->region)
		return NULL;
	group = find_group(assignment, query->service, query->region);
	if (query->failure_domain)
		index = find_member(assignment, group, query->object_hash,
				    query->failure_domain);
	if (index == ASSIGN_NONE)
		index = find_member(assignment, group, query->object_hash, NULL);
	if (index == ASSIGN_NONE)
		return NULL;
	return g_array_index(group->members, struct member, index).vm;
}

const GPtrArray *assignment_own_servers(struct assignment *assignment,
					const char *service)
{
	const struct proxy *proxy;

	if (!assignment_is_on(assignment))
		return NULL;
	proxy = assignment->proxy;
	if (!proxy->region)
		return NULL;
	return find_group(assignment, service, proxy->region)->own_servers;
}

bool assignment_is_own_server(struct assignment *assignment,
			      const struct server *server)
{
	const GPtrArray *own =
		assignment_own_servers(assignment, server->service);

	return own && g_ptr_array_find((GPtrArray *)own, server, NULL);
}

void assignment_avoid_vm(struct assignment *assignment, const char *vm_name,
			 uint32_t ms)
{
	int64_t *until_ms;

	if (!assignment)
		return;
	until_ms = g_new(int64_t, 1);
	*until_ms = proxy_now_ms(assignment->proxy) + ms;
	g_hash_table_replace(assignment->avoided, g_strdup(vm_name), until_ms);
	log_info("assign", "VM is avoided vm=%s for_ms=%u", vm_name, ms);
}
