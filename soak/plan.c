#include "plan.h"

#include <inttypes.h>
#include <string.h>

#include "base/attributes.h"

/* Generated events start at least LEAD_MS after the start and TAIL_MS before
 * the end; a plan from a file ends TAIL_MS after its last event. */
#define LEAD_MS 2000
#define TAIL_MS 2000
#define LINE_BYTES 256
/* VMs that are stopped in series, from this time before servers take long. */
#define STOP_SERIES_COUNT 4
#define STOP_SERIES_LEAD_MS 3600
#define STOP_SERIES_INTERVAL_MS 700
/* VMs are upgraded one after the other at this interval; the last one has
 * stopped, and has started again, after this time. */
#define UPGRADE_INTERVAL_MS 800
#define UPGRADE_STOP_MS 5000
/* The event loop may fire a timer this much too early. */
#define TIMER_EARLY_MS 20

/* The capacity far exceeds what the callers use. */
static const struct soak_servers ample_servers = { 18, 0, 40 };
/* Requests wait, and run for long compared with the exit of a VM. */
static const struct soak_servers busy_servers = { 3, 27, 900 };
/* Callers that read slowly: some plans have none, some enough to fill the
 * memory of VMs that would hold all their responses. */
static const uint32_t slow_counts[] = { 0, 4, 40 };
/* One plan in this many has busy servers. */
#define BUSY_SHARE 4
/* An outage of the store that calls of VMs may miss. */
#define STORE_BRIEF_MAX_MS 400
/* Configurations are published in a series around an outage of the store. */
#define CHANGE_SERIES_COUNT 4
#define CHANGE_SERIES_LEAD_MS 300
#define CHANGE_SERIES_INTERVAL_MS 250

struct kind_info {
	const char *name;
	bool planned;
	const char *how_values[16]; /* allowed values of HOW */
	gint32 for_min_ms;
	gint32 for_max_ms;
	gint32 weight; /* relative frequency in generated plans */
};

static const struct kind_info kinds[SOAK_KIND_COUNT] = {
	[SOAK_KILL] = { "kill", false, { "-" }, 100, 2500, 4 },
	[SOAK_TERM] = { "term", true, { "-" }, 100, 1500, 3 },
	[SOAK_PAUSE] = { "pause", false, { "-" }, 300, 6000, 4 },
	[SOAK_HUP] = { "hup", true, { "-" }, 0, 0, 1 },
	[SOAK_KILL_ALL] = { "kill-all", false, { "-" }, 100, 500, 1 },
	[SOAK_STORE] = { "store", false, { "busy", "silent", "reset" }, 50, 6000, 5 },
	[SOAK_COMPACT] = { "compact", false, { "-" }, 0, 0, 1 },
	[SOAK_STORE_BACK] = { "store-back", false, { "-" }, 500, 4000, 3 },
	[SOAK_STORE_LINK] = { "store-link",
			      false,
			      { "delay", "silent", "oneway", "reset" },
			      500,
			      5000,
			      4 },
	[SOAK_SERVER_LINK] = { "server-link",
			       false,
			       { "delay", "silent", "oneway", "reset", "repeat" },
			       300,
			       4000,
			       4 },
	[SOAK_SERVER] = { "server",
			  false,
			  { "refuse", "refuse-no-id", "lose", "cut", "other-id",
			    "unstamped", "busy", "endless-head", "endless-body",
			    "endless-stamped", "endless-chunks", "endless-interim",
			    "endless-trailer", "endless-responses" },
			  500,
			  4000,
			  3 },
	[SOAK_CRASH] = { "crash", false, { "-" }, 500, 3000, 2 },
	[SOAK_DRAIN] = { "drain", true, { "-" }, 0, 0, 3 },
	[SOAK_EVACUATE] = { "evacuate", true, { "-" }, 1000, 5000, 1 },
	[SOAK_CONFIG] = { "config", true, { "-", "large" }, 0, 0, 3 },
	[SOAK_SLOW] = { "slow", true, { "slow", "slow-no-load" }, 3000, 7000, 3 },
	[SOAK_CUT] = { "cut", false, { "silent", "reset", "refuse" }, 5000, 9000, 2 },
	[SOAK_CUT_HALF] = { "cut-half",
			    false,
			    { "silent", "reset", "refuse" },
			    5000,
			    9000,
			    2 },
	[SOAK_LIMIT] = { "limit",
			 true,
			 { "0.5", "2.2", "3.3", "7", "many" },
			 6000,
			 12000,
			 4 },
	[SOAK_LIMIT_ALL] = { "limit-all", true, { "0.7", "2.2", "7" }, 6000, 9000, 2 },
	[SOAK_ODD_ENTRY] = { "odd-entry",
			     true,
			     { "nested", "number", "port", "key" },
			     0,
			     0,
			     2 },
	[SOAK_UPGRADE] = { "upgrade", true, { "new", "old" }, 100, 600, 0 },
};

const char *soak_kind_name(enum soak_kind kind)
{
	return kinds[kind].name;
}

bool soak_is_planned(enum soak_kind kind)
{
	return kinds[kind].planned;
}

bool soak_is_store_fault(enum soak_kind kind)
{
	return kind == SOAK_STORE || kind == SOAK_COMPACT ||
	       kind == SOAK_STORE_BACK;
}

static enum soak_kind random_kind(GRand *rand)
{
	gint32 total = 0;
	gint32 at;
	int kind;

	for (kind = 0; kind < SOAK_KIND_COUNT; kind++)
		total += kinds[kind].weight;
	at = g_rand_int_range(rand, 0, total);
	for (kind = 0; at >= kinds[kind].weight; kind++)
		at -= kinds[kind].weight;
	return (enum soak_kind)kind;
}

static const char *random_how_value(GRand *rand, const struct kind_info *info)
{
	gint32 count = 0;

	while (count < (gint32)ARRAY_SIZE(info->how_values) &&
	       info->how_values[count])
		count++;
	return info->how_values[g_rand_int_range(rand, 0, count)];
}

static gint compare_at_ms(gconstpointer a, gconstpointer b)
{
	const struct soak_event *left = a;
	const struct soak_event *right = b;

	return (left->at_ms > right->at_ms) - (left->at_ms < right->at_ms);
}

/* Stops VMs one after the other before and while servers take long. */
static void append_stops(struct soak_plan *plan, GRand *rand,
			 const struct soak_event *slow)
{
	uint32_t first = g_rand_int(rand) % 1000;
	uint32_t i;

	for (i = 0; i < STOP_SERIES_COUNT; i++) {
		struct soak_event stop = { .kind = SOAK_TERM, .how = "-" };

		stop.at_ms = slow->at_ms - STOP_SERIES_LEAD_MS +
			     (int64_t)i * STOP_SERIES_INTERVAL_MS +
			     g_rand_int_range(rand, 0, STOP_SERIES_INTERVAL_MS);
		stop.at_ms =
			CLAMP(stop.at_ms, LEAD_MS, plan->length_ms - TAIL_MS);
		stop.target = first + i;
		stop.for_ms = g_rand_int_range(rand, 100, 1500);
		g_array_append_val(plan->events, stop);
	}
}

/* Publishes configurations before, during and after an outage of the store: a
 * watch is sent then, an event is lost, or the change is the first one after. */
static void append_changes(struct soak_plan *plan, GRand *rand,
			   const struct soak_event *outage)
{
	uint32_t i;

	for (i = 0; i < CHANGE_SERIES_COUNT; i++) {
		struct soak_event change = { .kind = SOAK_CONFIG, .how = "-" };

		change.at_ms =
			outage->at_ms - CHANGE_SERIES_LEAD_MS +
			(int64_t)i * CHANGE_SERIES_INTERVAL_MS +
			g_rand_int_range(rand, 0, CHANGE_SERIES_INTERVAL_MS);
		change.at_ms =
			CLAMP(change.at_ms, LEAD_MS, plan->length_ms - TAIL_MS);
		g_array_append_val(plan->events, change);
	}
}

/* Gives the servers less capacity than the callers use, and runs that last, and
 * restarts the VMs one after the other all the time. */
static void make_busy(struct soak_plan *plan, GRand *rand)
{
	int64_t at_ms = LEAD_MS;
	uint32_t vm = g_rand_int(rand) % 1000;

	plan->servers = busy_servers;
	plan->busy = true;
	while (at_ms < plan->length_ms - TAIL_MS) {
		struct soak_event stop = { .kind = SOAK_TERM, .how = "-" };

		stop.at_ms = at_ms;
		stop.target = vm++;
		stop.for_ms = g_rand_int_range(rand, 100, 800);
		g_array_append_val(plan->events, stop);
		at_ms += g_rand_int_range(rand, STOP_SERIES_INTERVAL_MS,
					  2 * STOP_SERIES_INTERVAL_MS);
	}
}

static struct soak_plan new_plan(int64_t length_ms)
{
	struct soak_plan plan = {
		.events = g_array_new(false, true, sizeof(struct soak_event)),
		.length_ms = length_ms,
		.servers = ample_servers,
	};

	return plan;
}

struct soak_plan soak_plan_generate(uint32_t seed, int64_t length_ms)
{
	struct soak_plan plan = new_plan(length_ms);
	GRand *rand = g_rand_new_with_seed(seed);
	gint32 count = g_rand_int_range(rand, 3, 12);
	gint32 i;

	for (i = 0; i < count; i++) {
		struct soak_event event = { 0 };
		const struct kind_info *info;

		event.kind = random_kind(rand);
		info = &kinds[event.kind];
		event.at_ms = g_rand_int_range(rand, LEAD_MS,
					       (gint32)length_ms - TAIL_MS);
		event.target = g_rand_int(rand) % 1000;
		g_strlcpy(event.how, random_how_value(rand, info),
			  sizeof(event.how));
		event.for_ms = g_rand_int_range(rand, info->for_min_ms,
						info->for_max_ms + 1);
		if (event.kind == SOAK_STORE && g_rand_boolean(rand))
			event.for_ms = MIN(event.for_ms, STORE_BRIEF_MAX_MS);
		if (event.at_ms + event.for_ms > length_ms)
			event.at_ms = MAX(LEAD_MS, length_ms - event.for_ms);
		event.for_ms = MIN(event.for_ms, length_ms - event.at_ms);
		g_array_append_val(plan.events, event);
		if (event.kind == SOAK_SLOW)
			append_stops(&plan, rand, &event);
		if (event.kind == SOAK_STORE)
			append_changes(&plan, rand, &event);
	}
	if (!g_rand_int_range(rand, 0, BUSY_SHARE))
		make_busy(&plan, rand);
	g_rand_free(rand);
	/* not drawn, so that the events of a seed stay the same */
	plan.large_bodies = seed % 2;
	plan.slow_callers = slow_counts[seed / 2 % ARRAY_SIZE(slow_counts)];
	g_array_sort(plan.events, compare_at_ms);
	return plan;
}

static int64_t append_builds(struct soak_plan *plan, GRand *rand,
			     uint32_t vm_count, const char *how, int64_t at_ms)
{
	uint32_t i;

	for (i = 0; i < vm_count; i++) {
		struct soak_event event = { .kind = SOAK_UPGRADE };

		event.at_ms = at_ms;
		event.target = i;
		event.for_ms = g_rand_int_range(rand, 100, 600);
		g_strlcpy(event.how, how, sizeof(event.how));
		g_array_append_val(plan->events, event);
		at_ms += UPGRADE_INTERVAL_MS;
	}
	return at_ms + UPGRADE_STOP_MS;
}

void soak_plan_add_upgrade(struct soak_plan *plan, uint32_t seed,
			   uint32_t vm_count)
{
	GRand *rand = g_rand_new_with_seed(seed);
	int64_t at_ms = g_rand_int_range(rand, LEAD_MS, 2 * LEAD_MS);

	/* earlier builds cut off callers that read slowly when they stop */
	plan->slow_callers = 0;
	if (seed % 2) {
		at_ms = append_builds(plan, rand, vm_count / 2, "new", at_ms);
		at_ms = append_builds(plan, rand, vm_count / 2, "old", at_ms);
	}
	at_ms = append_builds(plan, rand, vm_count, "new", at_ms);
	plan->length_ms = MAX(plan->length_ms, at_ms + TAIL_MS);
	g_array_sort(plan->events, compare_at_ms);
	g_rand_free(rand);
}

static bool parse_event(const char *line, struct soak_event *event)
{
	char kind[32];
	int i;

	if (sscanf(line, "%" SCNd64 " %31s %" SCNu32 " %15s %" SCNd64,
		   &event->at_ms, kind, &event->target, event->how,
		   &event->for_ms) != 5)
		return false;
	for (i = 0; i < SOAK_KIND_COUNT; i++) {
		event->kind = (enum soak_kind)i;
		if (!strcmp(kinds[i].name, kind))
			return true;
	}
	return false;
}

static bool parse_servers(const char *line, struct soak_plan *plan)
{
	struct soak_servers *servers = &plan->servers;

	if (sscanf(line, "servers %" SCNu32 " %" SCNu32 " %" SCNu32,
		   &servers->slots, &servers->queue, &servers->work_ms) != 3)
		return false;
	plan->busy = true;
	return true;
}

bool soak_plan_read(const char *file_name, struct soak_plan *plan)
{
	FILE *file = fopen(file_name, "r");
	char line[LINE_BYTES];
	bool valid = file != NULL;
	int line_number = 0;

	*plan = new_plan(0);
	if (!file)
		fprintf(stderr, "soak: cannot read plan %s\n", file_name);
	while (valid && fgets(line, sizeof(line), file)) {
		struct soak_event event = { 0 };

		line_number++;
		line[strcspn(line, "#\n")] = '\0';
		if (!*g_strstrip(line))
			continue;
		if (parse_servers(line, plan))
			continue;
		if (sscanf(line, "slow-callers %" SCNu32, &plan->slow_callers) ==
		    1)
			continue;
		if (!strcmp(line, "large-bodies")) {
			plan->large_bodies = true;
			continue;
		}
		valid = parse_event(line, &event);
		if (!valid)
			fprintf(stderr, "soak: %s:%d: not a valid event\n",
				file_name, line_number);
		plan->length_ms = MAX(plan->length_ms,
				      event.at_ms + event.for_ms + TAIL_MS);
		g_array_append_val(plan->events, event);
	}
	if (file)
		fclose(file);
	g_array_sort(plan->events, compare_at_ms);
	return valid;
}

void soak_plan_print(const struct soak_plan *plan, FILE *out)
{
	guint i;

	if (plan->large_bodies)
		fprintf(out, "large-bodies\n");
	if (plan->slow_callers)
		fprintf(out, "slow-callers %" PRIu32 "\n", plan->slow_callers);
	if (plan->busy)
		fprintf(out, "servers %" PRIu32 " %" PRIu32 " %" PRIu32 "\n",
			plan->servers.slots, plan->servers.queue,
			plan->servers.work_ms);
	for (i = 0; i < plan->events->len; i++) {
		const struct soak_event *event =
			&g_array_index(plan->events, struct soak_event, i);

		fprintf(out, "%" PRId64 " %s %" PRIu32 " %s %" PRId64 "\n",
			event->at_ms, kinds[event->kind].name, event->target,
			event->how, event->for_ms);
	}
}

void soak_plan_clear(struct soak_plan *plan)
{
	g_array_unref(plan->events);
}

bool soak_event_cuts_vm(const struct soak_event *event, uint32_t vm,
			uint32_t vm_count)
{
	if (event->kind == SOAK_CUT_HALF)
		return vm % 2 == event->target % 2;
	return event->kind == SOAK_CUT && vm == event->target % vm_count;
}

bool soak_event_limits_server(const struct soak_event *event, uint32_t server,
			      uint32_t server_count)
{
	return event->kind == SOAK_LIMIT_ALL ||
	       (event->kind == SOAK_LIMIT &&
		server == event->target % server_count);
}

bool soak_event_is_near(const struct soak_event *event, int64_t from_ms,
			int64_t to_ms, int64_t recovery_ms)
{
	return event->at_ms <= to_ms + TIMER_EARLY_MS &&
	       event->at_ms + event->for_ms + recovery_ms >= from_ms;
}

bool soak_plan_is_fault_free(const struct soak_plan *plan, int64_t from_ms,
			     int64_t to_ms, int64_t recovery_ms)
{
	guint i;

	for (i = 0; i < plan->events->len; i++) {
		const struct soak_event *event =
			&g_array_index(plan->events, struct soak_event, i);

		if (!kinds[event->kind].planned &&
		    soak_event_is_near(event, from_ms, to_ms, recovery_ms))
			return false;
	}
	return true;
}
