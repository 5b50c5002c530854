#include "model_guess.h"

/**
 * @file
 * The ways of choosing a server that know only the entry VM's own requests.
 */

static uint64_t draw(struct model *model)
{
	return (uint64_t)g_rand_int(model->random) << 32 |
	       g_rand_int(model->random);
}

static bool was_tried(const struct request *request, uint32_t server)
{
	uint32_t i;

	for (i = 0; i < request->tried_count; i++)
		if (request->tried[i] == server)
			return true;
	return false;
}

static int guess_random(struct model *model, const struct request *request)
{
	uint32_t servers = model->options->servers;
	uint32_t server;

	do
		server = g_rand_int(model->random) % servers;
	while (was_tried(request, server));
	return (int)server;
}

static int guess_in_turn(struct model *model, const struct request *request)
{
	uint32_t *turn = &model->turn[request->entry];

	do
		*turn = (*turn + 1) % model->options->servers;
	while (was_tried(request, *turn));
	return (int)*turn;
}

static int guess_least(struct model *model, const struct request *request)
{
	const struct pick_server *view = model->view[request->entry];
	uint32_t start = g_rand_int(model->random);
	int best = -1;
	uint32_t i, server;

	for (i = 0; i < model->options->servers; i++) {
		server = (start + i) % model->options->servers;
		if (was_tried(request, server))
			continue;
		if (best < 0 || view[server].in_flight < view[best].in_flight)
			best = (int)server;
	}
	return best;
}

static int guess_of_two(struct model *model, const struct request *request)
{
	const struct pick_server *view = model->view[request->entry];
	int a = guess_random(model, request);
	int b = guess_random(model, request);

	return view[b].in_flight < view[a].in_flight ? b : a;
}

int model_guess(struct model *model, struct request *request)
{
	struct pick_server *view = model->view[request->entry];
	int server = -1;

	switch (model->options->way) {
	case MODEL_RANDOM:
		server = guess_random(model, request);
		break;
	case MODEL_ROUND_ROBIN:
		server = guess_in_turn(model, request);
		break;
	case MODEL_LEAST:
		server = guess_least(model, request);
		break;
	case MODEL_TWO_CHOICES:
		server = guess_of_two(model, request);
		break;
	default:
		return pick_choose(view, model->options->servers,
				   request->tried, request->tried_count,
				   draw(model), model_now_ms(model));
	}
	view[server].in_flight++;
	return server;
}
