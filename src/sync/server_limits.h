#ifndef SYNC_SERVER_LIMITS_H
#define SYNC_SERVER_LIMITS_H

#include "proxy/proxy_defs.h"
#include "request/message_defs.h"

/**
 * @file
 * Keeps the limits that backend servers set on the rate of requests from all
 * entry VMs together, and lets VMs that send nothing to such a server know of
 * changes through the store. Event loop's thread.
 */

struct server_limits;

/** Prefix of the keys of reports; followed by the server's id. */
#define LIMIT_KEY_PREFIX FLEET_KEY_PREFIX "limit/"

/** @return limits that the caller frees before the servers. */
struct server_limits *server_limits_new(struct proxy *proxy);
void server_limits_free(struct server_limits *limits);

/** Records what a response says of its server's limit. */
void server_limits_record_response(struct server_limits *limits,
				   struct server *server,
				   const struct response_meta *meta);

/** Applies a report in the store; text that is invalid is logged and ignored. */
void server_limits_put_report(struct server_limits *limits, const char *server_id,
			      const char *text, size_t bytes);
void server_limits_remove_report(struct server_limits *limits,
				 const char *server_id);

/** Applies a report that was read before the server was listed. */
void server_limits_on_listed(struct server_limits *limits, const char *server_id);

/** @return 0 if this VM may send the server a request now; otherwise the time
 * until this VM, or another one, may. */
uint32_t server_limits_wait_ms(const struct proxy *proxy, struct server *server,
			       int64_t now_ms);

/** @return whether this VM is one of those that may send to the server. */
bool server_limits_is_sender(const struct proxy *proxy, struct server *server);

/** Counts a request that is about to be sent. */
void server_limits_count_sent(struct server *server);

/** @return the number of slots that requests within the limit can occupy. */
uint32_t server_limits_usable_slots(const struct server *server, double run_ms);

#endif
