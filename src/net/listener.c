#include "net/listener.h"

#include <errno.h>
#include <string.h>

#include "base/log.h"

/* Connections the kernel queues for accept; it drops any beyond them. */
#define BACKLOG 511

struct evconnlistener *listener_open(struct event_base *base, const char *address,
				     evconnlistener_cb accepted, void *context)
{
	struct evconnlistener *listener;
	struct sockaddr_in socket_address;

	if (!tcp_parse_address(address, &socket_address)) {
		log_error("net", "address is not IPv4:port address=\"%s\"",
			  address);
		return NULL;
	}
	listener = evconnlistener_new_bind(
		base, accepted, context,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
		BACKLOG, (const struct sockaddr *)&socket_address,
		sizeof(socket_address));
	if (!listener)
		log_error("net",
			  "cannot listen for connections address=%s error=\"%s\"",
			  address, strerror(errno));
	return listener;
}
