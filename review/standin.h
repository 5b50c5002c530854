#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/**
 * @file
 * Stand-ins for the cases of the review: the platform's store, blocking HTTP
 * connections for backend servers and callers, and entry VM processes. Each
 * connection has its own thread. All addresses are on 127.0.0.1.
 */

enum case_result { RULE_HELD, RULE_BROKEN, NOT_RUN };

/** Bytes of a message's head, with its NUL. */
#define HEAD_BYTES_MAX 16384

/** A connection with what was read from it and not used yet. */
struct link {
	int fd;
	size_t used;
	char input[HEAD_BYTES_MAX];
};

/** Head of a message, and its body unless it was left on the connection. */
struct message {
	char head[HEAD_BYTES_MAX];
	char *body;
	size_t body_bytes;
};

/** Opens the record, a temporary folder and the handler that ends the processes
 * on a signal or after 110 s. */
void case_begin(void);

/** Ends all processes that were started, and exits. */
void case_end(enum case_result result) __attribute__((noreturn));

/** Whether the case runs with its disruption. */
bool case_has_trouble(void);

/** Writes a line with the time since the start to the record. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** Ends the case as not run. */
void give_up(const char *why) __attribute__((noreturn));

int64_t now_ms(void);
void sleep_ms(int64_t ms);
void start_thread(void *(*run)(void *), void *context);

/** @return a listening socket on a free port. */
int listen_anywhere(uint16_t *port);

/** @return a listening socket on a port that was free before. */
int listen_again(uint16_t port);

/** Closes a listening socket, so that connections to its port are refused. */
void stop_listening(int fd);

/** Calls `serve` in a thread of its own for each connection. */
void serve_connections(int fd, void (*serve)(struct link *link, void *context),
		       void *context);

/**
 * Connects to a port of this machine.
 *
 * @param window_bytes size of the receive buffer, and `segment_bytes` largest
 * segment, as on a slow line; 0: as usual.
 */
int connect_to(uint16_t port, int window_bytes, int segment_bytes);

bool write_all(int fd, const void *data, size_t bytes);
bool write_text(int fd, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Reads a head; its body stays on the connection. */
bool read_head(struct link *link, struct message *message);

/** Reads the body that the head announces with Content-Length. */
bool read_body(struct link *link, struct message *message);

/** Copies a header's value, or "". @return whether the header is there. */
bool get_header(const struct message *message, const char *name, char *out,
		size_t bytes);

/** @return the status of a response's head. */
int get_status(const struct message *message);

/** The store's port, once store_start() has returned. */
extern uint16_t store_port;

/** A port of its own on which the store serves one machine. */
struct store_door {
	uint16_t port;
	bool refuses;
};

/** Starts the store. */
void store_start(void);
void store_open_door(struct store_door *door);

/** Turns the machine away with 503, and cuts its connections, or serves it. */
void store_refuse(struct store_door *door, bool refuses);
void store_put(const char *key, const char *value);
void store_remove(const char *key);

/**
 * Writes the entry of a backend server to the store.
 *
 * @param start counts the starts at the address.
 */
void store_put_server(const char *id, const char *service, const char *zone,
		      uint16_t port, int slots, int start);

/** An entry VM's process. */
struct entry_vm {
	char name[32];
	char zone[32];
	char settings[256];
	char log[256];
	uint16_t request_port;
	uint16_t ready_port;
	uint16_t directory_port;
	uint16_t metrics_port;
	uint16_t relay_port;
	uint16_t store_port; /* 0: the common one */
	pid_t pid;
	bool was_started;
};

/** Starts target/auburnreach-entry with the settings of the deploy file. */
void entry_start(struct entry_vm *vm, const char *name, const char *zone);

/** Waits until the VM responds to readiness checks. */
void entry_wait_ready(const struct entry_vm *vm);

/** @return whether the VM responds to readiness checks. */
bool entry_is_ready(const struct entry_vm *vm);

/** @return whether the process has ended; its status goes to the record. */
bool entry_has_ended(struct entry_vm *vm);

#endif
