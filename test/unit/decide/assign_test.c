#include "decide/assign.h"

#include <xxhash.h>

#include "unit/test.h"

/* One failure domain of a fleet with 140 VMs and 386 servers: 2 VMs with half a
 * core, 21 with 0.07 cores, 64 servers. */
#define VMS 23
#define LARGE_VMS 2
#define SERVERS 64
#define OBJECTS 20000

struct domain {
	struct assign_vm vms[VMS + 1];
	uint32_t vm_count;
	struct assign_server servers[SERVERS + 1];
	uint32_t server_count;
	uint32_t vm_of[SERVERS + 1]; /* by the index of a server */
};

static uint64_t hash_of(const char *kind, uint32_t number)
{
	char *text = g_strdup_printf("%s-%u", kind, number);
	uint64_t hash = XXH3_64bits(text, strlen(text));

	g_free(text);
	return hash;
}

static void fill(struct domain *domain, uint32_t vm_count, uint32_t server_count)
{
	uint32_t i;

	memset(domain, 0, sizeof(*domain));
	domain->vm_count = vm_count;
	domain->server_count = server_count;
	for (i = 0; i < vm_count; i++) {
		domain->vms[i].hash = hash_of("vm", i);
		domain->vms[i].weight = i < LARGE_VMS ? 500 : 70;
		domain->vms[i].index = i;
	}
	for (i = 0; i < server_count; i++) {
		domain->servers[i].hash = hash_of("server", i);
		domain->servers[i].index = i;
	}
}

static void assign(struct domain *domain, uint64_t group_hash)
{
	uint32_t i;

	assign_servers(group_hash, domain->vms, domain->vm_count,
		       domain->servers, domain->server_count);
	for (i = 0; i < domain->server_count; i++)
		domain->vm_of[domain->servers[i].index] = domain->servers[i].vm;
}

static uint32_t count_servers(const struct domain *domain, uint32_t vm)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < domain->server_count; i++)
		count += domain->vm_of[i] == vm;
	return count;
}

/* A VM with too many servers is the bottleneck of all of them. */
static void servers_follow_the_weights(void)
{
	struct domain domain;
	uint64_t group;
	uint32_t vm;

	for (group = 0; group < 50; group++) {
		uint32_t used = 0;

		fill(&domain, VMS, SERVERS);
		assign(&domain, group);
		for (vm = 0; vm < VMS; vm++) {
			uint32_t count = count_servers(&domain, vm);

			used += count > 0;
			if (vm >= LARGE_VMS)
				g_assert_cmpuint(count, <=, 6);
			else
				g_assert_cmpuint(count, <=, 40);
		}
		g_assert_cmpuint(used, <=, SERVERS / ASSIGN_SERVERS_PER_VM);
		g_assert_cmpuint(used, >=, SERVERS / ASSIGN_SERVERS_PER_VM / 2);
		g_assert_cmpuint(count_servers(&domain, ASSIGN_NONE), ==, 0);
	}
}

/* VMs read the lists in different orders; two senders for a server would each
 * fill its slots. */
static void order_of_the_lists_is_irrelevant(void)
{
	struct domain a;
	struct domain b;
	uint32_t i;

	fill(&a, VMS, SERVERS);
	fill(&b, VMS, SERVERS);
	for (i = 0; i < VMS / 2; i++) {
		struct assign_vm vm = b.vms[i];

		b.vms[i] = b.vms[VMS - 1 - i];
		b.vms[VMS - 1 - i] = vm;
	}
	for (i = 0; i < SERVERS / 2; i++) {
		struct assign_server server = b.servers[i];

		b.servers[i] = b.servers[SERVERS - 1 - i];
		b.servers[SERVERS - 1 - i] = server;
	}
	assign(&a, 7);
	assign(&b, 7);
	g_assert_cmpmem(a.vm_of, sizeof(a.vm_of), b.vm_of, sizeof(b.vm_of));
}

/* @return how many of the servers that both have are assigned otherwise. */
static uint32_t count_moved(const struct domain *a, const struct domain *b)
{
	uint32_t moved = 0;
	uint32_t i;

	for (i = 0; i < MIN(a->server_count, b->server_count); i++)
		moved += a->vm_of[i] != b->vm_of[i];
	return moved;
}

/* A server that moves is sent requests by two VMs for a moment, and its queue's
 * requests are placed again. */
static void few_servers_move_on_a_change(void)
{
	uint32_t moved_by_server = 0;
	uint32_t moved_by_vm = 0;
	struct domain before;
	struct domain after;
	uint64_t group;

	for (group = 0; group < 100; group++) {
		fill(&before, VMS, SERVERS);
		assign(&before, group);
		fill(&after, VMS, SERVERS + 1);
		assign(&after, group);
		moved_by_server += count_moved(&before, &after);
		fill(&after, VMS + 1, SERVERS);
		assign(&after, group);
		moved_by_vm += count_moved(&before, &after);
	}
	g_test_message("moved of %d servers: %.2f by a server, %.2f by a VM",
		       SERVERS, moved_by_server / 100.0, moved_by_vm / 100.0);
	g_assert_cmpuint(moved_by_server, <=, 100 * SERVERS / 10);
	g_assert_cmpuint(moved_by_vm, <=, 100 * SERVERS / 10);
}

/* With builds that take no requests of others, a domain may have no VM. */
static void domain_without_vms_assigns_none(void)
{
	struct domain domain;
	uint32_t i;

	fill(&domain, 0, SERVERS);
	assign(&domain, 7);
	for (i = 0; i < SERVERS; i++)
		g_assert_cmpuint(domain.vm_of[i], ==, ASSIGN_NONE);
	g_assert_cmpuint(assign_object(1, NULL, 0), ==, ASSIGN_NONE);
}

static void objects_follow_the_slots(void)
{
	struct assign_target targets[] = {
		{ .hash = 11, .weight = 9 },
		{ .hash = 12, .weight = 27 },
		{ .hash = 13, .weight = 0 },
		{ .hash = 14, .weight = 36 },
	};
	uint32_t counts[G_N_ELEMENTS(targets)] = { 0 };
	uint32_t moved = 0;
	uint32_t i;

	for (i = 0; i < OBJECTS; i++)
		counts[assign_object(hash_of("object", i), targets,
				     G_N_ELEMENTS(targets))]++;
	g_assert_cmpfloat_with_epsilon(counts[0], OBJECTS / 8.0, OBJECTS / 50.0);
	g_assert_cmpfloat_with_epsilon(counts[1], OBJECTS * 3 / 8.0,
				       OBJECTS / 50.0);
	g_assert_cmpuint(counts[2], ==, 0);
	/* a VM that cannot be reached moves only its own objects */
	for (i = 0; i < OBJECTS; i++) {
		uint64_t object = hash_of("object", i);
		uint32_t before;

		targets[1].excluded = false;
		before = assign_object(object, targets, G_N_ELEMENTS(targets));
		targets[1].excluded = true;
		moved += before !=
			 assign_object(object, targets, G_N_ELEMENTS(targets));
	}
	g_assert_cmpuint(moved, ==, counts[1]);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* each test is counted by itself */
	ADD_TEST("assign", servers_follow_the_weights);
	ADD_TEST("assign", order_of_the_lists_is_irrelevant);
	ADD_TEST("assign", few_servers_move_on_a_change);
	ADD_TEST("assign", domain_without_vms_assigns_none);
	ADD_TEST("assign", objects_follow_the_slots);
	return g_test_run();
}
