#include "scenario/sim_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/claims.h"
#include "entry/forward.h"
#include "entry/order.h"
#include "entry/state.h"

#define REQUEST_TIMEOUT_MS 5000
#define WAIT_TIMEOUT_MS 20000
#define DEFAULT_BODY "five rolls"

struct sim *sim_new(void)
{
	struct sim *sim = g_new0(struct sim, 1);

	/* condition variables time out on the system clock, so start there */
	sim->manual_clock.now_ns = clock_now_ns(&clock_system);
	sim->manual_clock.unix_ms = clock_unix_ms(&clock_system);
	sim->started_ns = sim->manual_clock.now_ns;
	sim->clock = clock_from_manual(&sim->manual_clock);
	pthread_mutex_init(&sim->lock, NULL);
	pthread_cond_init(&sim->changed, NULL);
	sim->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    sim_value_free);
	sim->orders = g_ptr_array_new();
	sim->dead_entries = g_ptr_array_new();
	sim->late_threads = g_ptr_array_new();
	return sim;
}

static void free_entry(struct sim_entry *entry)
{
	claims_stop(entry->entry.claims);
	state_clear(&entry->entry);
	g_free(entry->entry.settings.name);
	g_free(entry->entry.settings.failure_domain);
	g_free(entry);
}

static void free_order(struct sim_order *order)
{
	if (order->thread)
		g_thread_join(order->thread);
	g_array_free(order->attempts, TRUE);
	g_free(order);
}

void sim_join_late_requests(struct sim *sim)
{
	uint32_t i;

	for (i = 0; i < sim->late_threads->len; i++)
		g_thread_join(sim->late_threads->pdata[i]);
	g_ptr_array_set_size(sim->late_threads, 0);
}

void sim_free(struct sim *sim)
{
	uint32_t i;

	for (i = 0; i < sim->server_count; i++)
		sim_set_server_mode(sim, &sim->servers[i], SERVER_MODE_RESPONDS);
	for (i = 0; i < sim->entry_count; i++)
		sim_resume_entry(sim, sim->entries[i]);
	sim_join_late_requests(sim);
	for (i = 0; i < sim->orders->len; i++)
		free_order(sim->orders->pdata[i]);
	for (i = 0; i < sim->entry_count; i++)
		free_entry(sim->entries[i]);
	for (i = 0; i < sim->dead_entries->len; i++)
		free_entry(sim->dead_entries->pdata[i]);
	g_ptr_array_free(sim->late_threads, TRUE);
	g_ptr_array_free(sim->orders, TRUE);
	g_ptr_array_free(sim->dead_entries, TRUE);
	g_hash_table_destroy(sim->values);
	g_free(sim);
}

struct sim_entry *sim_find_entry(struct sim *sim, const char *name)
{
	uint32_t i;

	for (i = 0; i < sim->entry_count; i++)
		if (!strcmp(sim->entries[i]->name, name))
			return sim->entries[i];
	g_error("no entry VM is named %s", name);
}

struct sim_server *sim_find_server(struct sim *sim, const char *name)
{
	uint32_t i;

	for (i = 0; i < sim->server_count; i++)
		if (!strcmp(sim->servers[i].name, name))
			return &sim->servers[i];
	g_error("no backend server is named %s", name);
}

struct sim_order *sim_get_order(struct sim *sim, const char *label)
{
	struct sim_order *order;
	uint32_t i;

	for (i = 0; i < sim->orders->len; i++) {
		order = sim->orders->pdata[i];
		if (!strcmp(order->label, label))
			return order;
	}
	order = g_new0(struct sim_order, 1);
	g_strlcpy(order->label, label, sizeof(order->label));
	order->attempts = g_array_new(FALSE, TRUE, sizeof(struct sim_attempt));
	g_ptr_array_add(sim->orders, order);
	return order;
}

void sim_wait_until(struct sim *sim, bool (*condition)(void *context),
		    void *context, const char *what)
{
	int64_t deadline_ms = clock_now_ms(&clock_system) + WAIT_TIMEOUT_MS;
	bool met = false;

	while (!met) {
		pthread_mutex_lock(&sim->lock);
		met = condition(context);
		pthread_mutex_unlock(&sim->lock);
		if (clock_now_ms(&clock_system) > deadline_ms)
			g_error("timed out waiting until %s", what);
		g_usleep(500);
	}
}

bool sim_wait_while_paused(struct sim_entry *entry, enum pause_point point)
{
	struct sim *sim = entry->sim;
	bool alive;

	pthread_mutex_lock(&sim->lock);
	entry->paused_threads++;
	while (!entry->dead &&
	       (entry->pause == point || entry->pause == PAUSE_ANYWHERE))
		pthread_cond_wait(&sim->changed, &sim->lock);
	entry->paused_threads--;
	alive = !entry->dead;
	pthread_mutex_unlock(&sim->lock);
	return alive;
}

static void start_entry(struct sim_entry *vm)
{
	struct entry *entry = &vm->entry;

	entry->clock = vm->sim->clock;
	entry->incarnation =
		(uint64_t)vm->sim->manual_clock.unix_ms + vm->restart_count;
	entry->settings.name = g_strdup(vm->name);
	entry->settings.failure_domain = g_strdup(vm->failure_domain);
	entry->settings.orders_max = 1000;
	entry->settings.order_answer_bytes_max = 100000;
	entry->settings.threads = 100;
	g_assert_true(state_init(entry));
	entry->store = sim_fake_store(vm);
	sim_install_fakes(vm);
	entry->claims = claims_start(entry, order_expire);
	g_assert_nonnull(entry->claims);
}

void sim_add_entry(struct sim *sim, const char *name, const char *failure_domain)
{
	struct sim_entry *entry = g_new0(struct sim_entry, 1);

	g_assert_cmpuint(sim->entry_count, <, SIM_NODES_MAX);
	entry->sim = sim;
	g_strlcpy(entry->name, name, sizeof(entry->name));
	g_strlcpy(entry->failure_domain, failure_domain,
		  sizeof(entry->failure_domain));
	start_entry(entry);
	sim->entries[sim->entry_count++] = entry;
}

void sim_add_server(struct sim *sim, const char *name,
		    const char *failure_domain, uint32_t slots)
{
	struct sim_server *server = &sim->servers[sim->server_count];

	(void)failure_domain;
	g_assert_cmpuint(sim->server_count, <, SIM_NODES_MAX);
	g_strlcpy(server->name, name, sizeof(server->name));
	snprintf(server->address, sizeof(server->address), "127.0.0.1:%u",
		 ++sim->server_count);
	server->slots = slots;
}

static char *build_document(const struct sim *sim)
{
	GString *text = g_string_new(
		"{\"version\":1,\"regions\":[{\"name\":\"fyn\","
		"\"failure_domains\":[\"fyn-a\",\"fyn-b\"]}],\"services\":["
		"{\"name\":\"" SIM_SERVICE "\",\"path_prefix\":\"/cleft\"}],"
		"\"backends\":[");
	uint32_t i;

	for (i = 0; i < sim->server_count; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"%s\",\"service\":\"" SIM_SERVICE
			"\",\"failure_domain\":\"fyn-a\",\"address\":\"%s\","
			"\"slots\":%u}",
			i ? "," : "", sim->servers[i].name,
			sim->servers[i].address, sim->servers[i].slots);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static void apply_document(struct sim *sim, struct sim_entry *entry)
{
	char *text = build_document(sim);

	g_assert_cmpint(current_apply(entry->entry.current, text,
				      (uint32_t)strlen(text), "test"),
			==, CURRENT_APPLIED);
	g_free(text);
}

void sim_publish_document(struct sim *sim)
{
	uint32_t i;

	for (i = 0; i < sim->entry_count && !sim->document_published; i++)
		apply_document(sim, sim->entries[i]);
	sim->document_published = true;
}

/* actions of scenarios */

void sim_set_plain_key(struct sim_order *order)
{
	if (!order->key[0])
		snprintf(order->key, sizeof(order->key), "plain-%s",
			 order->label);
}

void sim_issue_key(struct sim_order *order, struct sim_entry *home)
{
	struct order_key key = {
		.incarnation = home->entry.incarnation,
		.claimed = !home->entry.unclaimed,
		.issued_unix_s = home->sim->manual_clock.unix_ms / MS_PER_S,
	};
	char prefix[200];

	if (order->key[0])
		return;
	g_strlcpy(key.home, home->name, sizeof(key.home));
	order_key_prefix(&key, prefix, sizeof(prefix));
	snprintf(order->key, sizeof(order->key), "%s%s", prefix, order->label);
}

static void record_attempt(struct sim *sim, struct sim_order *order,
			   enum verdict verdict, uint32_t status)
{
	struct sim_attempt attempt = { verdict, status };

	pthread_mutex_lock(&sim->lock);
	g_array_append_val(order->attempts, attempt);
	pthread_cond_broadcast(&sim->changed);
	pthread_mutex_unlock(&sim->lock);
}

void sim_send_order(struct sim *sim, struct sim_order *order,
		    struct sim_entry *vm, const char *body)
{
	struct exchange exchange;

	sim_publish_document(sim);
	if (vm->dead) {
		record_attempt(sim, order, VERDICT_NOT_RUN, 0);
		return;
	}
	sim_init_exchange(vm, &exchange, order->key, body ? body : DEFAULT_BODY,
			  sim->manual_clock.now_ns +
				  REQUEST_TIMEOUT_MS * NS_PER_MS);
	order_run(&vm->entry, &exchange, order->key);
	if (vm->dead) /* the caller's connection was lost */
		exchange.verdict = VERDICT_MAY_HAVE_RUN;
	record_attempt(sim, order, exchange.verdict,
		       exchange.response.status ? exchange.response.status
						: exchange.status);
	forward_clear(&exchange);
}

void sim_send_read(struct sim *sim, struct sim_entry *vm, const char *path)
{
	struct exchange exchange;

	sim_publish_document(sim);
	sim_init_exchange(vm, &exchange, NULL, "",
			  sim->manual_clock.now_ns +
				  REQUEST_TIMEOUT_MS * NS_PER_MS);
	exchange.method = "GET";
	exchange.path = path;
	exchange.idempotent = true;
	exchange.fingerprint = order_digest("GET", path, "", 0);
	pthread_mutex_lock(&vm->entry.state_lock);
	budget_deposit(&vm->entry.services[0].budget);
	pthread_mutex_unlock(&vm->entry.state_lock);
	forward_run(&vm->entry, &exchange);
	sim->read_attempts = exchange.attempts;
	sim->read_verdict = exchange.verdict;
	forward_clear(&exchange);
}

void sim_advance_ms(struct sim *sim, int64_t ms)
{
	pthread_mutex_lock(&sim->lock);
	clock_manual_advance_ms(&sim->manual_clock, ms);
	pthread_mutex_unlock(&sim->lock);
}

void sim_kill_entry(struct sim *sim, struct sim_entry *entry)
{
	pthread_mutex_lock(&sim->lock);
	entry->dead = true;
	pthread_cond_broadcast(&sim->changed);
	pthread_mutex_unlock(&sim->lock);
}

void sim_restart_entry(struct sim *sim, struct sim_entry *entry)
{
	struct sim_entry *replacement = g_new0(struct sim_entry, 1);
	uint32_t i;

	sim_publish_document(sim);
	sim_kill_entry(sim, entry);
	replacement->sim = sim;
	replacement->restart_count = entry->restart_count + 1;
	g_strlcpy(replacement->name, entry->name, sizeof(replacement->name));
	g_strlcpy(replacement->failure_domain, entry->failure_domain,
		  sizeof(replacement->failure_domain));
	start_entry(replacement);
	apply_document(sim, replacement);
	for (i = 0; i < sim->entry_count; i++)
		if (sim->entries[i] == entry)
			sim->entries[i] = replacement;
	g_ptr_array_add(sim->dead_entries, entry);
}

void sim_resume_entry(struct sim *sim, struct sim_entry *entry)
{
	pthread_mutex_lock(&sim->lock);
	entry->pause = PAUSE_NONE;
	pthread_cond_broadcast(&sim->changed);
	pthread_mutex_unlock(&sim->lock);
}

void sim_set_server_mode(struct sim *sim, struct sim_server *server,
			 enum server_mode mode)
{
	pthread_mutex_lock(&sim->lock);
	server->mode = mode;
	pthread_cond_broadcast(&sim->changed);
	pthread_mutex_unlock(&sim->lock);
}

static void check_order(const struct sim_order *order)
{
	bool ran = false;
	bool may_have_run = false;
	guint i;

	for (i = 0; i < order->attempts->len; i++) {
		const struct sim_attempt *attempt =
			&g_array_index(order->attempts, struct sim_attempt, i);

		ran = ran || attempt->verdict == VERDICT_RAN;
		may_have_run = may_have_run ||
			       attempt->verdict == VERDICT_MAY_HAVE_RUN;
	}
	if (order->run_count > 1)
		g_error("order %s ran %u times", order->label, order->run_count);
	if (ran && !order->run_count)
		g_error("order %s was reported as ran, but did not run",
			order->label);
	if (order->attempts->len && order->run_count && !ran && !may_have_run)
		g_error("order %s was reported as not-run, but ran",
			order->label);
}

void sim_check_orders(struct sim *sim)
{
	uint32_t i;

	for (i = 0; i < sim->orders->len; i++)
		check_order(sim->orders->pdata[i]);
}
