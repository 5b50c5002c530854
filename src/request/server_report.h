#ifndef REQUEST_SERVER_REPORT_H
#define REQUEST_SERVER_REPORT_H

#include "proxy/proxy_defs.h"
#include "request/message_defs.h"

/** @file Records what a response tells about its backend server. */

/** @param meta headers of a response to a request of this VM. */
void server_report_record(struct proxy *proxy, struct server *server,
			  const struct response_meta *meta, uint16_t status);

#endif
