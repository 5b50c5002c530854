#include "scenario/script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/attributes.h"
#include "scenario/script_internal.h"

struct command {
	const char *pattern; /* "*" matches one word */
	void (*run)(struct line *line);
};

/** Parses a duration such as "250ms" or "3s". */
static int64_t parse_duration_ms(const struct line *line, const char *text)
{
	char *unit;
	int64_t value = g_ascii_strtoll(text, &unit, 10);

	if (!strcmp(unit, "ms"))
		return value;
	if (strcmp(unit, "s") != 0)
		script_fail(line,
			    "a duration must be a number with unit s or ms");
	return value * MS_PER_S;
}

/* entry VMs and the clock */

static void add_entry(struct line *line)
{
	sim_add_entry(line->sim, line->args[0], line->args[1]);
}

static void add_server(struct line *line)
{
	sim_add_server(line->sim, line->args[0], "fyn-a",
		       (uint32_t)atoi(line->args[1]));
}

static void advance_clock(struct line *line)
{
	sim_advance_ms(line->sim, parse_duration_ms(line, line->args[0]));
}

static void kill_entry(struct line *line)
{
	sim_kill_entry(line->sim, script_entry_arg(line, 0));
}

static void restart_entry(struct line *line)
{
	sim_restart_entry(line->sim, script_entry_arg(line, 0));
}

static void set_pause_point(struct line *line, enum pause_point point)
{
	pthread_mutex_lock(&line->sim->lock);
	script_entry_arg(line, 0)->pause = point;
	pthread_mutex_unlock(&line->sim->lock);
}

static void suspend_entry(struct line *line)
{
	set_pause_point(line, PAUSE_ANYWHERE);
}

static void pause_before_claim(struct line *line)
{
	set_pause_point(line, PAUSE_BEFORE_CLAIM);
}

static void pause_before_send(struct line *line)
{
	set_pause_point(line, PAUSE_BEFORE_SEND);
}

static void resume_entry(struct line *line)
{
	sim_resume_entry(line->sim, script_entry_arg(line, 0));
}

static void set_cut_from_store(struct line *line, bool cut)
{
	pthread_mutex_lock(&line->sim->lock);
	script_entry_arg(line, 0)->cut_from_store = cut;
	pthread_mutex_unlock(&line->sim->lock);
}

static void disconnect_store(struct line *line)
{
	set_cut_from_store(line, true);
}

static void reconnect_store(struct line *line)
{
	set_cut_from_store(line, false);
}

/* the store */

static void set_store_mode(struct line *line, enum store_mode mode)
{
	pthread_mutex_lock(&line->sim->lock);
	line->sim->store_mode = mode;
	pthread_mutex_unlock(&line->sim->lock);
}

static void make_store_respond(struct line *line)
{
	set_store_mode(line, STORE_MODE_RESPONDS);
}

static void make_store_lose_responses(struct line *line)
{
	set_store_mode(line, STORE_MODE_LOSES_RESPONSES);
}

static void take_store_down(struct line *line)
{
	set_store_mode(line, STORE_MODE_DOWN);
}

static void make_store_read_only(struct line *line)
{
	set_store_mode(line, STORE_MODE_READ_ONLY);
}

/* backend servers */

struct server_mode_name {
	const char *name;
	enum server_mode mode;
};

static const struct server_mode_name server_mode_names[] = {
	{ "recovers", SERVER_MODE_RESPONDS },
	{ "releases", SERVER_MODE_RESPONDS },
	{ "loses-answers", SERVER_MODE_LOSES_RESPONSES },
	{ "truncates", SERVER_MODE_TRUNCATES },
	{ "times-out", SERVER_MODE_TIMES_OUT },
	{ "refuses", SERVER_MODE_REFUSES },
	{ "disappears", SERVER_MODE_UNREACHABLE },
	{ "crashes", SERVER_MODE_CRASHES },
	{ "answers-others", SERVER_MODE_WRONG_REQUEST_ID },
	{ "holds-requests", SERVER_MODE_HOLDS_REQUESTS },
	{ "holds-answers", SERVER_MODE_HOLDS_RESPONSES },
};

static void set_server_mode(struct line *line)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(server_mode_names); i++)
		if (!strcmp(server_mode_names[i].name, line->args[1])) {
			sim_set_server_mode(line->sim, script_server_arg(line, 0),
					    server_mode_names[i].mode);
			return;
		}
	script_fail(line, "unknown mode of a backend server");
}

struct request_wait {
	const struct sim_server *server;
	uint32_t count;
};

static bool has_request_count(void *context)
{
	const struct request_wait *wanted = context;

	return wanted->server->requests_received >= wanted->count;
}

static void await_server_requests(struct line *line)
{
	struct request_wait wanted = { script_server_arg(line, 0),
				       (uint32_t)atoi(line->args[1]) };

	sim_wait_until(line->sim, has_request_count, &wanted,
		       "the server has received the requests");
}

/* orders */

static void send_order(struct line *line)
{
	struct sim_order *order = script_order_arg(line, 0);

	sim_issue_key(order, script_entry_arg(line, 1));
	sim_send_order(line->sim, order, script_entry_arg(line, 1), NULL);
}

static void send_plain_order(struct line *line)
{
	struct sim_order *order = script_order_arg(line, 0);

	sim_set_plain_key(order);
	sim_send_order(line->sim, order, script_entry_arg(line, 1), NULL);
}

static void send_order_with_body(struct line *line)
{
	struct sim_order *order = script_order_arg(line, 0);

	sim_issue_key(order, script_entry_arg(line, 2));
	sim_send_order(line->sim, order, script_entry_arg(line, 2),
		       line->args[1]);
}

static void issue_key(struct line *line)
{
	sim_issue_key(script_order_arg(line, 0), script_entry_arg(line, 1));
}

struct order_request {
	struct sim *sim;
	struct sim_order *order;
	struct sim_entry *vm;
};

static void *run_order_request(void *context)
{
	struct order_request *request = context;

	sim_send_order(request->sim, request->order, request->vm, NULL);
	g_free(request);
	return NULL;
}

static void start_order(struct line *line)
{
	struct order_request *request = g_new0(struct order_request, 1);

	sim_publish_document(line->sim);
	request->sim = line->sim;
	request->order = script_order_arg(line, 0);
	request->vm = script_entry_arg(line, 1);
	sim_issue_key(request->order, request->vm);
	if (request->order->thread)
		script_fail(line, "the order already has a request in progress");
	request->order->thread =
		g_thread_new("order", run_order_request, request);
}

static void await_order(struct line *line)
{
	struct sim_order *order = script_order_arg(line, 0);

	if (!order->thread)
		script_fail(line, "the order has no request in progress");
	g_thread_join(order->thread);
	order->thread = NULL;
}

struct outcome_wait {
	struct sim *sim;
	const struct sim_order *order;
};

static bool is_outcome_recorded(void *context)
{
	const struct outcome_wait *wanted = context;

	return sim_is_outcome_recorded(wanted->sim, wanted->order);
}

static void await_outcome_recorded(struct line *line)
{
	struct outcome_wait wanted = { line->sim, script_order_arg(line, 0) };

	sim_wait_until(line->sim, is_outcome_recorded, &wanted,
		       "the store has the order's outcome");
}

static void await_late_requests(struct line *line)
{
	sim_join_late_requests(line->sim);
}

static bool has_paused_thread(void *context)
{
	const struct sim_entry *entry = context;

	return entry->paused_threads;
}

static void await_paused(struct line *line)
{
	sim_wait_until(line->sim, has_paused_thread, script_entry_arg(line, 0),
		       "the entry VM is at its pause point");
}

static bool is_unclaimed(void *context)
{
	return ((const struct sim_entry *)context)->entry.unclaimed;
}

static bool is_claimed(void *context)
{
	return !is_unclaimed(context);
}

static void await_unclaimed(struct line *line)
{
	sim_wait_until(line->sim, is_unclaimed, script_entry_arg(line, 0),
		       "the entry VM runs orders without claims");
}

static void await_claimed(struct line *line)
{
	/* long enough for the claims thread to probe the store once */
	sim_advance_ms(line->sim, 2000);
	sim_wait_until(line->sim, is_claimed, script_entry_arg(line, 0),
		       "the entry VM claims orders again");
}

static void send_read(struct line *line)
{
	sim_send_read(line->sim, script_entry_arg(line, 1), line->args[0]);
}

static void run_line(struct line *line);

/** "at 10s COMMAND": advances the clock to 10 s, then runs the command. */
static void run_at_time(struct line *line)
{
	struct line rest = *line;
	int64_t due_ns = line->sim->started_ns +
			 parse_duration_ms(line, line->words[1]) * NS_PER_MS;

	if (due_ns < line->sim->manual_clock.now_ns)
		script_fail(line, "this time is in the past");
	sim_advance_ms(line->sim,
		       (due_ns - line->sim->manual_clock.now_ns) / NS_PER_MS);
	memmove(rest.words, line->words + 2,
		(WORDS_MAX - 2) * sizeof(*rest.words));
	rest.word_count -= 2;
	run_line(&rest);
}

static const struct command commands[] = {
	{ "entry * in *", add_entry },
	{ "server * slots *", add_server },
	{ "advance *", advance_clock },
	{ "entry * dies", kill_entry },
	{ "entry * restarts", restart_entry },
	{ "entry * pauses", suspend_entry },
	{ "entry * pauses before claim", pause_before_claim },
	{ "entry * pauses before send", pause_before_send },
	{ "entry * resumes", resume_entry },
	{ "entry * loses the store", disconnect_store },
	{ "entry * finds the store", reconnect_store },
	{ "store answers", make_store_respond },
	{ "store loses answers", make_store_lose_responses },
	{ "store is down", take_store_down },
	{ "store is read-only", make_store_read_only },
	{ "await server * asked *", await_server_requests },
	{ "await entry * paused", await_paused },
	{ "await entry * unclaimed", await_unclaimed },
	{ "await entry * claimed", await_claimed },
	{ "server * *", set_server_mode },
	{ "key of order * from *", issue_key },
	{ "order * at *", send_order },
	{ "plain order * at *", send_plain_order },
	{ "order * body * at *", send_order_with_body },
	{ "start order * at *", start_order },
	{ "await late requests", await_late_requests },
	{ "await order * recorded", await_outcome_recorded },
	{ "await order *", await_order },
	{ "read * at *", send_read },
	{ "expect order * runs at most once", script_expect_runs_at_most_once },
	{ "expect order * runs *", script_expect_runs },
	{ "expect order * told *", script_expect_verdict },
	{ "expect order * status *", script_expect_status },
	{ "expect server * ran *", script_expect_server_runs },
	{ "expect read told *", script_expect_read_verdict },
	{ "expect read attempts *", script_expect_read_attempts },
};

static bool match_pattern(struct line *line, const char *pattern)
{
	char **pattern_words = g_strsplit(pattern, " ", -1);
	bool is_match = (int)g_strv_length(pattern_words) == line->word_count;
	int arg_count = 0;
	int i;

	for (i = 0; is_match && i < line->word_count; i++) {
		if (!strcmp(pattern_words[i], "*"))
			line->args[arg_count++] = line->words[i];
		else
			is_match = !strcmp(pattern_words[i], line->words[i]);
	}
	g_strfreev(pattern_words);
	return is_match;
}

static void run_line(struct line *line)
{
	size_t i;

	if (line->word_count > 2 && !strcmp(line->words[0], "at")) {
		run_at_time(line);
		return;
	}
	for (i = 0; i < ARRAY_SIZE(commands); i++)
		if (match_pattern(line, commands[i].pattern)) {
			commands[i].run(line);
			return;
		}
	script_fail(line, "unknown command");
}

static GScanner *new_scanner(const char *text)
{
	GScanner *scanner = g_scanner_new(NULL);

	scanner->config->cset_skip_characters = " \t";
	scanner->config->cset_identifier_first =
		G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "/";
	scanner->config->cset_identifier_nth =
		G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "-/";
	scanner->config->cpair_comment_single = "#\n";
	scanner->config->scan_identifier_1char = TRUE;
	scanner->config->scan_identifier_NULL = FALSE;
	scanner->config->identifier_2_string = FALSE;
	scanner->config->scan_float = FALSE;
	scanner->config->case_sensitive = TRUE;
	g_scanner_input_text(scanner, text, (guint)strlen(text));
	return scanner;
}

static void add_word(struct line *line, const char *word)
{
	if (line->word_count == WORDS_MAX)
		script_fail(line, "too many words in the line");
	line->words[line->word_count++] = g_strdup(word);
}

static void finish_line(struct line *line)
{
	int i;

	if (line->word_count)
		run_line(line);
	for (i = 0; i < line->word_count; i++)
		g_free(line->words[i]);
	line->word_count = 0;
}

void script_run_file(const char *file_name)
{
	struct line line = { .sim = sim_new(), .number = 1 };
	GScanner *scanner;
	GTokenType token;
	char *text;

	line.file_name = strrchr(file_name, '/') + 1;
	if (!g_file_get_contents(file_name, &text, NULL, NULL))
		g_error("cannot read %s", file_name);
	scanner = new_scanner(text);
	while ((token = g_scanner_get_next_token(scanner)) != G_TOKEN_EOF) {
		if (token == G_TOKEN_IDENTIFIER) {
			line.number = (int)scanner->line;
			add_word(&line, scanner->value.v_identifier);
		} else if (token == '\n') {
			finish_line(&line);
		} else {
			line.number = (int)scanner->line;
			script_fail(&line, "unexpected character");
		}
	}
	finish_line(&line);
	sim_check_orders(line.sim);
	g_scanner_destroy(scanner);
	g_free(text);
	sim_free(line.sim);
}
