#ifndef TEST_UNIT_REQUEST_OWN_SERVERS_H
#define TEST_UNIT_REQUEST_OWN_SERVERS_H

#include "assign/assignment.h"
#include "base/counter.h"
#include "queue/wait_queue.h"
#include "unit/proxy/stopping_vm.h"

/**
 * @file
 * An entry VM in this process to which servers are assigned. They hold each
 * request until the test answers it.
 */

#define SLOTS 4
#define OWN_ANSWER "Request-Id: r1\r\nResponse-Stamp: a.b\r\n"
#define VM_ENTRY                                                     \
	"{\"address\":\"127.0.0.1:1\",\"failure_domain\":\"fyn-a\"," \
	"\"handoff_address\":\"127.0.0.1:5\",\"weight\":500}"

/* Requests that the server has read and not answered. */
static GPtrArray *held;
static uint32_t held_max;
static uint32_t arrivals;
static struct responder *holder;
static struct server_entry listed;

static inline void on_held_left(void *context)
{
	g_ptr_array_remove(held, context);
}

static inline void hold(void *context, struct responder_request *request)
{
	(void)context;
	arrivals++;
	request->on_disconnect = on_held_left;
	request->context = request;
	g_ptr_array_add(held, request);
	held_max = MAX(held_max, held->len);
}

static inline void answer(const char *headers, int status)
{
	struct responder_request *request = g_ptr_array_index(held, 0);

	g_ptr_array_remove_index(held, 0);
	responder_reply(request, status, headers, NULL);
	run_ms(30);
}

static inline void list_server(const char *id)
{
	listed.id = (char *)id;
	servers_put(proxy.servers, &listed);
}

static inline void setup_own(void)
{
	listed = (struct server_entry){ .service = (char *)"reg",
					.failure_domain = (char *)"fyn-a",
					.version = (char *)"v1",
					.slots = SLOTS };
	setup_requests(false);
	settings.handoff_address = (char *)"127.0.0.1:5";
	proxy.bounds.retry_extra = 10;
	proxy.bounds.retry_window_ms = 10000;
	proxy.config->has_large_bodies = true;
	vms_put(proxy.vms, "e1", VM_ENTRY, strlen(VM_ENTRY));
	proxy.assignment = assignment_new(&proxy);
	proxy.wait_queue = wait_queue_new(&proxy);
	held = g_ptr_array_new();
	held_max = arrivals = 0;
	holder = listen_anywhere(hold, NULL, &listed.address);
	servers_remove(proxy.servers, "s1");
	list_server("s2");
	run_ms(50);
}

static inline void discard_idle(struct server *one, void *context)
{
	(void)context;
	while (one->idle)
		pool_discard(one->idle);
}

static inline void teardown_own(void)
{
	callers_close_all(&proxy);
	g_assert_cmpuint(wait_queue_length(proxy.wait_queue), ==, 0);
	g_assert_cmpint(gauge_get(GAUGE_WAITING), ==, 0);
	run_ms(30);
	servers_for_each(proxy.servers, discard_idle, NULL);
	wait_queue_free(proxy.wait_queue);
	assignment_free(proxy.assignment);
	proxy.wait_queue = NULL;
	proxy.assignment = NULL;
	responder_free(holder);
	g_ptr_array_unref(held);
	settings.handoff_address = NULL;
	list_server("s1");
	teardown_requests();
}

static inline void send_many(int *fds, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		fds[i] = send_request();
	run_ms(50);
}

static inline void close_many(const int *fds, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		close(fds[i]);
}

static inline bool is_answered(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

#endif
