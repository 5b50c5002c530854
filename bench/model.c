#include "model_defs.h"
#include "model_policies.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"

/* One-way network latency within a failure domain, and between two of them.
 * Entry VMs and servers are assigned to the region's two domains in turn. */
#define SAME_DOMAIN_HOP_US 100
#define CROSS_DOMAIN_HOP_US 500
/* Delay before a request that found no server tries all of them again. */
#define RETRY_DELAY_US 2000
#define WARM_UP_PERMILLE 100
/* Waits for a slot never time out, so that the results count every request. */
#define WAIT_TIMEOUT_MS (INT64_C(1) << 40)
#define SLOW_SERVER_FACTOR 4

const char *const model_policy_names[MODEL_POLICY_COUNT] = {
	"one-queue",   "random", "round-robin", "least",
	"two-choices", "pick",	 "owned",	"lend",
};

enum event_kind {
	EVENT_ARRIVE,	    /* a request reaches an entry VM */
	EVENT_CHOOSE,	    /* an entry VM chooses a server */
	EVENT_AT_SERVER,    /* a request reaches a server */
	EVENT_REFUSAL,	    /* the refusal reaches the entry VM */
	EVENT_RESPONSE,	    /* the response reaches the entry VM */
	EVENT_SLOT_FREED,   /* a slot becomes free at a server */
	EVENT_SLOT_REQUEST, /* messages between entry VMs */
	EVENT_SLOT_GRANT,
	EVENT_SLOT_CANCEL,
	EVENT_SLOT_RETURN,
};

struct event {
	int64_t at_us;
	uint64_t sequence; /* order of events at the same time */
	enum event_kind kind;
	uint32_t request;
	uint32_t entry; /* VM at which it happens */
	uint32_t peer;	/* VM that sent the message */
	uint32_t server;
};

static gint compare_events(gconstpointer a, gconstpointer b, gpointer context)
{
	const struct event *left = a;
	const struct event *right = b;

	(void)context;
	if (left->at_us != right->at_us)
		return left->at_us < right->at_us ? -1 : 1;
	return left->sequence < right->sequence ? -1 : 1;
}

static void schedule(struct model *model, int64_t after_us,
		     enum event_kind kind, uint32_t request, uint32_t entry,
		     uint32_t peer, uint32_t server)
{
	struct event *event = g_new(struct event, 1);

	event->at_us = model->now_us + after_us;
	event->sequence = model->event_count++;
	event->kind = kind;
	event->request = request;
	event->entry = entry;
	event->peer = peer;
	event->server = server;
	g_sequence_insert_sorted(model->events, event, compare_events, NULL);
}

static int64_t hop_us(uint32_t a, uint32_t b)
{
	return a % 2 == b % 2 ? SAME_DOMAIN_HOP_US : CROSS_DOMAIN_HOP_US;
}

static double sample_normal(GRand *random)
{
	double a = g_rand_double_range(random, 1e-12, 1);
	double b = g_rand_double(random);

	return sqrt(-2 * log(a)) * cos(2 * G_PI * b);
}

static void send_to_server(struct model *model, uint32_t request, uint32_t server)
{
	uint32_t entry = model->requests[request].entry;

	schedule(model, hop_us(entry, server), EVENT_AT_SERVER, request, entry,
		 0, server);
}

static void choose_and_send(struct model *model, uint32_t request_index)
{
	struct model_request *request = &model->requests[request_index];
	int server = -1;

	if (request->tried_count < model->options->server_count)
		server = model_choose_server(model, request);
	if (server < 0) {
		request->tried_count = 0;
		schedule(model, RETRY_DELAY_US, EVENT_CHOOSE, request_index,
			 request->entry, 0, 0);
		return;
	}
	request->tried[request->tried_count++] = (uint32_t)server;
	send_to_server(model, request_index, (uint32_t)server);
}

/* slot lending */

/** Cancels a request's slot requests, except at the owner that granted one. */
static void cancel_slot_requests(struct model *model, uint32_t entry,
				 uint32_t request_index, uint32_t granter)
{
	struct model_request *request = &model->requests[request_index];
	uint32_t i;

	for (i = 0; i < request->queried_count; i++) {
		if (request->queried[i] == granter)
			continue;
		model->result->messages++;
		schedule(model, hop_us(entry, request->queried[i]),
			 EVENT_SLOT_CANCEL, request_index, request->queried[i],
			 entry, 0);
	}
	request->queried_count = 0;
}

static void execute_command(struct model *model, uint32_t entry,
			    struct lend_command command)
{
	uint32_t request = (uint32_t)command.request;

	if (command.action == LEND_USE) {
		cancel_slot_requests(model, entry, request, command.peer);
		model->requests[request].slot_index = command.server;
		send_to_server(model, request,
			       command.server / model->options->slots);
	} else if (command.action == LEND_GRANT) {
		model->result->messages++;
		schedule(model, hop_us(entry, command.peer), EVENT_SLOT_GRANT,
			 request, command.peer, entry, command.server);
	} else if (command.action == LEND_RETURN) {
		model->result->messages++;
		schedule(model, hop_us(entry, command.peer), EVENT_SLOT_RETURN,
			 0, command.peer, entry, command.server);
	}
}

/** Requests a slot from the VM that granted last, and from random others. */
static void query_owners(struct model *model, uint32_t entry, uint32_t request)
{
	uint32_t *queried = model->requests[request].queried;
	uint32_t count = 0;
	uint32_t peer, i;

	while (count < model->options->owners_queried &&
	       count + 1 < model->options->entry_count) {
		peer = count ? g_rand_int(model->random) %
				       model->options->entry_count
			     : model->preferred_owner[entry];
		for (i = 0; i < count && queried[i] != peer; i++)
			;
		if (peer == entry || i < count) {
			model->preferred_owner[entry] =
				g_rand_int(model->random) %
				model->options->entry_count;
			continue;
		}
		queried[count++] = peer;
		model->result->messages++;
		schedule(model, hop_us(entry, peer), EVENT_SLOT_REQUEST,
			 request, peer, entry, 0);
	}
	model->requests[request].queried_count = count;
}

static void request_slot(struct model *model, uint32_t entry, uint32_t request)
{
	struct lend_command command =
		lend_request_slot(&model->lend[entry], request,
				  model_now_ms(model),
				  model_now_ms(model) + WAIT_TIMEOUT_MS);

	if (command.action == LEND_WAIT && model->options->policy == MODEL_LEND)
		query_owners(model, entry, request);
	execute_command(model, entry, command);
}

/* events */

static void handle_arrival(struct model *model, uint32_t request)
{
	uint32_t entry = model->requests[request].entry;

	switch (model->options->policy) {
	case MODEL_ONE_QUEUE:
		g_queue_push_tail(&model->queue, GUINT_TO_POINTER(request));
		break;
	case MODEL_OWNED:
	case MODEL_LEND:
		request_slot(model, entry, request);
		break;
	default:
		choose_and_send(model, request);
		break;
	}
}

/** Assigns free slots to the oldest requests of the shared queue. */
static void dispatch_queue(struct model *model)
{
	uint32_t server, request;

	for (server = 0; server < model->options->server_count; server++)
		while (model->busy[server] < model->options->slots &&
		       !g_queue_is_empty(&model->queue)) {
			request =
				GPOINTER_TO_UINT(g_queue_pop_head(&model->queue));
			model->busy[server]++;
			schedule(model,
				 SAME_DOMAIN_HOP_US +
					 model->requests[request].service_us,
				 EVENT_SLOT_FREED, request, 0, 0, server);
			schedule(model,
				 2 * SAME_DOMAIN_HOP_US +
					 model->requests[request].service_us,
				 EVENT_RESPONSE, request, 0, 0, server);
		}
}

static void handle_at_server(struct model *model, const struct event *event)
{
	struct model_request *request = &model->requests[event->request];
	int64_t service_us = request->service_us;

	if (model->busy[event->server] >= model->options->slots) {
		model->result->refusals++;
		if (model->options->policy == MODEL_LEND)
			model->result->double_grants++;
		schedule(model, hop_us(event->entry, event->server),
			 EVENT_REFUSAL, event->request, event->entry, 0,
			 event->server);
		return;
	}
	if (event->server < model->options->slow_server_count)
		service_us *= SLOW_SERVER_FACTOR;
	request->service_us = service_us;
	model->busy[event->server]++;
	schedule(model, service_us, EVENT_SLOT_FREED, event->request,
		 event->entry, 0, event->server);
	schedule(model, service_us + hop_us(event->entry, event->server),
		 EVENT_RESPONSE, event->request, event->entry, 0, event->server);
}

static void record_outcome(struct model *model, const struct event *event,
			   enum pick_outcome outcome)
{
	struct pick_server *view = model->view[event->entry];

	if (model->options->policy == MODEL_PICK)
		pick_finish(view, model->options->server_count, event->server,
			    outcome, model_now_ms(model));
	else if (view[event->server].in_flight)
		view[event->server].in_flight--;
}

static void handle_response(struct model *model, const struct event *event)
{
	const struct model_request *request = &model->requests[event->request];
	uint32_t warm_up_count =
		model->options->request_count / 1000 * WARM_UP_PERMILLE;

	model->result->responses++;
	if (event->request >= warm_up_count)
		samples_add(&model->result->overhead,
			    model->now_us - request->arrived_us -
				    request->service_us);
	if (model->options->policy == MODEL_OWNED ||
	    model->options->policy == MODEL_LEND)
		execute_command(model, event->entry,
				lend_finish_request(&model->lend[event->entry],
						    request->slot_index,
						    model_now_ms(model)));
	else
		record_outcome(model, event, PICK_RESPONDED);
}

static void handle_event(struct model *model, const struct event *event)
{
	struct lend *lend = &model->lend[event->entry];

	switch (event->kind) {
	case EVENT_ARRIVE:
		handle_arrival(model, event->request);
		break;
	case EVENT_CHOOSE:
		choose_and_send(model, event->request);
		break;
	case EVENT_AT_SERVER:
		handle_at_server(model, event);
		break;
	case EVENT_REFUSAL:
		record_outcome(model, event, PICK_REFUSED);
		choose_and_send(model, event->request);
		break;
	case EVENT_SLOT_FREED:
		model->busy[event->server]--;
		break;
	case EVENT_RESPONSE:
		handle_response(model, event);
		break;
	case EVENT_SLOT_REQUEST:
		execute_command(model, event->entry,
				lend_handle_request(lend, event->peer,
						    event->request,
						    model_now_ms(model),
						    model_now_ms(model) +
							    WAIT_TIMEOUT_MS));
		break;
	case EVENT_SLOT_CANCEL:
		lend_cancel(lend, event->peer, event->request);
		break;
	case EVENT_SLOT_GRANT:
		model->preferred_owner[event->entry] = event->peer;
		execute_command(model, event->entry,
				lend_handle_grant(lend, event->server,
						  model_now_ms(model)));
		break;
	case EVENT_SLOT_RETURN:
		execute_command(model, event->entry,
				lend_handle_return(lend, event->server,
						   model_now_ms(model)));
		break;
	}
	if (model->options->policy == MODEL_ONE_QUEUE)
		dispatch_queue(model);
}

static void make_requests(struct model *model)
{
	const struct model_options *options = model->options;
	double slots = (double)options->server_count * options->slots;
	double gap_us = options->mean_service_us / slots / options->load;
	double at_us = 0;
	uint32_t i;

	model->requests = g_new0(struct model_request, options->request_count);
	for (i = 0; i < options->request_count; i++) {
		struct model_request *request = &model->requests[i];

		at_us -= log(g_rand_double_range(model->random, 1e-12, 1)) *
			 gap_us;
		request->arrived_us = (int64_t)at_us;
		request->entry = g_rand_int(model->random) % options->entry_count;
		request->service_us =
			(int64_t)(options->mean_service_us *
				  exp(options->sigma *
					      sample_normal(model->random) -
				      options->sigma * options->sigma / 2));
		schedule(model, request->arrived_us, EVENT_ARRIVE, i,
			 request->entry, 0, 0);
	}
}

static uint32_t slot_owner(const struct model_options *options, uint32_t slot)
{
	uint32_t server = slot / options->slots;
	uint32_t entries_per_domain = options->entry_count / 2;

	return (server / 2 * options->slots + slot % options->slots) %
		       entries_per_domain * 2 +
	       server % 2;
}

static void init_views(struct model *model)
{
	const struct model_options *options = model->options;
	uint32_t entry, server, slot;

	for (entry = 0; entry < options->entry_count; entry++) {
		lend_init(&model->lend[entry], entry);
		model->preferred_owner[entry] =
			(entry + 1) % options->entry_count;
		for (server = 0; server < options->server_count; server++)
			model->view[entry][server].slots = options->slots;
		/* each slot is owned by one VM of its failure domain */
		for (slot = 0; slot < options->server_count * options->slots;
		     slot++)
			lend_add_server(&model->lend[entry],
					slot_owner(options, slot), 1);
	}
}

void model_run(const struct model_options *options, struct model_result *result)
{
	struct model *model = g_new0(struct model, 1);
	GSequenceIter *first;
	struct event *event;

	memset(result, 0, sizeof(*result));
	samples_init(&result->overhead, options->request_count);
	model->options = options;
	model->result = result;
	model->random = g_rand_new_with_seed(options->seed);
	model->events = g_sequence_new(g_free);
	g_queue_init(&model->queue);
	init_views(model);
	make_requests(model);
	while (!g_sequence_is_empty(model->events)) {
		first = g_sequence_get_begin_iter(model->events);
		event = g_sequence_get(first);
		model->now_us = event->at_us;
		handle_event(model, event);
		g_sequence_remove(first);
	}
	g_queue_clear(&model->queue);
	g_sequence_free(model->events);
	g_rand_free(model->random);
	g_free(model->requests);
	g_free(model);
}
