#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

#include <event2/event.h>
#include <stdbool.h>
#include <sys/types.h>

#include "proxy.h"

/**
 * @file
 * The processes of a soak: the stand-in of the platform and the entry VMs, on
 * loopback, with proxies between them.
 */

#define FLEET_DOMAINS 3
#define FLEET_VMS_MAX 60
#define FLEET_SERVERS_MAX 64
#define ADDRESS_BYTES 32

struct fleet_vm {
	char name[16];
	uint32_t domain;
	pid_t pid; /**< 0: not running */
	bool paused;
	bool stopping; /**< was told to stop */
	char requests[ADDRESS_BYTES];
	char ready[ADDRESS_BYTES];
	char directory[ADDRESS_BYTES];
	char metrics[ADDRESS_BYTES];
	char relay[ADDRESS_BYTES];
	char store[ADDRESS_BYTES]; /**< its link to the store */
	struct proxy_link *store_link;
	struct event *start; /**< when it is to be started again */
};

struct fleet_server {
	char id[16];
	uint32_t domain;
	bool gone;
	struct proxy_link *link;
};

struct fleet {
	struct event_base *base;
	const char *build; /**< folder of the programs */
	const char *out;   /**< folder of logs and settings */
	char store[ADDRESS_BYTES];
	char control[ADDRESS_BYTES];
	pid_t platform;
	struct fleet_vm vms[FLEET_VMS_MAX];
	uint32_t vm_count;
	struct fleet_server servers[FLEET_SERVERS_MAX];
	uint32_t server_count;
	uint32_t version;  /**< of the newest configuration */
	uint32_t own_ends; /**< VMs that ended although nobody made them */
};

extern const char *const fleet_domains[FLEET_DOMAINS];
/** The region of each failure domain. */
extern const char *const fleet_regions[FLEET_DOMAINS];

/** Starts the platform, then the VMs and servers when it answers. */
bool fleet_start(struct fleet *fleet, uint32_t vm_count);

/** Ends every process that the soak started, and no other. */
void fleet_stop(struct fleet *fleet);

void fleet_start_vm(struct fleet *fleet, struct fleet_vm *vm);
/** Sends a signal to a VM that runs. */
void fleet_signal_vm(struct fleet *fleet, struct fleet_vm *vm, int signal);
/** Lets a VM start after `ms`, once it has ended. */
void fleet_start_vm_later(struct fleet *fleet, struct fleet_vm *vm, int64_t ms);

/** Adds a backend server to a failure domain. */
void fleet_add_server(struct fleet *fleet, uint32_t domain);

/** Steers the platform: POST `json` to `target`. */
void fleet_steer(struct fleet *fleet, const char *target, const char *format,
		 ...) __attribute__((format(printf, 3, 4)));

/** Publishes the next version: the routes of before and one of its own. */
void fleet_publish(struct fleet *fleet);

#endif
