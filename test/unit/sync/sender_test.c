#include "sync/sender.h"

#include <stdlib.h>

#include "decide/cold_share.h"
#include "unit/fake_assignment.h"
#include "unit/test.h"

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct clock now;
static struct topology_domain domains[] = { { "fyn-a", "fyn" } };
static struct proxy_settings settings = { .name = (char *)"e1" };
static struct proxy proxy;

static void put_vm(const char *name)
{
	const struct vm_entry entry = {
		.address = "127.0.0.1:1",
		.failure_domain = "fyn-a",
		.relay_address = "",
		.status_address = "",
	};
	char *text = vms_encode_entry(&entry);

	vms_put(proxy.vms, name, text, strlen(text));
	free(text);
}

static struct server *setup(void)
{
	struct server_entry entry = {
		.id = (char *)"s1",
		.service = (char *)"reg",
		.failure_domain = (char *)"fyn-a",
		.version = (char *)"v1",
		.slots = 9,
	};

	now = clock_from_manual(&manual);
	memset(&proxy, 0, sizeof(proxy));
	proxy.clock = &now;
	proxy.settings = &settings;
	proxy.topology.domains = domains;
	proxy.topology.domain_count = G_N_ELEMENTS(domains);
	proxy.servers = servers_new(&now, &proxy.topology);
	proxy.vms = vms_new(&proxy.topology);
	put_vm("e1");
	put_vm("e2");
	servers_put(proxy.servers, &entry);
	return servers_find(proxy.servers, "s1");
}

static void teardown(void)
{
	vms_free(proxy.vms);
	servers_free(proxy.servers);
}

/* What a VM may send follows the assignment at once, also if the list of VMs
 * has not changed since. */
static void rank_follows_the_assignment(void)
{
	struct server *server = setup();
	const struct sender_rank *rank;

	fake_assignment_on = true;
	fake_assignment_own = false;
	rank = sender_rank_at(&proxy, server);
	g_assert_cmpint(rank->kind, ==, SENDER_NONE);
	g_assert_cmpuint(cold_share_min_interval_ms(rank, 20), ==, 0);
	/* reports of limits are left to the VM that gets responses */
	g_assert_cmpuint(sender_rank_ahead(rank), ==, UINT32_MAX);
	fake_assignment_own = true;
	rank = sender_rank_at(&proxy, server);
	g_assert_cmpint(rank->kind, ==, SENDER_ASSIGNED);
	g_assert_cmpuint(cold_share_min_interval_ms(rank, 20), >, 0);
	g_assert_cmpuint(sender_rank_ahead(rank), ==, 0);
	teardown();
}

/* A configuration without large bodies ends the assignment. */
static void ranks_apply_again_without_assignment(void)
{
	struct server *server = setup();
	const struct sender_rank *rank;

	fake_assignment_on = false;
	rank = sender_rank_at(&proxy, server);
	g_assert_cmpint(rank->kind, ==, SENDER_RANKED);
	g_assert_cmpuint(rank->local_count, ==, 2);
	fake_assignment_on = true;
	sender_rank_at(&proxy, server);
	fake_assignment_on = false;
	rank = sender_rank_at(&proxy, server);
	g_assert_cmpint(rank->kind, ==, SENDER_RANKED);
	g_assert_cmpuint(rank->local_count, ==, 2);
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("sender", rank_follows_the_assignment);
	ADD_TEST("sender", ranks_apply_again_without_assignment);
	return g_test_run();
}
