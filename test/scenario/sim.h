#ifndef TEST_SCENARIO_SIM_H
#define TEST_SCENARIO_SIM_H

#include <glib.h>
#include <pthread.h>

#include "entry/entry_defs.h"

/**
 * @file
 * Simulates a small deployment in one process: entry VMs that run the daemon's
 * real decision code, with fakes behind its transport, fleet and store
 * interfaces, and a manual clock that only the scenario advances.
 */

#define SIM_NODES_MAX 16

enum store_mode {
	STORE_MODE_RESPONDS,
	STORE_MODE_LOSES_RESPONSES, /* writes succeed, response is lost */
	STORE_MODE_DOWN,
	STORE_MODE_READ_ONLY,
};

enum server_mode {
	SERVER_MODE_RESPONDS,
	SERVER_MODE_LOSES_RESPONSES, /* runs, then the connection is lost */
	SERVER_MODE_TRUNCATES,	     /* runs, then responds incompletely */
	SERVER_MODE_TIMES_OUT,	     /* runs, but never responds */
	SERVER_MODE_REFUSES,	     /* responds that it did not run */
	SERVER_MODE_UNREACHABLE,
	SERVER_MODE_CRASHES,	      /* runs, loses the response, stays down */
	SERVER_MODE_WRONG_REQUEST_ID, /* runs, responds with another id */
	SERVER_MODE_HOLDS_REQUESTS,   /* waits, then runs and responds */
	SERVER_MODE_HOLDS_RESPONSES,  /* runs, waits, then responds */
};

enum pause_point {
	PAUSE_NONE,
	PAUSE_BEFORE_CLAIM,
	PAUSE_BEFORE_SEND,
	PAUSE_ANYWHERE, /* the whole process is suspended */
};

struct sim;

struct sim_server {
	char name[32];
	char address[32];
	enum server_mode mode;
	uint32_t slots;
	uint32_t requests_run;
	uint32_t requests_received;
};

struct sim_entry {
	struct entry entry;
	struct sim *sim;
	char name[32];
	char failure_domain[32];
	bool dead;
	bool cut_from_store;
	enum pause_point pause;
	uint32_t paused_threads; /* threads in sim_wait_while_paused() */
	uint32_t restart_count;
};

struct sim_attempt {
	enum verdict verdict;
	uint32_t status;
};

/** An order of a caller, with all attempts made under its key. */
struct sim_order {
	char label[32];
	char key[ORDER_KEY_BYTES_MAX];
	GArray *attempts; /* struct sim_attempt */
	uint32_t run_count;
	uint32_t runs_by_body; /* with the body of the first attempt */
	GThread *thread;
};

struct sim {
	struct clock_manual manual_clock;
	struct clock clock;
	int64_t started_ns;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct sim_entry *entries[SIM_NODES_MAX];
	uint32_t entry_count;
	struct sim_server servers[SIM_NODES_MAX];
	uint32_t server_count;
	GPtrArray *orders;	 /* struct sim_order */
	GPtrArray *dead_entries; /* replaced by a restart; freed at the end */
	GPtrArray *late_threads; /* of requests sent to a suspended entry VM */
	enum store_mode store_mode;
	GHashTable *values; /* key -> struct sim_value */
	uint64_t revision;
	uint32_t read_attempts;
	enum verdict read_verdict;
	bool document_published;
};

struct sim *sim_new(void);
void sim_free(struct sim *sim);

/** Call these before sim_publish_document(). */
void sim_add_entry(struct sim *sim, const char *name, const char *failure_domain);
void sim_add_server(struct sim *sim, const char *name,
		    const char *failure_domain, uint32_t slots);

/** Applies the document on every entry VM; later calls do nothing. */
void sim_publish_document(struct sim *sim);

/** @return the entry VM or server of this name; fails the test if none. */
struct sim_entry *sim_find_entry(struct sim *sim, const char *name);
struct sim_server *sim_find_server(struct sim *sim, const char *name);

/** @return the order with this label, created on first use. */
struct sim_order *sim_get_order(struct sim *sim, const char *label);

/**
 * Makes one attempt of an order at an entry VM and records the verdict and
 * status that the caller gets. Blocks until the attempt has ended.
 *
 * @param body NULL: the default body.
 */
void sim_send_order(struct sim *sim, struct sim_order *order,
		    struct sim_entry *vm, const char *body);

/** Sends one idempotent request and records its outcome; blocks. */
void sim_send_read(struct sim *sim, struct sim_entry *vm, const char *path);

/** Sets a key without a look-up's prefix, unless the order has a key. */
void sim_set_plain_key(struct sim_order *order);

/**
 * Sets the key that a look-up would issue now with `home` as its home, unless
 * the order has a key.
 */
void sim_issue_key(struct sim_order *order, struct sim_entry *home);

void sim_advance_ms(struct sim *sim, int64_t ms);

/**
 * Simulates a crash of the process. Paused requests end; callers of requests in
 * progress get VERDICT_MAY_HAVE_RUN.
 */
void sim_kill_entry(struct sim *sim, struct sim_entry *entry);

/** Kills the entry VM and starts a new one of the same name. */
void sim_restart_entry(struct sim *sim, struct sim_entry *entry);

/** Ends a pause. */
void sim_resume_entry(struct sim *sim, struct sim_entry *entry);

/** Sets a server's mode and wakes the requests that the old mode held. */
void sim_set_server_mode(struct sim *sim, struct sim_server *server,
			 enum server_mode mode);

/** Waits until requests sent to a suspended entry VM have ended. */
void sim_join_late_requests(struct sim *sim);

/**
 * @return whether the store has the outcome VERDICT_RAN for the order. The
 * caller holds the lock.
 */
bool sim_is_outcome_recorded(struct sim *sim, const struct sim_order *order);

/** @return a store interface of the entry VM that uses the fake store. */
struct store sim_fake_store(struct sim_entry *entry);

/**
 * Polls `condition` under the lock until it is true. Fails the test after a
 * timeout in real time.
 *
 * @param what names the condition in the error message.
 */
void sim_wait_until(struct sim *sim, bool (*condition)(void *context),
		    void *context, const char *what);

/**
 * Blocks while the entry VM is paused at this point.
 *
 * @return false if the entry VM was killed.
 */
bool sim_wait_while_paused(struct sim_entry *entry, enum pause_point point);

/** Fails the test if an order ran twice or against the verdict reported. */
void sim_check_orders(struct sim *sim);

#endif
