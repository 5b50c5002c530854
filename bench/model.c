#include "model_defs.h"
#include "model_guess.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"

/* One way between two processes of a failure domain, and of two. Entry VMs and
 * servers alternate between the two domains of the region. */
#define NEAR_HOP_US 100
#define FAR_HOP_US 500
/* What a caller of a full fleet waits before it asks all servers again. */
#define AGAIN_US 2000
#define WARM_UP_PERMILLE 100
/* Requests of the model wait for ever: none may drop out of the figures. */
#define WAIT_MS (INT64_C(1) << 40)
#define SLOW_FACTOR 4

const char *const model_names[MODEL_WAY_COUNT] = {
	"one-queue",   "random", "round-robin", "least",
	"two-choices", "pick",	 "owned",	"lend",
};

enum event_kind {
	EVENT_ARRIVE,	 /* a request at an entry VM */
	EVENT_TRY,	 /* an entry VM chooses a server */
	EVENT_AT_SERVER, /* a request reaches a server */
	EVENT_REFUSED,	 /* the refusal reaches the entry VM */
	EVENT_DONE,	 /* the answer reaches the entry VM */
	EVENT_FREE,	 /* a slot becomes free at a server */
	EVENT_ASK,	 /* messages of lending */
	EVENT_GRANT,
	EVENT_CANCEL,
	EVENT_RETURN,
};

struct event {
	int64_t at_us;
	uint64_t order; /* breaks ties by age */
	enum event_kind kind;
	uint32_t request;
	uint32_t entry; /* where it happens */
	uint32_t peer;
	uint32_t server;
};

static gint compare_events(gconstpointer a, gconstpointer b, gpointer context)
{
	const struct event *left = a;
	const struct event *right = b;

	(void)context;
	if (left->at_us != right->at_us)
		return left->at_us < right->at_us ? -1 : 1;
	return left->order < right->order ? -1 : 1;
}

static void schedule(struct model *model, int64_t after_us,
		     enum event_kind kind, uint32_t request, uint32_t entry,
		     uint32_t peer, uint32_t server)
{
	struct event *event = g_new(struct event, 1);

	event->at_us = model->now_us + after_us;
	event->order = model->event_count++;
	event->kind = kind;
	event->request = request;
	event->entry = entry;
	event->peer = peer;
	event->server = server;
	g_sequence_insert_sorted(model->events, event, compare_events, NULL);
}

static int64_t hop_us(uint32_t a, uint32_t b)
{
	return a % 2 == b % 2 ? NEAR_HOP_US : FAR_HOP_US;
}

static double draw_normal(GRand *random)
{
	double a = g_rand_double_range(random, 1e-12, 1);
	double b = g_rand_double(random);

	return sqrt(-2 * log(a)) * cos(2 * G_PI * b);
}

static void send_to(struct model *model, uint32_t request, uint32_t server)
{
	uint32_t entry = model->requests[request].entry;

	schedule(model, hop_us(entry, server), EVENT_AT_SERVER, request, entry,
		 0, server);
}

static void try_guess(struct model *model, uint32_t number)
{
	struct request *request = &model->requests[number];
	int server = -1;

	if (request->tried_count < model->options->servers)
		server = model_guess(model, request);
	if (server < 0) {
		request->tried_count = 0;
		schedule(model, AGAIN_US, EVENT_TRY, number, request->entry, 0,
			 0);
		return;
	}
	request->tried[request->tried_count++] = (uint32_t)server;
	send_to(model, number, (uint32_t)server);
}

/* lending */

/** Calls off the asks of a request, but for the owner that granted. */
static void call_off(struct model *model, uint32_t entry, uint32_t number,
		     uint32_t granter)
{
	struct request *request = &model->requests[number];
	uint32_t i;

	for (i = 0; i < request->asked_count; i++) {
		if (request->asked[i] == granter)
			continue;
		model->result->messages++;
		schedule(model, hop_us(entry, request->asked[i]), EVENT_CANCEL,
			 number, request->asked[i], entry, 0);
	}
	request->asked_count = 0;
}

static void carry_out(struct model *model, uint32_t entry, struct lend_order order)
{
	uint32_t request = (uint32_t)order.request;

	if (order.action == LEND_USE) {
		call_off(model, entry, request, order.peer);
		model->requests[request].part = order.server;
		send_to(model, request, order.server / model->options->slots);
	} else if (order.action == LEND_GRANT) {
		model->result->messages++;
		schedule(model, hop_us(entry, order.peer), EVENT_GRANT, request,
			 order.peer, entry, order.server);
	} else if (order.action == LEND_RETURN) {
		model->result->messages++;
		schedule(model, hop_us(entry, order.peer), EVENT_RETURN, 0,
			 order.peer, entry, order.server);
	}
}

/** Asks a few owners: the one that granted last, and others at random. */
static void ask_owners(struct model *model, uint32_t entry, uint32_t request)
{
	uint32_t *asked = model->requests[request].asked;
	uint32_t count = 0;
	uint32_t peer, i;

	while (count < model->options->asks &&
	       count + 1 < model->options->entries) {
		peer = count ? g_rand_int(model->random) % model->options->entries
			     : model->hint[entry];
		for (i = 0; i < count && asked[i] != peer; i++)
			;
		if (peer == entry || i < count) {
			model->hint[entry] = g_rand_int(model->random) %
					     model->options->entries;
			continue;
		}
		asked[count++] = peer;
		model->result->messages++;
		schedule(model, hop_us(entry, peer), EVENT_ASK, request, peer,
			 entry, 0);
	}
	model->requests[request].asked_count = count;
}

static void want(struct model *model, uint32_t entry, uint32_t request)
{
	struct lend_order order =
		lend_want(&model->lend[entry], request, model_now_ms(model),
			  model_now_ms(model) + WAIT_MS);

	if (order.action == LEND_WAIT && model->options->way == MODEL_LEND)
		ask_owners(model, entry, request);
	carry_out(model, entry, order);
}

/* events */

static void arrive(struct model *model, uint32_t request)
{
	uint32_t entry = model->requests[request].entry;

	switch (model->options->way) {
	case MODEL_ONE_QUEUE:
		g_queue_push_tail(&model->queue, GUINT_TO_POINTER(request));
		break;
	case MODEL_OWNED:
	case MODEL_LEND:
		want(model, entry, request);
		break;
	default:
		try_guess(model, request);
		break;
	}
}

/** Gives free slots to the one queue's oldest requests. */
static void serve_queue(struct model *model)
{
	uint32_t server, request;

	for (server = 0; server < model->options->servers; server++)
		while (model->busy[server] < model->options->slots &&
		       !g_queue_is_empty(&model->queue)) {
			request =
				GPOINTER_TO_UINT(g_queue_pop_head(&model->queue));
			model->busy[server]++;
			schedule(model,
				 NEAR_HOP_US + model->requests[request].service_us,
				 EVENT_FREE, request, 0, 0, server);
			schedule(model,
				 2 * NEAR_HOP_US +
					 model->requests[request].service_us,
				 EVENT_DONE, request, 0, 0, server);
		}
}

static void at_server(struct model *model, const struct event *event)
{
	struct request *request = &model->requests[event->request];
	int64_t service_us = request->service_us;

	if (model->busy[event->server] >= model->options->slots) {
		model->result->refusals++;
		if (model->options->way == MODEL_LEND)
			model->result->twice++;
		schedule(model, hop_us(event->entry, event->server),
			 EVENT_REFUSED, event->request, event->entry, 0,
			 event->server);
		return;
	}
	if (event->server < model->options->slow_servers)
		service_us *= SLOW_FACTOR;
	request->service_us = service_us;
	model->busy[event->server]++;
	schedule(model, service_us, EVENT_FREE, event->request, event->entry, 0,
		 event->server);
	schedule(model, service_us + hop_us(event->entry, event->server),
		 EVENT_DONE, event->request, event->entry, 0, event->server);
}

static void note_outcome(struct model *model, const struct event *event,
			 enum pick_outcome outcome)
{
	struct pick_server *view = model->view[event->entry];

	if (model->options->way == MODEL_PICK)
		pick_finish(view, model->options->servers, event->server,
			    outcome, model_now_ms(model));
	else if (view[event->server].in_flight)
		view[event->server].in_flight--;
}

static void done(struct model *model, const struct event *event)
{
	const struct request *request = &model->requests[event->request];
	uint32_t warm = model->options->requests / 1000 * WARM_UP_PERMILLE;

	model->result->answered++;
	if (event->request >= warm)
		samples_add(&model->result->beyond,
			    model->now_us - request->arrived_us -
				    request->service_us);
	if (model->options->way == MODEL_OWNED ||
	    model->options->way == MODEL_LEND)
		carry_out(model, event->entry,
			  lend_ended(&model->lend[event->entry], request->part,
				     model_now_ms(model)));
	else
		note_outcome(model, event, PICK_ANSWERED);
}

static void handle(struct model *model, const struct event *event)
{
	struct lend *lend = &model->lend[event->entry];

	switch (event->kind) {
	case EVENT_ARRIVE:
		arrive(model, event->request);
		break;
	case EVENT_TRY:
		try_guess(model, event->request);
		break;
	case EVENT_AT_SERVER:
		at_server(model, event);
		break;
	case EVENT_REFUSED:
		note_outcome(model, event, PICK_REFUSED);
		try_guess(model, event->request);
		break;
	case EVENT_FREE:
		model->busy[event->server]--;
		break;
	case EVENT_DONE:
		done(model, event);
		break;
	case EVENT_ASK:
		carry_out(model, event->entry,
			  lend_asked(lend, event->peer, event->request,
				     model_now_ms(model),
				     model_now_ms(model) + WAIT_MS));
		break;
	case EVENT_CANCEL:
		lend_cancel(lend, event->peer, event->request);
		break;
	case EVENT_GRANT:
		model->hint[event->entry] = event->peer;
		carry_out(model, event->entry,
			  lend_granted(lend, event->server, model_now_ms(model)));
		break;
	case EVENT_RETURN:
		carry_out(model, event->entry,
			  lend_returned(lend, event->server, model_now_ms(model)));
		break;
	}
	if (model->options->way == MODEL_ONE_QUEUE)
		serve_queue(model);
}

static void make_requests(struct model *model)
{
	const struct model_options *options = model->options;
	double slots = (double)options->servers * options->slots;
	double gap_us = options->service_us / slots / options->load;
	double at_us = 0;
	uint32_t i;

	model->requests = g_new0(struct request, options->requests);
	for (i = 0; i < options->requests; i++) {
		struct request *request = &model->requests[i];

		at_us -= log(g_rand_double_range(model->random, 1e-12, 1)) *
			 gap_us;
		request->arrived_us = (int64_t)at_us;
		request->entry = g_rand_int(model->random) % options->entries;
		request->service_us =
			(int64_t)(options->service_us *
				  exp(options->sigma * draw_normal(model->random) -
				      options->sigma * options->sigma / 2));
		schedule(model, request->arrived_us, EVENT_ARRIVE, i,
			 request->entry, 0, 0);
	}
}

static uint32_t owner_of(const struct model_options *options, uint32_t slot)
{
	uint32_t server = slot / options->slots;
	uint32_t near_entries = options->entries / 2;

	return (server / 2 * options->slots + slot % options->slots) %
		       near_entries * 2 +
	       server % 2;
}

static void make_views(struct model *model)
{
	const struct model_options *options = model->options;
	uint32_t entry, server, slot;

	for (entry = 0; entry < options->entries; entry++) {
		lend_init(&model->lend[entry], entry);
		model->hint[entry] = (entry + 1) % options->entries;
		for (server = 0; server < options->servers; server++)
			model->view[entry][server].slots = options->slots;
		/* each slot has an owner of its own, in its failure domain */
		for (slot = 0; slot < options->servers * options->slots; slot++)
			lend_add_server(&model->lend[entry],
					owner_of(options, slot), 1);
	}
}

void model_run(const struct model_options *options, struct model_result *result)
{
	struct model *model = g_new0(struct model, 1);
	GSequenceIter *first;
	struct event *event;

	memset(result, 0, sizeof(*result));
	samples_init(&result->beyond, options->requests);
	model->options = options;
	model->result = result;
	model->random = g_rand_new_with_seed(options->seed);
	model->events = g_sequence_new(g_free);
	g_queue_init(&model->queue);
	make_views(model);
	make_requests(model);
	while (!g_sequence_is_empty(model->events)) {
		first = g_sequence_get_begin_iter(model->events);
		event = g_sequence_get(first);
		model->now_us = event->at_us;
		handle(model, event);
		g_sequence_remove(first);
	}
	g_queue_clear(&model->queue);
	g_sequence_free(model->events);
	g_rand_free(model->random);
	g_free(model->requests);
	g_free(model);
}
