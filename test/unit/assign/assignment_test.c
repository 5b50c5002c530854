#include "assign/assignment.h"

#include "unit/test.h"

/* Two failure domains of one region, each with three VMs and eight servers. */
#define SERVERS_PER_DOMAIN 8
#define VMS_PER_DOMAIN 3
#define OBJECTS 200

static struct clock_manual manual = { 1000 * NS_PER_MS, 1000 };
static struct clock now;
static struct topology_domain domains[] = { { "fyn-a", "fyn" },
					    { "fyn-b", "fyn" } };
static struct proxy_settings settings = {
	.name = "fyn-a-vm0",
	.handoff_address = "127.0.0.1:5",
};
static struct config config = { .has_large_bodies = true };
static struct proxy proxy;
static struct assignment *assignment;

static void put_vm(const char *name, const char *domain, const char *extra)
{
	char *text = g_strdup_printf("{\"address\":\"127.0.0.1:1\","
				     "\"failure_domain\":\"%s\"%s}",
				     domain, extra);

	vms_put(proxy.vms, name, text, strlen(text));
	g_free(text);
}

#define CAPABLE ",\"handoff_address\":\"127.0.0.1:5\",\"weight\":500"

static void put_server(const char *domain, uint32_t number, bool draining)
{
	char *id = g_strdup_printf("%s-s%u", domain, number);
	struct server_entry entry = {
		.id = id,
		.service = (char *)"reg",
		.failure_domain = (char *)domain,
		.version = (char *)"v1",
		.slots = 3,
		.draining = draining,
	};

	servers_put(proxy.servers, &entry);
	g_free(id);
}

static void setup(void)
{
	uint32_t domain;
	uint32_t i;

	now = clock_from_manual(&manual);
	proxy.clock = &now;
	proxy.settings = &settings;
	proxy.config = &config;
	proxy.topology.domains = domains;
	proxy.topology.domain_count = G_N_ELEMENTS(domains);
	proxy.region = g_intern_string("fyn");
	proxy.failure_domain = g_intern_string("fyn-a");
	proxy.evacuated = g_hash_table_new(g_str_hash, g_str_equal);
	proxy.servers = servers_new(&now, &proxy.topology);
	proxy.vms = vms_new(&proxy.topology);
	for (domain = 0; domain < G_N_ELEMENTS(domains); domain++) {
		for (i = 0; i < SERVERS_PER_DOMAIN; i++)
			put_server(domains[domain].name, i, false);
		for (i = 0; i < VMS_PER_DOMAIN; i++) {
			char *name = g_strdup_printf("%s-vm%u",
						     domains[domain].name, i);

			put_vm(name, domains[domain].name, CAPABLE);
			g_free(name);
		}
	}
	assignment = assignment_new(&proxy);
}

static void teardown(void)
{
	assignment_free(assignment);
	vms_free(proxy.vms);
	servers_free(proxy.servers);
	g_hash_table_destroy(proxy.evacuated);
	memset(&proxy, 0, sizeof(proxy));
	config.has_large_bodies = true;
}

static const struct vm *find(const char *domain, uint64_t object)
{
	const struct assignment_query query = {
		.service = "reg",
		.region = proxy.region,
		.failure_domain = domain ? g_intern_string(domain) : NULL,
		.object_hash = object * 0x9E3779B97F4A7C15u,
	};

	return assignment_find_vm(assignment, &query);
}

static uint32_t count_in(const char *domain, const char *searched)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < OBJECTS; i++) {
		const struct vm *vm = find(searched, i);

		count += vm && !strcmp(vm->failure_domain, domain);
	}
	return count;
}

/* Deployments without large bodies, and VMs that take no requests of others,
 * are served as before. */
static void is_on_for_large_bodies_only(void)
{
	setup();
	g_assert_true(assignment_is_on(assignment));
	g_assert_nonnull(find(NULL, 1));
	config.has_large_bodies = false;
	g_assert_false(assignment_is_on(assignment));
	g_assert_null(find(NULL, 1));
	g_assert_null(assignment_own_servers(assignment, "reg"));
	config.has_large_bodies = true;
	settings.handoff_address = "";
	g_assert_false(assignment_is_on(assignment));
	settings.handoff_address = "127.0.0.1:5";
	vms_remove(proxy.vms, settings.name);
	g_assert_false(assignment_is_on(assignment));
	g_assert_false(assignment_is_on(NULL));
	g_assert_null(assignment_own_servers(NULL, "reg"));
	teardown();
}

/* Each server has exactly one VM, whichever VM computes it. */
static void every_server_has_one_vm(void)
{
	static const char *const names[] = { "fyn-a-vm0", "fyn-a-vm1",
					     "fyn-a-vm2", "fyn-b-vm0",
					     "fyn-b-vm1", "fyn-b-vm2" };
	uint32_t total = 0;
	uint32_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		const GPtrArray *own;
		guint k;

		settings.name = (char *)names[i];
		setup();
		own = assignment_own_servers(assignment, "reg");
		total += own->len;
		for (k = 0; k < own->len; k++) {
			const struct server *server = g_ptr_array_index(own, k);

			g_assert_true(
				assignment_is_own_server(assignment, server));
			g_assert_true(g_str_has_prefix(names[i],
						       server->failure_domain));
		}
		teardown();
	}
	settings.name = (char *)names[0];
	g_assert_cmpuint(total, ==, 2 * SERVERS_PER_DOMAIN);
}

/* A cut-off VM, one of the previous build and one without a weight could send
 * nothing, or would not take the request. */
static void vms_that_cannot_send_are_not_assigned(void)
{
	static const char *const names[] = { "fyn-b-vm0", "fyn-b-vm1",
					     "fyn-b-vm2" };
	static const char *const entries[] = {
		CAPABLE ",\"cut_off\":true",
		"",
		",\"handoff_address\":\"127.0.0.1:5\"",
	};
	uint32_t i;

	setup();
	g_assert_cmpuint(count_in("fyn-b", "fyn-b"), ==, OBJECTS);
	for (i = 0; i < G_N_ELEMENTS(names); i++)
		put_vm(names[i], "fyn-b", entries[i]);
	/* its servers remain for the senders themselves */
	g_assert_cmpuint(count_in("fyn-b", NULL), ==, 0);
	g_assert_null(find("fyn-b", 1));
	g_assert_cmpuint(count_in("fyn-a", NULL), >, OBJECTS / 3);
	g_assert_cmpuint(count_in("fyn-a", NULL), <, OBJECTS * 2 / 3);
	teardown();
}

/* Objects follow the servers that can be used. */
static void evacuated_and_draining_servers_get_no_objects(void)
{
	uint32_t i;

	setup();
	g_assert_cmpuint(count_in("fyn-b", NULL), >, OBJECTS / 3);
	g_hash_table_add(proxy.evacuated, (char *)"fyn-b");
	servers_mark_changed(proxy.servers);
	g_assert_cmpuint(count_in("fyn-b", NULL), ==, 0);
	g_assert_cmpuint(count_in("fyn-a", "fyn-b"), ==, OBJECTS);
	g_hash_table_remove(proxy.evacuated, "fyn-b");
	servers_mark_changed(proxy.servers);
	for (i = 0; i < SERVERS_PER_DOMAIN; i++)
		put_server("fyn-a", i, true);
	g_assert_cmpuint(count_in("fyn-b", NULL), ==, OBJECTS);
	teardown();
}

/* Servers that have just started get a part of the objects until they are
 * warm, without any change of the lists. */
static void cold_servers_get_a_part(void)
{
	uint32_t warm;
	uint32_t cold;

	setup();
	warm = count_in("fyn-b", NULL);
	servers_mark_cold(proxy.servers, "fyn-b", 5000);
	cold = count_in("fyn-b", NULL);
	g_assert_cmpuint(cold, >, 0);
	g_assert_cmpuint(cold, <, warm / 2);
	clock_manual_advance_ms(&manual, 5000);
	g_assert_cmpuint(count_in("fyn-b", NULL), ==, warm);
	teardown();
}

/* A VM that does not take requests is left out for a while, and its servers
 * stay assigned to it. */
static void avoided_vm_is_left_out(void)
{
	const struct vm *first;
	char *name;
	uint32_t own;

	setup();
	first = find(NULL, 1);
	name = g_strdup(first->name);
	own = assignment_own_servers(assignment, "reg")->len;
	assignment_avoid_vm(assignment, name, 2000);
	g_assert_cmpstr(find(NULL, 1)->name, !=, name);
	g_assert_cmpuint(assignment_own_servers(assignment, "reg")->len, ==, own);
	clock_manual_advance_ms(&manual, 2000);
	g_assert_cmpstr(find(NULL, 1)->name, ==, name);
	g_free(name);
	teardown();
}

/* Servers of the objects are told apart by their failure domains. */
#define SINGLE_DOMAINS 6
static struct topology_domain single_domains[SINGLE_DOMAINS] = {
	{ "c0", "fyn" }, { "c1", "fyn" }, { "c2", "fyn" },
	{ "c3", "fyn" }, { "c4", "fyn" }, { "c5", "fyn" },
};

/* Six failure domains, each with one server and two VMs. */
static void setup_single_servers(void)
{
	uint32_t i;

	setup();
	assignment_free(assignment);
	vms_free(proxy.vms);
	servers_free(proxy.servers);
	proxy.topology.domains = single_domains;
	proxy.topology.domain_count = SINGLE_DOMAINS;
	proxy.failure_domain = g_intern_string("c0");
	proxy.servers = servers_new(&now, &proxy.topology);
	proxy.vms = vms_new(&proxy.topology);
	settings.name = (char *)"self";
	put_vm("self", "c0", ""); /* listed, without a weight */
	for (i = 0; i < SINGLE_DOMAINS; i++) {
		char *first = g_strdup_printf("c%u-vm0", i);
		char *second = g_strdup_printf("c%u-vm1", i);

		put_server(single_domains[i].name, 0, false);
		put_vm(first, single_domains[i].name, CAPABLE);
		put_vm(second, single_domains[i].name, CAPABLE);
		g_free(first);
		g_free(second);
	}
	assignment = assignment_new(&proxy);
}

static void teardown_single_servers(void)
{
	teardown();
	settings.name = (char *)"fyn-a-vm0";
}

static void record_domains(const char **out)
{
	uint32_t i;

	for (i = 0; i < OBJECTS; i++) {
		const struct vm *vm = find(NULL, i);

		out[i] = vm ? vm->failure_domain : NULL;
	}
}

/* While objects were mapped to VMs, a VM that left or came moved objects
 * between servers, which did not have them cached. */
static void objects_keep_their_server_when_vms_change(void)
{
	const char *before[OBJECTS];
	const char *after[OBJECTS];
	uint32_t moved = 0;
	uint32_t i;

	setup_single_servers();
	record_domains(before);
	for (i = 0; i < OBJECTS; i++) {
		char *name = g_strdup(find(NULL, i)->name);
		char *domain = g_strndup(name, 2);

		vms_remove(proxy.vms, name);
		g_assert_cmpstr(find(NULL, i)->name, !=, name);
		record_domains(after);
		g_assert_cmpmem(before, sizeof(before), after, sizeof(after));
		/* and when it is back, or another one is started */
		put_vm(i % 2 ? name : "new", domain, CAPABLE);
		record_domains(after);
		g_assert_cmpmem(before, sizeof(before), after, sizeof(after));
		if (!(i % 2)) {
			vms_remove(proxy.vms, "new");
			put_vm(name, domain, CAPABLE);
		}
		g_free(domain);
		g_free(name);
	}
	/* without a VM, the sender itself sends to the server */
	vms_remove(proxy.vms, "c3-vm0");
	vms_remove(proxy.vms, "c3-vm1");
	record_domains(after);
	for (i = 0; i < OBJECTS; i++)
		g_assert_cmpstr(after[i], ==,
				strcmp(before[i], "c3") ? before[i] : NULL);
	/* only the objects of a server that is gone move */
	put_vm("c3-vm0", "c3", CAPABLE);
	servers_remove(proxy.servers, "c2-s0");
	record_domains(after);
	for (i = 0; i < OBJECTS; i++) {
		bool is_lost = !strcmp(before[i], "c2");

		moved += is_lost;
		g_assert_cmpint(!strcmp(before[i], after[i]), ==, !is_lost);
	}
	g_assert_cmpuint(moved, >, OBJECTS / 12);
	teardown_single_servers();
}

/* Uploads and downloads fill a slow link, and calls to the store behind them
 * are late. */
static void slow_links_get_no_large_bodies(void)
{
	struct service service = { .name = (char *)"reg" };
	struct route_part part = { &service, 1 };
	struct route route = { .kind = ROUTE_UPLOAD,
			       .parts = &part,
			       .part_count = 1 };
	uint32_t i;

	setup();
	config.routes = &route;
	config.route_count = 1;
	put_vm("fyn-b-vm0", "fyn-b", CAPABLE ",\"link_mbps\":200");
	put_vm("fyn-b-vm1", "fyn-b", CAPABLE ",\"link_mbps\":10");
	put_vm("fyn-b-vm2", "fyn-b", CAPABLE ",\"link_mbps\":10");
	for (i = 0; i < OBJECTS; i++)
		g_assert_cmpstr(find("fyn-b", i)->name, ==, "fyn-b-vm0");
	vms_remove(proxy.vms, "fyn-b-vm0");
	g_assert_cmpuint(count_in("fyn-b", "fyn-b"), ==, OBJECTS);
	config.route_count = 0;
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_set_nonfatal_assertions(); /* each test is counted by itself */
	ADD_TEST("assignment", is_on_for_large_bodies_only);
	ADD_TEST("assignment", every_server_has_one_vm);
	ADD_TEST("assignment", vms_that_cannot_send_are_not_assigned);
	ADD_TEST("assignment", evacuated_and_draining_servers_get_no_objects);
	ADD_TEST("assignment", cold_servers_get_a_part);
	ADD_TEST("assignment", objects_keep_their_server_when_vms_change);
	ADD_TEST("assignment", avoided_vm_is_left_out);
	ADD_TEST("assignment", slow_links_get_no_large_bodies);
	return g_test_run();
}
