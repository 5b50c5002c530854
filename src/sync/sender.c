#include "sync/sender.h"

#include <string.h>

#include "assign/assignment.h"

/* Limit on the entry VMs that are ranked: twice the size to design for. */
#define VMS_MAX 1024

/* The rank is computed each time: what servers are assigned to this VM changes
 * with the list of servers as well. */
static const struct sender_rank *assigned_rank(const struct proxy *proxy,
					       struct server *server)
{
	const bool is_own = assignment_is_own_server(proxy->assignment, server);

	memset(&server->rank, 0, sizeof(server->rank));
	server->rank.kind = is_own ? SENDER_ASSIGNED : SENDER_NONE;
	server->rank_generation = 0;
	return &server->rank;
}

const struct sender_rank *sender_rank_at(const struct proxy *proxy,
					 struct server *server)
{
	/* static because all selections run on the event loop's only thread */
	static struct sender_vm senders[VMS_MAX];
	const GPtrArray *all = vms_all(proxy->vms);
	const uint64_t generation = vms_generation(proxy->vms);
	uint32_t self_index = UINT32_MAX;
	uint32_t count = 0;
	guint i;

	if (assignment_is_on(proxy->assignment))
		return assigned_rank(proxy, server);
	if (server->rank_generation == generation)
		return &server->rank;
	for (i = 0; i < all->len && count < VMS_MAX; i++) {
		const struct vm *vm = g_ptr_array_index(all, i);

		if (vm->cut_off)
			continue;
		if (!strcmp(vm->name, proxy->settings->name))
			self_index = count;
		senders[count].hash = vm->hash;
		senders[count++].local = vm->region == server->region;
	}
	if (self_index == UINT32_MAX)
		return NULL;
	server->rank =
		sender_rank_compute(senders, count, self_index, server->hash);
	server->rank_generation = generation;
	return &server->rank;
}
