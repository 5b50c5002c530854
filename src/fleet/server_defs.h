#ifndef FLEET_SERVER_DEFS_H
#define FLEET_SERVER_DEFS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** @file A backend server's entry in the platform's list. */

struct server_entry {
	char *id; /**< usually unique to one incarnation, see `start_unix_ms` */
	char *service;
	char *failure_domain;
	char *version;
	struct sockaddr_in address;
	uint32_t slots;
	bool draining;
	uint32_t cold_left_ms;
	/** Unix time of its start; a different value under the same id is a
	 * different incarnation. 0: unknown. */
	int64_t start_unix_ms;
	/** Counts the server's writes since its start; 0: unknown. */
	int64_t sequence;
};

#endif
