#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

#include <event2/event.h>
#include <stdbool.h>
#include <sys/types.h>

#include "fault_proxy.h"
#include "plan.h"

/**
 * @file
 * The processes of a soak run on loopback: the platform stand-in and the entry
 * VMs, connected through fault-injecting proxies.
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
	bool runs_old;	 /**< starts the program of the earlier build */
	bool stopping;	 /**< SIGTERM or SIGKILL was sent */
	const char *cut; /**< mode of its connections to all servers, or NULL */
	char request_address[ADDRESS_BYTES];
	char ready_address[ADDRESS_BYTES];
	char directory_address[ADDRESS_BYTES];
	char metrics_address[ADDRESS_BYTES];
	char relay_address[ADDRESS_BYTES];
	char handoff_address[ADDRESS_BYTES];
	char store_address[ADDRESS_BYTES]; /**< of store_proxy */
	struct fault_proxy *store_proxy;
	struct event *start_timer; /**< restarts the VM */
};

struct fleet_server {
	char id[16];
	uint32_t domain;
	bool removed;
	char listed_address[ADDRESS_BYTES]; /**< of proxy */
	struct fault_proxy *proxy;
};

/** Of the routes; a long one exceeds the time that a VM takes to stop. */
#define FLEET_TIMEOUT_MS 1500
#define FLEET_LONG_TIMEOUT_MS 6000
/** Time from SIGTERM to the kill of a VM that has not exited. */
#define FLEET_GRACE_MS 6000

struct fleet {
	struct event_base *base;
	const char *build_dir; /**< directory of the programs */
	const char *old_dir;   /**< programs of an earlier build; NULL: none */
	const char *out_dir;   /**< directory for logs and settings */
	char store_address[ADDRESS_BYTES];
	char control_address[ADDRESS_BYTES];
	pid_t platform;
	struct fleet_vm vms[FLEET_VMS_MAX];
	uint32_t vm_count;
	struct fleet_server servers[FLEET_SERVERS_MAX];
	uint32_t server_count;
	struct soak_servers server_shape;
	bool large_bodies;	   /**< of a route, see struct soak_plan */
	uint32_t version;	   /**< of the latest configuration */
	uint32_t unused_routes;	   /**< in it, to which no request goes */
	uint32_t unexpected_exits; /**< VM exits that the soak did not cause */
};

extern const char *const fleet_domains[FLEET_DOMAINS];
/** The region of each failure domain. */
extern const char *const fleet_regions[FLEET_DOMAINS];

/**
 * Starts the platform, and after a fixed delay the servers and VMs.
 *
 * @return false if the platform or a proxy cannot be started.
 */
bool fleet_start(struct fleet *fleet, uint32_t vm_count);

/** Kills the processes that the soak started, and no others. */
void fleet_stop(struct fleet *fleet);

void fleet_start_vm(struct fleet *fleet, struct fleet_vm *vm);
/** Sends a signal to a VM; does nothing if it is not running. */
void fleet_signal_vm(struct fleet *fleet, struct fleet_vm *vm, int signal);
/** Starts a VM after `ms`, or later if its process is still running then. */
void fleet_schedule_vm_start(struct fleet *fleet, struct fleet_vm *vm,
			     int64_t ms);

/** Applies fleet_vm.cut of each VM to its connections to backend servers, and
 * to its attempts to connect. */
void fleet_apply_cuts(struct fleet *fleet);

/** Adds a backend server to a failure domain. */
void fleet_add_server(struct fleet *fleet, uint32_t domain);

/** Sends the formatted JSON to the platform's control path `target`. */
void fleet_post_control(struct fleet *fleet, const char *target,
			const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** Publishes the next configuration version, which adds one route, and the
 * unused ones. */
void fleet_publish(struct fleet *fleet);

#endif
