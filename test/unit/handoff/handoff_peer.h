#ifndef TEST_UNIT_HANDOFF_HANDOFF_PEER_H
#define TEST_UNIT_HANDOFF_HANDOFF_PEER_H

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "net/listener.h"
#include "unit/handoff/handoff_vm.h"

/** @file A fake entry VM e2 to which e1 passes requests on. */

#define REQUEST_HEAD                                       \
	"POST /note HTTP/1.1\r\nHost: a.example\r\n"       \
	"Authorization: Bearer k\r\nConnection: X-Hop\r\n" \
	"X-Hop: 1\r\nRequest-Id: r1\r\n"
#define REQUEST REQUEST_HEAD "Deadline-Ms: 800\r\n\r\n"
#define SUCCESS                              \
	"HTTP/1.1 200 OK\r\n" SERVER_HEADERS \
	"From: e2\r\nContent-Length: 0\r\n\r\n"
#define ERROR(status, headers)                                 \
	"HTTP/1.1 " status " No\r\nRequest-Id: r1\r\n" headers \
	"Content-Length: 0\r\n\r\n"
#define DECLINED ERROR("503", "Not-Executed: 1\r\nHandoff-Declined: 1\r\n")
/* A response whose body breaks off. */
#define CUT                                  \
	"HTTP/1.1 200 OK\r\n" SERVER_HEADERS \
	"Content-Length: 100\r\n\r\nten bytes."
#define PEERS_MAX 8

/* The other VM. Its nth request gets the nth response; after the last one, all
 * get this. An empty one closes the connection, NULL leaves it open. */
static struct {
	char address[32];
	struct evconnlistener *listener;
	struct bufferevent *connections[PEERS_MAX];
	uint32_t connection_count;
	const char *const *responses;
	uint32_t response_count;
	uint32_t requests;
	uint32_t closed; /* connections that this VM closed */
	char last[4096]; /* request */
	bool reads_late; /* nothing from new connections, until told */
} peer;

static inline void on_peer_read(struct bufferevent *bev, void *context)
{
	const char *text =
		peer.responses[MIN(peer.requests, peer.response_count - 1)];
	size_t bytes = bufferevent_read(bev, peer.last, sizeof(peer.last) - 1);

	(void)context;
	peer.last[bytes] = '\0';
	if (!strstr(peer.last, "HTTP/1.1\r\n"))
		return; /* more of a body */
	peer.requests++;
	if (!text)
		return;
	if (*text)
		bufferevent_write(bev, text, strlen(text));
	else
		shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

static inline void on_peer_written(struct bufferevent *bev, void *context)
{
	(void)context;
	if (peer.responses[0] && strstr(peer.responses[0], "ten bytes") &&
	    peer.requests == 1)
		shutdown(bufferevent_getfd(bev), SHUT_RDWR);
}

static inline void on_peer_event(struct bufferevent *bev, short what,
				 void *context)
{
	(void)context;
	if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
		peer.closed++;
		bufferevent_disable(bev, EV_READ | EV_WRITE);
	}
}

static inline void on_peer_accept(struct evconnlistener *listener,
				  evutil_socket_t fd, struct sockaddr *address,
				  int length, void *context)
{
	struct bufferevent *bev =
		bufferevent_socket_new(proxy.base, fd, BEV_OPT_CLOSE_ON_FREE);

	(void)listener;
	(void)address;
	(void)length;
	(void)context;
	g_assert_cmpuint(peer.connection_count, <, PEERS_MAX);
	peer.connections[peer.connection_count++] = bev;
	bufferevent_setcb(bev, on_peer_read, on_peer_written, on_peer_event,
			  NULL);
	bufferevent_enable(bev, EV_WRITE);
	if (peer.reads_late)
		bufferevent_disable(bev, EV_READ);
	else
		bufferevent_enable(bev, EV_READ);
}

static inline void setup_peer(bool idempotent, const char *const *responses,
			      uint32_t response_count)
{
	int tries;

	memset(&peer, 0, sizeof(peer));
	peer.responses = responses;
	peer.response_count = response_count;
	setup_handoff(idempotent);
	for (tries = 0; tries < 20 && !peer.listener; tries++) {
		g_snprintf(peer.address, sizeof(peer.address), "127.0.0.1:%d",
			   g_random_int_range(20000, 32000));
		peer.listener = listener_open(proxy.base, peer.address,
					      on_peer_accept, NULL);
	}
	g_assert_nonnull(peer.listener);
	/* e2 is the only VM that the server can be assigned to; e1 is listed,
	 * without which it would not hand off */
	put_vm_in("e1", "fyn-b", settings.handoff_address);
	put_vm("e2", peer.address);
	run_ms(20);
}

/* For one response to all requests. */
static inline void setup_peer_responding(bool idempotent,
					 const char *const *response)
{
	setup_peer(idempotent, response, 1);
}

static inline void close_peer_listener(void)
{
	if (peer.listener)
		evconnlistener_free(peer.listener);
	peer.listener = NULL;
}

static inline void teardown_peer(void)
{
	uint32_t i;

	close_peer_listener();
	for (i = 0; i < peer.connection_count; i++)
		bufferevent_free(peer.connections[i]);
	teardown_handoff();
}

/* @return the response that arrives within a time, which the caller frees. */
static inline char *request_for_ms(uint32_t ms)
{
	int fd = send_text(REQUEST, caller_accept);
	char *text;

	run_ms(ms);
	text = read_text(fd);
	close(fd);
	return text;
}

static inline int request_status(void)
{
	char *text = request_for_ms(100);
	int status = status_of(text);

	g_free(text);
	return status;
}

/* The server of another region, without a VM to hand off to. */
static inline struct responder *put_remote_server(void)
{
	struct server_entry entry = {
		.id = (char *)"s3",
		.service = (char *)"reg",
		.failure_domain = (char *)"jyl-a",
		.version = (char *)"v1",
		.slots = 4,
	};
	struct responder *responder =
		listen_anywhere(handle_backend_request, NULL, &entry.address);

	servers_put(proxy.servers, &entry);
	return responder;
}

static inline void remove_remote_server(struct responder *responder)
{
	struct server *s3 = servers_find(proxy.servers, "s3");

	while (s3->idle)
		pool_discard(s3->idle);
	responder_free(responder);
	servers_remove(proxy.servers, "s3");
}

/* Enough requests that one may go on to another region. */
static inline void allow_other_region(void)
{
	struct service_state *state =
		g_hash_table_lookup(proxy.service_states, "reg");

	g_assert_nonnull(state);
	state->region_share.routes[0].count = 1000;
}

#endif
