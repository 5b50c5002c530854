#include "model_policies.h"

static uint64_t sample_u64(struct model *model)
{
	return (uint64_t)g_rand_int(model->random) << 32 |
	       g_rand_int(model->random);
}

static bool was_tried(const struct model_request *request, uint32_t server)
{
	uint32_t i;

	for (i = 0; i < request->tried_count; i++)
		if (request->tried[i] == server)
			return true;
	return false;
}

static int choose_random(struct model *model, const struct model_request *request)
{
	uint32_t server_count = model->options->server_count;
	uint32_t server;

	do
		server = g_rand_int(model->random) % server_count;
	while (was_tried(request, server));
	return (int)server;
}

static int choose_round_robin(struct model *model,
			      const struct model_request *request)
{
	uint32_t *last_server = &model->round_robin_last[request->entry];

	do
		*last_server = (*last_server + 1) % model->options->server_count;
	while (was_tried(request, *last_server));
	return (int)*last_server;
}

static int choose_least_in_flight(struct model *model,
				  const struct model_request *request)
{
	const struct pick_server *view = model->view[request->entry];
	uint32_t start = g_rand_int(model->random);
	int best = -1;
	uint32_t i, server;

	for (i = 0; i < model->options->server_count; i++) {
		server = (start + i) % model->options->server_count;
		if (was_tried(request, server))
			continue;
		if (best < 0 || view[server].in_flight < view[best].in_flight)
			best = (int)server;
	}
	return best;
}

static int choose_of_two(struct model *model, const struct model_request *request)
{
	const struct pick_server *view = model->view[request->entry];
	int a = choose_random(model, request);
	int b = choose_random(model, request);

	return view[b].in_flight < view[a].in_flight ? b : a;
}

int model_choose_server(struct model *model, struct model_request *request)
{
	struct pick_server *view = model->view[request->entry];
	int server = -1;

	switch (model->options->policy) {
	case MODEL_RANDOM:
		server = choose_random(model, request);
		break;
	case MODEL_ROUND_ROBIN:
		server = choose_round_robin(model, request);
		break;
	case MODEL_LEAST_IN_FLIGHT:
		server = choose_least_in_flight(model, request);
		break;
	case MODEL_TWO_CHOICES:
		server = choose_of_two(model, request);
		break;
	default:
		return pick_choose(view, model->options->server_count,
				   request->tried, request->tried_count,
				   sample_u64(model), model_now_ms(model));
	}
	view[server].in_flight++;
	return server;
}
