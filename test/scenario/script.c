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

/** "250ms", "3s". */
static int64_t duration_ms(const struct line *line, const char *text)
{
	char *unit;
	int64_t value = g_ascii_strtoll(text, &unit, 10);

	if (!strcmp(unit, "ms"))
		return value;
	if (strcmp(unit, "s") != 0)
		script_fail(line, "a time is a number with s or ms");
	return value * MS_PER_S;
}

/* the fleet */

static void add_entry(struct line *line)
{
	world_add_entry(line->world, line->stars[0], line->stars[1]);
}

static void add_server(struct line *line)
{
	world_add_server(line->world, line->stars[0], "fyn-a",
			 (uint32_t)atoi(line->stars[1]));
}

static void advance(struct line *line)
{
	world_advance_ms(line->world, duration_ms(line, line->stars[0]));
}

static void kill_entry(struct line *line)
{
	world_kill(line->world, script_entry(line, 0));
}

static void restart_entry(struct line *line)
{
	world_restart(line->world, script_entry(line, 0));
}

static void set_pause(struct line *line, enum pause_place place)
{
	pthread_mutex_lock(&line->world->lock);
	script_entry(line, 0)->pause = place;
	pthread_mutex_unlock(&line->world->lock);
}

static void pause_entry(struct line *line)
{
	set_pause(line, PAUSE_ANYWHERE);
}

static void pause_before_claim(struct line *line)
{
	set_pause(line, PAUSE_BEFORE_CLAIM);
}

static void pause_before_send(struct line *line)
{
	set_pause(line, PAUSE_BEFORE_SEND);
}

static void resume_entry(struct line *line)
{
	world_resume(line->world, script_entry(line, 0));
}

static void set_cut(struct line *line, bool cut)
{
	pthread_mutex_lock(&line->world->lock);
	script_entry(line, 0)->cut_from_store = cut;
	pthread_mutex_unlock(&line->world->lock);
}

static void cut_entry(struct line *line)
{
	set_cut(line, true);
}

static void join_entry(struct line *line)
{
	set_cut(line, false);
}

/* the store */

static void set_store(struct line *line, enum store_mode mode)
{
	pthread_mutex_lock(&line->world->lock);
	line->world->store_mode = mode;
	pthread_mutex_unlock(&line->world->lock);
}

static void store_answers(struct line *line)
{
	set_store(line, STORE_ANSWERS);
}

static void store_loses_answers(struct line *line)
{
	set_store(line, STORE_LOSES_ANSWERS);
}

static void store_is_down(struct line *line)
{
	set_store(line, STORE_DOWN);
}

static void store_is_read_only(struct line *line)
{
	set_store(line, STORE_READ_ONLY);
}

/* backend servers */

struct server_word {
	const char *word;
	enum server_mode mode;
};

static const struct server_word server_words[] = {
	{ "recovers", SERVER_ANSWERS },
	{ "releases", SERVER_ANSWERS },
	{ "loses-answers", SERVER_LOSES_ANSWERS },
	{ "truncates", SERVER_TRUNCATES },
	{ "times-out", SERVER_TIMES_OUT },
	{ "refuses", SERVER_REFUSES },
	{ "disappears", SERVER_UNREACHABLE },
	{ "crashes", SERVER_CRASHES },
	{ "answers-others", SERVER_ANSWERS_OTHERS },
	{ "holds-requests", SERVER_HOLDS_REQUESTS },
	{ "holds-answers", SERVER_HOLDS_ANSWERS },
};

static void set_server(struct line *line)
{
	size_t i;

	for (i = 0; i < ARRAY_SIZE(server_words); i++)
		if (!strcmp(server_words[i].word, line->stars[1])) {
			world_set_server(line->world, script_server(line, 0),
					 server_words[i].mode);
			return;
		}
	script_fail(line, "a backend server does not do this");
}

struct asked {
	const struct world_server *server;
	uint32_t count;
};

static bool is_asked(void *context)
{
	const struct asked *asked = context;

	return asked->server->asked >= asked->count;
}

static void await_asked(struct line *line)
{
	struct asked asked = { script_server(line, 0),
			       (uint32_t)atoi(line->stars[1]) };

	world_await(line->world, is_asked, &asked, "requests at the server");
}

/* orders */

static void order_at(struct line *line)
{
	struct world_order *order = script_order(line, 0);

	world_issue_key(order, script_entry(line, 1));
	world_run_order(line->world, order, script_entry(line, 1), NULL);
}

static void plain_order_at(struct line *line)
{
	struct world_order *order = script_order(line, 0);

	world_plain_key(order);
	world_run_order(line->world, order, script_entry(line, 1), NULL);
}

static void order_with_body(struct line *line)
{
	struct world_order *order = script_order(line, 0);

	world_issue_key(order, script_entry(line, 2));
	world_run_order(line->world, order, script_entry(line, 2),
			line->stars[1]);
}

static void issue(struct line *line)
{
	world_issue_key(script_order(line, 0), script_entry(line, 1));
}

struct started {
	struct world *world;
	struct world_order *order;
	struct world_entry *at;
};

static void *run_started(void *context)
{
	struct started *started = context;

	world_run_order(started->world, started->order, started->at, NULL);
	g_free(started);
	return NULL;
}

static void start_order(struct line *line)
{
	struct started *started = g_new0(struct started, 1);

	world_begin(line->world);
	started->world = line->world;
	started->order = script_order(line, 0);
	started->at = script_entry(line, 1);
	world_issue_key(started->order, started->at);
	if (started->order->thread)
		script_fail(line, "the order has a request in progress already");
	started->order->thread = g_thread_new("order", run_started, started);
}

static void await_order(struct line *line)
{
	struct world_order *order = script_order(line, 0);

	if (!order->thread)
		script_fail(line, "the order has no request in progress");
	g_thread_join(order->thread);
	order->thread = NULL;
}

struct recorded {
	struct world *world;
	const struct world_order *order;
};

static bool is_recorded(void *context)
{
	const struct recorded *recorded = context;

	return world_is_recorded(recorded->world, recorded->order);
}

static void await_recorded(struct line *line)
{
	struct recorded recorded = { line->world, script_order(line, 0) };

	world_await(line->world, is_recorded, &recorded,
		    "the store holds the order's outcome");
}

static void await_late(struct line *line)
{
	world_join_late(line->world);
}

static bool is_paused(void *context)
{
	const struct world_entry *entry = context;

	return entry->paused_count;
}

static void await_paused(struct line *line)
{
	world_await(line->world, is_paused, script_entry(line, 0),
		    "the entry VM reaches its pause");
}

static bool is_unclaimed(void *context)
{
	return ((const struct world_entry *)context)->entry.unclaimed;
}

static bool is_claimed(void *context)
{
	return !is_unclaimed(context);
}

static void await_unclaimed(struct line *line)
{
	world_await(line->world, is_unclaimed, script_entry(line, 0),
		    "the entry VM goes without claims");
}

static void await_claimed(struct line *line)
{
	/* the claims thread looks for the store once in this time */
	world_advance_ms(line->world, 2000);
	world_await(line->world, is_claimed, script_entry(line, 0),
		    "the entry VM claims again");
}

static void read_at(struct line *line)
{
	world_run_read(line->world, script_entry(line, 1), line->stars[0]);
}

static void run_words(struct line *line);

/** "at 10s COMMAND": advances the clock to that time first. */
static void at_time(struct line *line)
{
	struct line rest = *line;
	int64_t due_ns = line->world->started_ns +
			 duration_ms(line, line->words[1]) * NS_PER_MS;

	if (due_ns < line->world->manual.now_ns)
		script_fail(line, "this time has passed");
	world_advance_ms(line->world,
			 (due_ns - line->world->manual.now_ns) / NS_PER_MS);
	memmove(rest.words, line->words + 2,
		(WORDS_MAX - 2) * sizeof(*rest.words));
	rest.word_count -= 2;
	run_words(&rest);
}

static const struct command commands[] = {
	{ "entry * in *", add_entry },
	{ "server * slots *", add_server },
	{ "advance *", advance },
	{ "entry * dies", kill_entry },
	{ "entry * restarts", restart_entry },
	{ "entry * pauses", pause_entry },
	{ "entry * pauses before claim", pause_before_claim },
	{ "entry * pauses before send", pause_before_send },
	{ "entry * resumes", resume_entry },
	{ "entry * loses the store", cut_entry },
	{ "entry * finds the store", join_entry },
	{ "store answers", store_answers },
	{ "store loses answers", store_loses_answers },
	{ "store is down", store_is_down },
	{ "store is read-only", store_is_read_only },
	{ "await server * asked *", await_asked },
	{ "await entry * paused", await_paused },
	{ "await entry * unclaimed", await_unclaimed },
	{ "await entry * claimed", await_claimed },
	{ "server * *", set_server },
	{ "key of order * from *", issue },
	{ "order * at *", order_at },
	{ "plain order * at *", plain_order_at },
	{ "order * body * at *", order_with_body },
	{ "start order * at *", start_order },
	{ "await late requests", await_late },
	{ "await order * recorded", await_recorded },
	{ "await order *", await_order },
	{ "read * at *", read_at },
	{ "expect order * runs at most once", script_expect_at_most_once },
	{ "expect order * runs *", script_expect_runs },
	{ "expect order * told *", script_expect_told },
	{ "expect order * status *", script_expect_status },
	{ "expect server * ran *", script_expect_server_ran },
	{ "expect read told *", script_expect_read_told },
	{ "expect read attempts *", script_expect_read_attempts },
};

static bool matches(struct line *line, const char *pattern)
{
	char **parts = g_strsplit(pattern, " ", -1);
	bool same = (int)g_strv_length(parts) == line->word_count;
	int stars = 0;
	int i;

	for (i = 0; same && i < line->word_count; i++) {
		if (!strcmp(parts[i], "*"))
			line->stars[stars++] = line->words[i];
		else
			same = !strcmp(parts[i], line->words[i]);
	}
	g_strfreev(parts);
	return same;
}

static void run_words(struct line *line)
{
	size_t i;

	if (line->word_count > 2 && !strcmp(line->words[0], "at")) {
		at_time(line);
		return;
	}
	for (i = 0; i < ARRAY_SIZE(commands); i++)
		if (matches(line, commands[i].pattern)) {
			commands[i].run(line);
			return;
		}
	script_fail(line, "not a command of the language");
}

static GScanner *scanner_for(const char *text)
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
		script_fail(line, "the line has too many words");
	line->words[line->word_count++] = g_strdup(word);
}

static void end_line(struct line *line)
{
	int i;

	if (line->word_count)
		run_words(line);
	for (i = 0; i < line->word_count; i++)
		g_free(line->words[i]);
	line->word_count = 0;
}

void script_run(const char *file_name)
{
	struct line line = { .world = world_new(), .number = 1 };
	GScanner *scanner;
	GTokenType token;
	char *text;

	line.file_name = strrchr(file_name, '/') + 1;
	if (!g_file_get_contents(file_name, &text, NULL, NULL))
		g_error("cannot read %s", file_name);
	scanner = scanner_for(text);
	while ((token = g_scanner_get_next_token(scanner)) != G_TOKEN_EOF) {
		if (token == G_TOKEN_IDENTIFIER) {
			line.number = (int)scanner->line;
			add_word(&line, scanner->value.v_identifier);
		} else if (token == '\n') {
			end_line(&line);
		} else {
			line.number = (int)scanner->line;
			script_fail(&line, "not a word of the language");
		}
	}
	end_line(&line);
	world_check(line.world);
	g_scanner_destroy(scanner);
	g_free(text);
	world_free(line.world);
}
