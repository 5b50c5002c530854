#ifndef FLEET_SERVER_DEFS_H
#define FLEET_SERVER_DEFS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** @file What a backend server says of itself in the platform's list. */

struct server_entry {
	char *id; /**< names one incarnation, mostly */
	char *service;
	char *failure_domain;
	char *version;
	struct sockaddr_in address;
	uint32_t slots;
	bool draining;
	uint32_t cold_left_ms;
	/** Unix time of its start in ms; another value under the same id is
	 * another incarnation. 0: not given. */
	int64_t born_ms;
};

#endif
