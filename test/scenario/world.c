#include "scenario/world_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/claims.h"
#include "entry/forward.h"
#include "entry/order.h"
#include "entry/state.h"

#define DEADLINE_MS 5000
#define AWAIT_MS 20000
#define BODY_DEFAULT "five rolls"

struct world *world_new(void)
{
	struct world *world = g_new0(struct world, 1);

	/* waits are timed by the machine's clock: begin at its time */
	world->manual.now_ns = clock_now_ns(&clock_system);
	world->manual.unix_ms = clock_unix_ms(&clock_system);
	world->started_ns = world->manual.now_ns;
	world->clock = clock_from_manual(&world->manual);
	pthread_mutex_init(&world->lock, NULL);
	pthread_cond_init(&world->changed, NULL);
	world->data = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    world_value_free);
	world->orders = g_ptr_array_new();
	world->retired = g_ptr_array_new();
	world->late = g_ptr_array_new();
	return world;
}

static void free_entry(struct world_entry *entry)
{
	claims_stop(entry->entry.claims);
	state_clear(&entry->entry);
	g_free(entry->entry.settings.name);
	g_free(entry->entry.settings.failure_domain);
	g_free(entry);
}

static void free_order(struct world_order *order)
{
	if (order->thread)
		g_thread_join(order->thread);
	g_array_free(order->attempts, TRUE);
	g_free(order);
}

void world_join_late(struct world *world)
{
	uint32_t i;

	for (i = 0; i < world->late->len; i++)
		g_thread_join(world->late->pdata[i]);
	g_ptr_array_set_size(world->late, 0);
}

void world_free(struct world *world)
{
	uint32_t i;

	for (i = 0; i < world->server_count; i++)
		world_set_server(world, &world->servers[i], SERVER_ANSWERS);
	for (i = 0; i < world->entry_count; i++)
		world_resume(world, world->entries[i]);
	world_join_late(world);
	for (i = 0; i < world->orders->len; i++)
		free_order(world->orders->pdata[i]);
	for (i = 0; i < world->entry_count; i++)
		free_entry(world->entries[i]);
	for (i = 0; i < world->retired->len; i++)
		free_entry(world->retired->pdata[i]);
	g_ptr_array_free(world->late, TRUE);
	g_ptr_array_free(world->orders, TRUE);
	g_ptr_array_free(world->retired, TRUE);
	g_hash_table_destroy(world->data);
	g_free(world);
}

struct world_entry *world_entry(struct world *world, const char *name)
{
	uint32_t i;

	for (i = 0; i < world->entry_count; i++)
		if (!strcmp(world->entries[i]->name, name))
			return world->entries[i];
	g_error("no entry VM is named %s", name);
}

struct world_server *world_server(struct world *world, const char *name)
{
	uint32_t i;

	for (i = 0; i < world->server_count; i++)
		if (!strcmp(world->servers[i].name, name))
			return &world->servers[i];
	g_error("no backend server is named %s", name);
}

struct world_order *world_order(struct world *world, const char *label)
{
	struct world_order *order;
	uint32_t i;

	for (i = 0; i < world->orders->len; i++) {
		order = world->orders->pdata[i];
		if (!strcmp(order->label, label))
			return order;
	}
	order = g_new0(struct world_order, 1);
	g_strlcpy(order->label, label, sizeof(order->label));
	order->attempts = g_array_new(FALSE, TRUE, sizeof(struct world_attempt));
	g_ptr_array_add(world->orders, order);
	return order;
}

void world_await(struct world *world, bool (*holds)(void *context),
		 void *context, const char *what)
{
	int64_t until_ms = clock_now_ms(&clock_system) + AWAIT_MS;
	bool reached = false;

	while (!reached) {
		pthread_mutex_lock(&world->lock);
		reached = holds(context);
		pthread_mutex_unlock(&world->lock);
		if (clock_now_ms(&clock_system) > until_ms)
			g_error("waited in vain: %s", what);
		g_usleep(500);
	}
}

bool world_pass_pause(struct world_entry *entry, enum pause_place place)
{
	struct world *world = entry->world;
	bool alive;

	pthread_mutex_lock(&world->lock);
	entry->paused_count++;
	while (!entry->dead &&
	       (entry->pause == place || entry->pause == PAUSE_ANYWHERE))
		pthread_cond_wait(&world->changed, &world->lock);
	entry->paused_count--;
	alive = !entry->dead;
	pthread_mutex_unlock(&world->lock);
	return alive;
}

static void start_entry(struct world_entry *at)
{
	struct entry *entry = &at->entry;

	entry->clock = at->world->clock;
	entry->incarnation = (uint64_t)at->world->manual.unix_ms + at->restarts;
	entry->settings.name = g_strdup(at->name);
	entry->settings.failure_domain = g_strdup(at->failure_domain);
	entry->settings.orders_max = 1000;
	entry->settings.order_answer_bytes_max = 100000;
	entry->settings.threads = 100;
	g_assert_true(state_init(entry));
	entry->store = world_store(at);
	world_connect(at);
	entry->claims = claims_start(entry, order_expire);
	g_assert_nonnull(entry->claims);
}

void world_add_entry(struct world *world, const char *name,
		     const char *failure_domain)
{
	struct world_entry *entry = g_new0(struct world_entry, 1);

	g_assert_cmpuint(world->entry_count, <, WORLD_NAMES_MAX);
	entry->world = world;
	g_strlcpy(entry->name, name, sizeof(entry->name));
	g_strlcpy(entry->failure_domain, failure_domain,
		  sizeof(entry->failure_domain));
	start_entry(entry);
	world->entries[world->entry_count++] = entry;
}

void world_add_server(struct world *world, const char *name,
		      const char *failure_domain, uint32_t slots)
{
	struct world_server *server = &world->servers[world->server_count];

	(void)failure_domain;
	g_assert_cmpuint(world->server_count, <, WORLD_NAMES_MAX);
	g_strlcpy(server->name, name, sizeof(server->name));
	snprintf(server->address, sizeof(server->address), "127.0.0.1:%u",
		 ++world->server_count);
	server->slots = slots;
}

static char *document_text(const struct world *world)
{
	GString *text = g_string_new(
		"{\"version\":1,\"regions\":[{\"name\":\"fyn\","
		"\"failure_domains\":[\"fyn-a\",\"fyn-b\"]}],\"services\":["
		"{\"name\":\"" WORLD_SERVICE "\",\"path_prefix\":\"/cleft\"}],"
		"\"backends\":[");
	uint32_t i;

	for (i = 0; i < world->server_count; i++)
		g_string_append_printf(
			text,
			"%s{\"name\":\"%s\",\"service\":\"" WORLD_SERVICE
			"\",\"failure_domain\":\"fyn-a\",\"address\":\"%s\","
			"\"slots\":%u}",
			i ? "," : "", world->servers[i].name,
			world->servers[i].address, world->servers[i].slots);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}

static void offer_document(struct world *world, struct world_entry *entry)
{
	char *text = document_text(world);

	g_assert_cmpint(current_offer(entry->entry.current, text,
				      (uint32_t)strlen(text), "test"),
			==, CURRENT_APPLIED);
	g_free(text);
}

void world_begin(struct world *world)
{
	uint32_t i;

	for (i = 0; i < world->entry_count && !world->began; i++)
		offer_document(world, world->entries[i]);
	world->began = true;
}

/* what scenarios do */

void world_plain_key(struct world_order *order)
{
	if (!order->key[0])
		snprintf(order->key, sizeof(order->key), "plain-%s",
			 order->label);
}

void world_issue_key(struct world_order *order, struct world_entry *home)
{
	struct order_key key = {
		.incarnation = home->entry.incarnation,
		.claimed = !home->entry.unclaimed,
		.issued_unix_s = home->world->manual.unix_ms / MS_PER_S,
	};
	char prefix[200];

	if (order->key[0])
		return;
	g_strlcpy(key.home, home->name, sizeof(key.home));
	order_key_prefix(&key, prefix, sizeof(prefix));
	snprintf(order->key, sizeof(order->key), "%s%s", prefix, order->label);
}

static void add_attempt(struct world *world, struct world_order *order,
			enum verdict verdict, uint32_t status)
{
	struct world_attempt attempt = { verdict, status };

	pthread_mutex_lock(&world->lock);
	g_array_append_val(order->attempts, attempt);
	pthread_cond_broadcast(&world->changed);
	pthread_mutex_unlock(&world->lock);
}

void world_run_order(struct world *world, struct world_order *order,
		     struct world_entry *at, const char *body)
{
	struct exchange exchange;

	world_begin(world);
	if (at->dead) {
		add_attempt(world, order, VERDICT_NOT_RUN, 0);
		return;
	}
	world_make_exchange(at, &exchange, order->key, body ? body : BODY_DEFAULT,
			    world->manual.now_ns + DEADLINE_MS * NS_PER_MS);
	order_run(&at->entry, &exchange, order->key);
	if (at->dead) /* the caller saw its connection break */
		exchange.verdict = VERDICT_MAY_HAVE_RUN;
	add_attempt(world, order, exchange.verdict,
		    exchange.answer.status ? exchange.answer.status
					   : exchange.status);
	forward_clear(&exchange);
}

void world_run_read(struct world *world, struct world_entry *at, const char *path)
{
	struct exchange exchange;

	world_begin(world);
	world_make_exchange(at, &exchange, NULL, "",
			    world->manual.now_ns + DEADLINE_MS * NS_PER_MS);
	exchange.method = "GET";
	exchange.path = path;
	exchange.idempotent = true;
	exchange.fingerprint = order_digest("GET", path, "", 0);
	pthread_mutex_lock(&at->entry.state_lock);
	budget_deposit(&at->entry.services[0].budget);
	pthread_mutex_unlock(&at->entry.state_lock);
	forward_run(&at->entry, &exchange);
	world->read_attempts = exchange.attempts;
	world->read_verdict = exchange.verdict;
	forward_clear(&exchange);
}

void world_advance_ms(struct world *world, int64_t ms)
{
	pthread_mutex_lock(&world->lock);
	clock_manual_advance_ms(&world->manual, ms);
	pthread_mutex_unlock(&world->lock);
}

void world_kill(struct world *world, struct world_entry *entry)
{
	pthread_mutex_lock(&world->lock);
	entry->dead = true;
	pthread_cond_broadcast(&world->changed);
	pthread_mutex_unlock(&world->lock);
}

void world_restart(struct world *world, struct world_entry *entry)
{
	struct world_entry *fresh = g_new0(struct world_entry, 1);
	uint32_t i;

	world_begin(world);
	world_kill(world, entry);
	fresh->world = world;
	fresh->restarts = entry->restarts + 1;
	g_strlcpy(fresh->name, entry->name, sizeof(fresh->name));
	g_strlcpy(fresh->failure_domain, entry->failure_domain,
		  sizeof(fresh->failure_domain));
	start_entry(fresh);
	offer_document(world, fresh);
	for (i = 0; i < world->entry_count; i++)
		if (world->entries[i] == entry)
			world->entries[i] = fresh;
	g_ptr_array_add(world->retired, entry);
}

void world_resume(struct world *world, struct world_entry *entry)
{
	pthread_mutex_lock(&world->lock);
	entry->pause = PAUSE_NONE;
	pthread_cond_broadcast(&world->changed);
	pthread_mutex_unlock(&world->lock);
}

void world_set_server(struct world *world, struct world_server *server,
		      enum server_mode mode)
{
	pthread_mutex_lock(&world->lock);
	server->mode = mode;
	pthread_cond_broadcast(&world->changed);
	pthread_mutex_unlock(&world->lock);
}

static void check_order(const struct world_order *order)
{
	bool ran = false;
	bool may_have_run = false;
	guint i;

	for (i = 0; i < order->attempts->len; i++) {
		const struct world_attempt *attempt =
			&g_array_index(order->attempts, struct world_attempt, i);

		ran = ran || attempt->verdict == VERDICT_RAN;
		may_have_run = may_have_run ||
			       attempt->verdict == VERDICT_MAY_HAVE_RUN;
	}
	if (order->runs > 1)
		g_error("order %s ran %u times", order->label, order->runs);
	if (ran && !order->runs)
		g_error("order %s was told ran, but did not", order->label);
	if (order->attempts->len && order->runs && !ran && !may_have_run)
		g_error("order %s was told not-run, but ran", order->label);
}

void world_check(struct world *world)
{
	uint32_t i;

	for (i = 0; i < world->orders->len; i++)
		check_order(world->orders->pdata[i]);
}
