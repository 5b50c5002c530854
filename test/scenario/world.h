#ifndef TEST_SCENARIO_WORLD_H
#define TEST_SCENARIO_WORLD_H

#include <glib.h>
#include <pthread.h>

#include "entry/entry_defs.h"

/**
 * @file
 * A few entry VMs in one process, with a store and backend servers that are
 * fakes at the interfaces, on a clock that only the scenario advances. The
 * parts of the daemon that decide are the real ones.
 */

#define WORLD_NAMES_MAX 16

enum store_mode {
	STORE_ANSWERS,
	STORE_LOSES_ANSWERS, /* writes take effect, the answer is lost */
	STORE_DOWN,
	STORE_READ_ONLY,
};

enum server_mode {
	SERVER_ANSWERS,
	SERVER_LOSES_ANSWERS, /* runs, then the connection breaks */
	SERVER_TRUNCATES,     /* runs, then answers in part */
	SERVER_TIMES_OUT,     /* runs, and never answers */
	SERVER_REFUSES,	      /* proves that it did not run */
	SERVER_UNREACHABLE,
	SERVER_CRASHES,	       /* runs, breaks, and is gone */
	SERVER_ANSWERS_OTHERS, /* runs, answers with another request's id */
	SERVER_HOLDS_REQUESTS, /* waits before it runs */
	SERVER_HOLDS_ANSWERS,  /* runs, waits before it answers */
};

enum pause_place {
	PAUSE_NONE,
	PAUSE_BEFORE_CLAIM,
	PAUSE_BEFORE_SEND,
	PAUSE_ANYWHERE,
};

struct world;

struct world_server {
	char name[32];
	char address[32];
	enum server_mode mode;
	uint32_t slots;
	uint32_t ran;
	uint32_t asked;
};

struct world_entry {
	struct entry entry;
	struct world *world;
	char name[32];
	char failure_domain[32];
	bool dead;
	bool cut_from_store;
	enum pause_place pause;
	uint32_t paused_count; /* threads that wait in the pause */
	uint32_t restarts;
};

struct world_attempt {
	enum verdict verdict;
	uint32_t status;
};

/** A caller's order, over all its attempts. */
struct world_order {
	char label[32];
	char key[ORDER_KEY_BYTES_MAX];
	GArray *attempts; /* struct world_attempt */
	uint32_t runs;
	uint32_t runs_by_body; /* of the body it was first sent with */
	GThread *thread;
};

struct world {
	struct clock_manual manual;
	struct clock clock;
	int64_t started_ns;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct world_entry *entries[WORLD_NAMES_MAX];
	uint32_t entry_count;
	struct world_server servers[WORLD_NAMES_MAX];
	uint32_t server_count;
	GPtrArray *orders;  /* struct world_order */
	GPtrArray *retired; /* entries that died; freed at the end */
	GPtrArray *late;    /* threads of requests that a pause delayed */
	enum store_mode store_mode;
	GHashTable *data; /* key -> struct world_value */
	uint64_t revision;
	uint32_t read_attempts;
	enum verdict read_verdict;
	bool began;
};

struct world *world_new(void);
void world_free(struct world *world);

/** Adds before world_begin(). */
void world_add_entry(struct world *world, const char *name,
		     const char *failure_domain);
void world_add_server(struct world *world, const char *name,
		      const char *failure_domain, uint32_t slots);

/** Publishes the document to all entry VMs. */
void world_begin(struct world *world);

/** @return the named one; fails the test if there is none. */
struct world_entry *world_entry(struct world *world, const char *name);
struct world_server *world_server(struct world *world, const char *name);
struct world_order *world_order(struct world *world, const char *label);

/** Runs one attempt of an order at an entry VM; blocks. */
void world_run_order(struct world *world, struct world_order *order,
		     struct world_entry *at, const char *body);

/** Runs one idempotent request. */
void world_run_read(struct world *world, struct world_entry *at,
		    const char *path);

/** Gives the order a key without a look-up's prefix. */
void world_plain_key(struct world_order *order);

/** Gives the order the key that a look-up would hand out now for `home`. */
void world_issue_key(struct world_order *order, struct world_entry *home);

void world_advance_ms(struct world *world, int64_t ms);

/** The process ends at once; what it had in progress is cut off. */
void world_kill(struct world *world, struct world_entry *entry);

/** A new process under the same name. */
void world_restart(struct world *world, struct world_entry *entry);

void world_resume(struct world *world, struct world_entry *entry);

/** Sets a server's behaviour and wakes what waits for it. */
void world_set_server(struct world *world, struct world_server *server,
		      enum server_mode mode);

/** Waits until requests that a pause delayed have ended. */
void world_join_late(struct world *world);

/** @return whether the store holds the outcome of an order. Lock held. */
bool world_is_recorded(struct world *world, const struct world_order *order);

/** The store's faces, in fake_store.c. */
struct store world_store(struct world_entry *entry);

/** Waits, in real time and bounded, until `holds` is true. */
void world_await(struct world *world, bool (*holds)(void *context),
		 void *context, const char *what);

/** Blocks while the entry is paused at a place. @return false if it died. */
bool world_pass_pause(struct world_entry *entry, enum pause_place place);

/** Fails the test if a promise about orders is broken. */
void world_check(struct world *world);

#endif
