#include "queue/wait_queue.h"

#include <xxhash.h>

#include "base/counter.h"
#include "base/log.h"
#include "decide/wait_order.h"
#include "net/timer.h"
#include "request/exchange_own.h"

/* Limit on the requests that wait in this VM, whatever their service. */
#define WAITING_MAX 2000
/* Interval at which requests that wait are placed again: servers' pauses and
 * reports end, servers leave, and requests become too late without an event. */
#define CHECK_INTERVAL_MS 20
/* Longest time after which a refused caller is asked to return: a wait beyond
 * it is a guess, as load changes within seconds. */
#define REFUSED_WAIT_MAX_MS 5000
/* A request counts as able to meet its target with this part of its run time to
 * spare, as half of the runs take longer than the mean. */
#define RUN_MARGIN 0.25

/* Index of the entry of a request that does not wait yet. */
#define NOT_WAITING UINT32_MAX

/* The requests that wait for servers of a service. */
struct service_queue {
	char *name;
	struct wait_order *order;
	GPtrArray *waiting; /* struct exchange, in order of arrival */
};

struct wait_queue {
	struct proxy *proxy;
	GPtrArray *services; /* struct service_queue */
	struct event *check;
	struct event *dispatch; /* pending after a slot became free */
	uint32_t length;
	uint32_t leaving_count; /* of these, with `must_leave_queue` */
	uint64_t sequence;
};

/* Static because all run on the event loop's only thread. */
static struct wait_entry entries[WAITING_MAX + 1];
static struct own_view view;

static void service_queue_free(gpointer data)
{
	struct service_queue *service = data;

	wait_order_free(service->order);
	g_ptr_array_unref(service->waiting);
	g_free(service->name);
	g_free(service);
}

static struct service_queue *find_service(const struct wait_queue *queue,
					  const char *name)
{
	guint i;

	for (i = 0; i < queue->services->len; i++) {
		struct service_queue *service =
			g_ptr_array_index(queue->services, i);

		if (!strcmp(service->name, name))
			return service;
	}
	return NULL;
}

static struct service_queue *get_or_create_service(struct wait_queue *queue,
						   const struct exchange *e)
{
	struct service_queue *service = find_service(queue, e->service->name);

	if (!service) {
		service = g_new0(struct service_queue, 1);
		service->name = g_strdup(e->service->name);
		service->order = wait_order_new();
		service->waiting = g_ptr_array_new();
		g_ptr_array_add(queue->services, service);
	}
	return service;
}

static struct wait_entry make_entry(const struct exchange *e, uint32_t index,
				    uint32_t run_ms, bool cached)
{
	const char *workspace = e->workspace ? e->workspace->name : NULL;
	const struct wait_entry entry = {
		.workspace =
			workspace ? XXH3_64bits(workspace, strlen(workspace)) : 0,
		.sequence = e->wait_sequence ? e->wait_sequence : UINT64_MAX,
		.rank = exchange_priority(e),
		.run_ms = run_ms,
		.finish_ms = (uint32_t)(run_ms * (1 + RUN_MARGIN)),
		.target_ms = exchange_target_ms(e),
		.target_latency_ms = e->route->target_latency_ms,
		.cached = cached,
		.index = index,
	};

	return entry;
}

/* Fills `entries`, without the requests that must leave. @return their number. */
static uint32_t collect_entries(const struct service_queue *service)
{
	uint32_t count = 0;
	guint i;

	for (i = 0; i < service->waiting->len; i++) {
		const struct exchange *e = g_ptr_array_index(service->waiting, i);

		if (!e->must_leave_queue)
			entries[count++] = make_entry(e, i, e->waits_for_run_ms,
						      e->waits_for_cached);
	}
	return count;
}

/* Sorts what waits and a request that does not yet.
 *
 * @param count set to the number of entries.
 * @return the position of the request. */
static uint32_t sort_with(struct wait_queue *queue, struct service_queue *service,
			  const struct wait_entry *entry, uint32_t *count)
{
	uint32_t position = 0;

	*count = collect_entries(service);
	entries[(*count)++] = *entry;
	wait_order_sort(service->order, entries, *count,
			proxy_now_ms(queue->proxy));
	while (entries[position].index != NOT_WAITING)
		position++;
	return position;
}

static void collect_view(struct wait_queue *queue,
			 const struct service_queue *service)
{
	/* the service as the configuration of the first request has it */
	const struct exchange *first = g_ptr_array_index(service->waiting, 0);

	own_view_collect(&view, queue->proxy, first->service);
}

static struct exchange *waiting_at(const struct service_queue *service,
				   uint32_t position)
{
	return g_ptr_array_index(service->waiting, entries[position].index);
}

uint32_t wait_queue_length(const struct wait_queue *queue)
{
	return queue ? queue->length : 0;
}

void wait_queue_add_ahead(struct wait_queue *queue, const struct exchange *e,
			  struct own_view *ahead)
{
	struct service_queue *service =
		queue ? find_service(queue, e->service->name) : NULL;
	const struct route_state *state = exchange_route_state(e);
	const bool cached = own_view_has_cached(ahead, e);
	struct wait_entry entry;
	uint32_t position;
	uint32_t count;

	if (!service || !service->waiting->len)
		return;
	entry = make_entry(e, NOT_WAITING,
			   run_time_expected_ms(&state->run_time, &state->time,
						cached),
			   cached);
	position = sort_with(queue, service, &entry, &count);
	while (position)
		own_view_add_waiting(ahead, waiting_at(service, --position));
}

/* Counted again when it is retried or placed again, one request would make the
 * wait of all others look longer. */
static void record_admitted(struct service_queue *service, struct exchange *e,
			    const struct wait_entry *entry, int64_t now_ms)
{
	if (!e->is_admitted)
		wait_order_record_admitted(service->order, entry, now_ms);
	e->is_admitted = true;
}

void wait_queue_record_sent(struct wait_queue *queue, struct exchange *e,
			    uint32_t run_ms)
{
	struct service_queue *service =
		queue ? find_service(queue, e->service->name) : NULL;
	const struct wait_entry entry = make_entry(e, NOT_WAITING, run_ms, true);
	const int64_t now_ms = proxy_now_ms(queue ? queue->proxy : e->proxy);
	uint32_t position;
	uint32_t count;

	if (!service)
		return;
	record_admitted(service, e, &entry, now_ms);
	/* while nothing waits, no workspace is kept from its share */
	if (!service->waiting->len)
		return;
	position = sort_with(queue, service, &entry, &count);
	wait_order_record_sent(service->order, entries, count, position, now_ms);
}

static void set_server(struct exchange *e, struct server *server,
		       uint32_t run_ms, bool cached)
{
	server_ref(server);
	server_unref(e->waits_for);
	e->waits_for = server;
	e->waits_for_run_ms = run_ms;
	e->waits_for_cached = cached;
}

static void refuse(struct exchange *e, const char *reason, uint32_t wait_ms)
{
	log_info("queue",
		 "waiting request is refused request=%s route=%s why=%s "
		 "wait_ms=%u waited_ms=%u",
		 e->id, e->route->name, reason, wait_ms, e->waited_ms);
	counter_add(COUNTER_REFUSED_FULL, 1);
	e->wait_ms = wait_ms;
	exchange_fail(e, outcome_http_status(e->worst_verdict, false), reason);
}

static void start_checks(struct wait_queue *queue)
{
	if (!evtimer_pending(queue->check, NULL))
		timer_start(queue->check, CHECK_INTERVAL_MS);
}

/* Decides whether a request may wait, and which one must leave for it.
 *
 * @param refused set to a waiting request, or NULL.
 * @return whether it may; if not, its `wait_ms` is set. */
static bool admit(struct wait_queue *queue, struct service_queue *service,
		  struct exchange *e, const struct own_view *own,
		  const struct finish_choice *choice, struct exchange **refused)
{
	const int64_t now_ms = proxy_now_ms(queue->proxy);
	struct wait_entry entry = make_entry(e, NOT_WAITING, choice->run_ms,
					     own->states[choice->index].cached);
	uint32_t count;
	uint32_t position = sort_with(queue, service, &entry, &count);
	uint32_t staying = queue->length - queue->leaving_count;
	uint32_t excess;

	e->wait_ms = wait_order_wait_ms(service->order, entries, position,
					choice->wait_ms, own->slots, now_ms);
	/* a late response is worth little, and makes those behind it late */
	if (e->wait_ms > e->route->target_latency_ms)
		return false;
	entry.finish_ms = choice->finish_ms - choice->wait_ms + e->wait_ms;
	/* the order depends on it only by whether the target is met */
	if ((now_ms + entry.finish_ms > entry.target_ms) !=
	    entries[position].is_late)
		position = sort_with(queue, service, &entry, &count);
	excess = wait_order_find_excess(entries, count, own->slots,
					WAITING_MAX - staying + count - 1);
	*refused = NULL;
	if (excess == position)
		return false;
	if (excess != WAIT_ORDER_NONE)
		*refused = waiting_at(service, excess);
	record_admitted(service, e, &entries[position], now_ms);
	e->wait_ms = 0;
	return true;
}

const char *wait_queue_add(struct wait_queue *queue, struct exchange *e,
			   const struct own_view *own,
			   const struct finish_choice *choice)
{
	struct service_queue *service;
	struct exchange *refused;

	e->wait_ms = choice->wait_ms;
	if (!queue)
		return "no-room";
	service = get_or_create_service(queue, e);
	e->wait_sequence = ++queue->sequence;
	if (!admit(queue, service, e, own, choice, &refused)) {
		e->wait_sequence = 0;
		e->wait_ms = MIN(e->wait_ms, REFUSED_WAIT_MAX_MS);
		return "queue-full";
	}
	set_server(e, own->servers[choice->index], choice->run_ms,
		   own->states[choice->index].cached);
	e->waiting_since_ms = proxy_now_ms(queue->proxy);
	g_ptr_array_add(service->waiting, e);
	queue->length++;
	gauge_add(GAUGE_WAITING, 1);
	counter_add(COUNTER_WAITED, 1);
	start_checks(queue);
	if (refused) {
		/* its response may end connections, so not during this call */
		refused->must_leave_queue = true;
		queue->leaving_count++;
		event_active(queue->dispatch, EV_TIMEOUT, 0);
	}
	return NULL;
}

void wait_queue_remove(struct wait_queue *queue, struct exchange *e)
{
	struct service_queue *service;

	if (!queue || !e->waits_for)
		return;
	service = find_service(queue, e->service->name);
	g_ptr_array_remove(service->waiting, e);
	server_unref(e->waits_for);
	e->waits_for = NULL;
	queue->leaving_count -= e->must_leave_queue;
	e->must_leave_queue = false;
	e->wait_sequence = 0;
	e->waited_ms +=
		(uint32_t)(proxy_now_ms(queue->proxy) - e->waiting_since_ms);
	queue->length--;
	gauge_add(GAUGE_WAITING, -1);
}

void wait_queue_on_slot_free(struct wait_queue *queue, struct server *server)
{
	(void)server;
	if (queue && queue->length)
		event_active(queue->dispatch, EV_TIMEOUT, 0);
}

/* Sends the request at `position` of the sorted entries, or refuses it. */
static void send_waiting(struct wait_queue *queue,
			 struct service_queue *service, uint32_t count,
			 uint32_t position, const struct finish_choice *choice)
{
	struct exchange *e = waiting_at(service, position);
	struct server *server = view.servers[choice->index];
	const bool cached = view.states[choice->index].cached;

	/* the key may have been removed while the request waited */
	if (exchange_refuse_removed_key(e))
		return;
	entries[position].run_ms = choice->run_ms;
	wait_order_record_sent(service->order, entries, count, position,
			       proxy_now_ms(queue->proxy));
	wait_queue_remove(queue, e);
	exchange_record_own(e, server, choice, cached);
	exchange_send_waiting(e, server);
}

/* @return a request for which another one waits, or NULL. */
static struct exchange *find_leaving(const struct wait_queue *queue,
				     const struct service_queue *service)
{
	guint i;

	for (i = 0; queue->leaving_count && i < service->waiting->len; i++) {
		struct exchange *e = g_ptr_array_index(service->waiting, i);

		if (e->must_leave_queue)
			return e;
	}
	return NULL;
}

/* Processes one waiting request: sends it, refuses it, or places it elsewhere.
 * Others may leave the queue with it. One that is placed again may return to the
 * queue, as the estimate of a request that arrives differs from that of one that
 * waits: callers bound the number of calls. @return whether there was one. */
static bool advance(struct wait_queue *queue, struct service_queue *service)
{
	struct exchange *leaving = find_leaving(queue, service);
	uint32_t count;
	uint32_t i;

	collect_view(queue, service);
	count = collect_entries(service);
	if (leaving) {
		counter_add(COUNTER_REFUSED_QUEUE_FULL, 1);
		wait_queue_remove(queue, leaving);
		refuse(leaving, "queue-full",
		       wait_order_work_ms(entries, count, view.slots));
		return true;
	}
	wait_order_sort(service->order, entries, count,
			proxy_now_ms(queue->proxy));
	for (i = 0; i < count; i++) {
		struct exchange *e = waiting_at(service, i);
		struct finish_choice choice = own_view_choose(&view, e);

		if (choice.result == FINISH_SEND) {
			send_waiting(queue, service, count, i, &choice);
			return true;
		}
		if (choice.result == FINISH_NO_SERVER ||
		    (choice.result == FINISH_TOO_LATE && view.is_paused)) {
			wait_queue_remove(queue, e);
			exchange_place_again(e);
			return true;
		}
		if (choice.result == FINISH_TOO_LATE) {
			counter_add(COUNTER_REFUSED_WAIT_TOO_LONG, 1);
			wait_queue_remove(queue, e);
			refuse(e, "wait-too-long", choice.wait_ms);
			return true;
		}
		set_server(e, view.servers[choice.index], choice.run_ms,
			   view.states[choice.index].cached);
		own_view_add_waiting(&view, e);
	}
	return false;
}

/* @return whether a request can be sent, or must leave the queue. */
static bool has_work(struct wait_queue *queue, const struct service_queue *service)
{
	collect_view(queue, service);
	return view.has_free_slot || !view.count || queue->leaving_count;
}

static void on_dispatch(evutil_socket_t fd, short what, void *context)
{
	struct wait_queue *queue = context;
	guint i;

	(void)fd;
	(void)what;
	for (i = 0; i < queue->services->len; i++) {
		struct service_queue *service =
			g_ptr_array_index(queue->services, i);
		guint left = service->waiting->len;

		while (left-- && service->waiting->len &&
		       has_work(queue, service) && advance(queue, service))
			;
	}
}

static void on_check(evutil_socket_t fd, short what, void *context)
{
	struct wait_queue *queue = context;
	guint i;

	(void)fd;
	(void)what;
	for (i = 0; i < queue->services->len; i++) {
		struct service_queue *service =
			g_ptr_array_index(queue->services, i);
		guint left = service->waiting->len;

		while (left-- && service->waiting->len && advance(queue, service))
			;
	}
	if (queue->length)
		start_checks(queue);
}

struct wait_queue *wait_queue_new(struct proxy *proxy)
{
	struct wait_queue *queue = g_new0(struct wait_queue, 1);

	queue->proxy = proxy;
	queue->services = g_ptr_array_new_with_free_func(service_queue_free);
	queue->check = evtimer_new(proxy->base, on_check, queue);
	queue->dispatch = evtimer_new(proxy->base, on_dispatch, queue);
	return queue;
}

void wait_queue_free(struct wait_queue *queue)
{
	if (!queue)
		return;
	event_free(queue->check);
	event_free(queue->dispatch);
	g_ptr_array_unref(queue->services);
	g_free(queue);
}
