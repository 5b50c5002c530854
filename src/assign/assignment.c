#include "assign/assignment.h"

#include <string.h>
#include <xxhash.h>

struct assignment {
	struct proxy *proxy;
	GHashTable *avoided; /* name -> time until it is left out, in ms */
};

struct assignment *assignment_new(struct proxy *proxy)
{
	struct assignment *assignment = g_new0(struct assignment, 1);

	assignment->proxy = proxy;
	assignment->avoided =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return assignment;
}

void assignment_free(struct assignment *assignment)
{
	if (!assignment)
		return;
	g_hash_table_destroy(assignment->avoided);
	g_free(assignment);
}

bool assignment_is_on(const struct assignment *assignment)
{
	const struct proxy *proxy = assignment ? assignment->proxy : NULL;

	return proxy && proxy->config && proxy->config->has_large_bodies &&
	       proxy->settings->handoff_address &&
	       *proxy->settings->handoff_address;
}

static bool is_avoided(const struct assignment *assignment, const char *name)
{
	const int64_t *until_ms = g_hash_table_lookup(assignment->avoided, name);

	return until_ms && *until_ms > proxy_now_ms(assignment->proxy);
}

const struct vm *assignment_find_vm(struct assignment *assignment,
				    const struct assignment_query *query)
{
	const struct vm *best = NULL;
	uint64_t best_score = 0;
	const GPtrArray *all;
	guint i;

	if (!assignment_is_on(assignment))
		return NULL;
	all = vms_all(assignment->proxy->vms);
	for (i = 0; i < all->len; i++) {
		const struct vm *vm = g_ptr_array_index(all, i);
		uint64_t pair[2] = { vm->hash, query->object_hash };
		uint64_t score = XXH3_64bits(pair, sizeof(pair));

		if (!vm->has_handoff || !vm->weight || vm->cut_off ||
		    vm->region != query->region ||
		    is_avoided(assignment, vm->name) ||
		    (best && score <= best_score))
			continue;
		best = vm;
		best_score = score;
	}
	return best;
}

bool assignment_is_own_server(struct assignment *assignment,
			      const struct server *server)
{
	return assignment_is_on(assignment) &&
	       server->region == assignment->proxy->region;
}

void assignment_avoid_vm(struct assignment *assignment, const char *vm_name,
			 uint32_t ms)
{
	int64_t *until_ms;

	if (!assignment)
		return;
	until_ms = g_new(int64_t, 1);
	*until_ms = proxy_now_ms(assignment->proxy) + ms;
	g_hash_table_insert(assignment->avoided, g_strdup(vm_name), until_ms);
}
