#ifndef TEST_UNIT_HANDOFF_HANDOFF_VM_H
#define TEST_UNIT_HANDOFF_HANDOFF_VM_H

#include "assign/assignment.h"
#include "handoff/handoff.h"
#include "unit/proxy/stopping_vm.h"

/**
 * @file
 * An entry VM e1 in this process, with one server s2 that responds, for tests
 * of requests that are passed on between VMs.
 */

/* The server's failure domain, one of the same region without servers, and one
 * of another region. */
static struct topology_domain handoff_domains[] = { { "fyn-a", "fyn" },
						    { "fyn-b", "fyn" },
						    { "jyl-a", "jyl" } };

#define SERVER_HEADERS "Request-Id: r1\r\nResponse-Stamp: a.b\r\n"

/* The server of this VM. */
static struct {
	struct responder *responder;
	uint32_t requests;
	bool refuses;
} backend;

static inline void handle_backend_request(void *context,
					  struct responder_request *request)
{
	char *headers =
		g_strdup_printf("Request-Id: %s\r\n%s\r\n",
				http_head_get(request->head, "Request-Id"),
				backend.refuses
					? "Not-Executed: 1"
					: "Response-Stamp: a.b\r\nFrom: server");

	(void)context;
	backend.requests++;
	responder_reply(request, backend.refuses ? 503 : 200, headers, NULL);
	g_free(headers);
}

static inline void put_server(const struct sockaddr_in *address)
{
	struct server_entry entry = {
		.id = (char *)"s2",
		.service = (char *)"reg",
		.failure_domain = (char *)"fyn-a",
		.version = (char *)"v1",
		.slots = 4,
	};

	entry.address = *address;
	servers_remove(proxy.servers, "s1");
	servers_put(proxy.servers, &entry);
}

/* Registers a VM. The server is assigned to a VM of its failure domain. */
static inline void put_vm_in(const char *name, const char *failure_domain,
			     const char *handoff_address)
{
	char *text =
		g_strdup_printf("{\"address\":\"127.0.0.1:1\",\"failure_domain\":\"%s\","
				"\"handoff_address\":\"%s\",\"weight\":500}",
				failure_domain, handoff_address);

	vms_put(proxy.vms, name, text, strlen(text));
	g_free(text);
}

static inline void put_vm(const char *name, const char *handoff_address)
{
	put_vm_in(name, "fyn-a", handoff_address);
}

static inline void setup_handoff(bool idempotent)
{
	struct sockaddr_in address;
	int tries;

	memset(&backend, 0, sizeof(backend));
	setup_requests(false);
	proxy.topology.domains = handoff_domains;
	proxy.topology.domain_count = G_N_ELEMENTS(handoff_domains);
	proxy.bounds.retry_extra = 100;
	proxy.bounds.retry_window_ms = 10000;
	proxy.config->has_large_bodies = true;
	proxy.config->routes[0].idempotent = idempotent;
	proxy.config->routes[0].kind =
		idempotent ? ROUTE_IDEMPOTENT : ROUTE_ORDER;
	backend.responder =
		listen_anywhere(handle_backend_request, NULL, &address);
	put_server(&address);
	for (tries = 0; tries < 20 && !proxy.handoff; tries++) {
		g_free(settings.handoff_address);
		settings.handoff_address =
			g_strdup_printf("127.0.0.1:%d",
					g_random_int_range(20000, 32000));
		proxy.handoff = handoff_new(&proxy);
	}
	g_assert_nonnull(proxy.handoff);
	proxy.assignment = assignment_new(&proxy);
}

static inline void teardown_handoff(void)
{
	callers_close_all(&proxy);
	handoff_free(proxy.handoff);
	assignment_free(proxy.assignment);
	responder_free(backend.responder);
	g_free(settings.handoff_address);
	settings.handoff_address = NULL;
	teardown_requests();
}

/* Opens a connection and sends text on it. @return the caller's end. */
static inline int send_text(const char *text,
			    void (*accept_fd)(struct proxy *, int))
{
	int fds[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
			==, 0);
	accept_fd(&proxy, fds[0]);
	g_assert_cmpint(write(fds[1], text, strlen(text)), ==,
			(ssize_t)strlen(text));
	return fds[1];
}

/* @return what has arrived, which the caller frees; "" for nothing. */
static inline char *read_text(int fd)
{
	char *text = g_malloc0(65536);
	ssize_t bytes = read(fd, text, 65535);

	text[MAX(bytes, 0)] = '\0';
	return text;
}

/* @return whether the connection was closed; whatever arrived is lost. */
static inline bool is_closed(int fd)
{
	char text[4096];
	ssize_t bytes;

	while ((bytes = read(fd, text, sizeof(text))) > 0)
		;
	return bytes == 0 || errno != EAGAIN;
}

static inline int status_of(const char *text)
{
	int status = 0;

	if (*text)
		g_assert_cmpint(sscanf(text, "HTTP/1.1 %d", &status), ==, 1);
	return status;
}

#endif
