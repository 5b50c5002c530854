#include "slow_callers.h"

#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "net/tcp.h"
#include "net/timer.h"

#define BODY_BYTES 540000
#define RECEIVE_BUFFER_BYTES 16384
#define SEGMENT_BYTES 1400
/* About 4 s for a response, two thirds of what a VM has after SIGTERM. */
#define READ_BYTES 6000
#define READ_INTERVAL_MS 50
#define DEADLINE_MS 6000
/* Time for a response to begin after the deadline, and between its pieces. */
#define RESPONSE_GRACE_MS 500
#define PIECE_TIMEOUT_MS 2000
#define THINK_MIN_MS 100
#define THINK_MAX_MS 1000
#define OBJECT_COUNT 40

struct slow_caller {
	struct slow_callers *owner;
	struct bufferevent *bev; /* writes only; NULL: no request */
	struct evbuffer *response;
	struct event *timer; /* next request, or next piece of the response */
	int64_t give_up_ms;  /* on the callers' clock */
	struct call_record record;
};

struct slow_callers {
	struct fleet *fleet;
	struct callers *callers;
	struct slow_caller *list;
	uint32_t count;
	char *body;
	bool stopping;
};

static void schedule_next_request(struct slow_caller *caller)
{
	timer_start(caller->timer,
		    g_random_int_range(THINK_MIN_MS, THINK_MAX_MS));
}

static void finish(struct slow_caller *caller, uint16_t status)
{
	caller->record.status = status;
	callers_end_record(caller->owner->callers, &caller->record);
	bufferevent_free(caller->bev);
	caller->bev = NULL;
	schedule_next_request(caller);
}

/* @return the length of the whole response; 0: not known yet. */
static size_t response_bytes(const char *text)
{
	const char *end = strstr(text, "\r\n\r\n");
	const char *length = end ? strcasestr(text, "\r\nContent-Length:") : NULL;

	if (!length || length > end)
		return 0;
	length += strlen("\r\nContent-Length:");
	return (size_t)(end - text) + strlen("\r\n\r\n") +
	       strtoul(length, NULL, 10);
}

/* @return whether the response is complete; then the request has ended. */
static bool check_response(struct slow_caller *caller)
{
	const size_t bytes = evbuffer_get_length(caller->response);
	char *text =
		g_strndup((char *)evbuffer_pullup(caller->response, -1), bytes);
	const size_t whole = response_bytes(text);
	const bool is_complete = whole && bytes >= whole;
	uint16_t status;

	if (is_complete) {
		status = (uint16_t)atoi(text + strlen("HTTP/1.1 "));
		caller->record.stamped = strstr(text, "Response-Stamp") != NULL;
		caller->record.mismatched =
			status == 200 && !strstr(text, caller->record.id);
		finish(caller, status);
	}
	g_free(text);
	return is_complete;
}

static void read_piece(struct slow_caller *caller)
{
	char piece[READ_BYTES];
	const ssize_t bytes = recv(bufferevent_getfd(caller->bev), piece,
				   sizeof(piece), MSG_DONTWAIT);
	const int64_t now_ms = callers_elapsed_ms(caller->owner->callers);

	if (bytes > 0) {
		evbuffer_add(caller->response, piece, (size_t)bytes);
		caller->give_up_ms =
			MAX(caller->give_up_ms, now_ms + PIECE_TIMEOUT_MS);
		if (check_response(caller))
			return;
	}
	if (!bytes || (bytes < 0 && errno != EAGAIN && errno != EINTR) ||
	    now_ms > caller->give_up_ms)
		finish(caller, 0);
	else
		timer_start(caller->timer, READ_INTERVAL_MS);
}

static void on_event(struct bufferevent *bev, short what, void *context)
{
	struct slow_caller *caller = context;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED)
		caller->record.sent = true;
	else if (!caller->record.sent)
		finish(caller, 0);
	/* after an early response the VM may not read the rest of the request */
}

/* @return a socket that takes few bytes that were not read, or -1. With the large
 * segments of loopback, the sender's kernel would take a whole response. */
static int open_socket(void)
{
	const int buffer_bytes = RECEIVE_BUFFER_BYTES;
	const int segment_bytes = SEGMENT_BYTES;
	const int fd = tcp_open_socket(0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
		   sizeof(segment_bytes));
	return fd;
}

static bool connect_to(struct slow_caller *caller, const struct fleet_vm *vm)
{
	struct event_base *base = caller->owner->fleet->base;
	struct sockaddr_in to;
	const int fd = open_socket();

	if (fd < 0 || !tcp_parse_address(vm->request_address, &to))
		return false;
	caller->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(caller->bev, NULL, NULL, on_event, caller);
	if (!bufferevent_socket_connect(caller->bev, (struct sockaddr *)&to,
					sizeof(to)))
		return true;
	bufferevent_free(caller->bev);
	caller->bev = NULL;
	return false;
}

static void send_order(struct slow_caller *caller)
{
	struct slow_callers *owner = caller->owner;
	struct call_record *record = &caller->record;
	const uint32_t vm =
		(uint32_t)g_random_int_range(0, (gint32)owner->fleet->vm_count);
	struct evbuffer *out;

	callers_begin_record(owner->callers, record);
	record->vm = vm;
	record->order = true;
	record->reads_slowly = true;
	record->limit_ms = MIN(DEADLINE_MS, FLEET_LONG_TIMEOUT_MS);
	caller->give_up_ms = record->began_ms + DEADLINE_MS + RESPONSE_GRACE_MS;
	evbuffer_drain(caller->response, evbuffer_get_length(caller->response));
	if (!connect_to(caller, &owner->fleet->vms[vm])) {
		schedule_next_request(caller);
		return;
	}
	out = bufferevent_get_output(caller->bev);
	evbuffer_add_printf(out,
			    "POST /long-order/%s HTTP/1.1\r\nHost: a.example\r\n"
			    "Request-Id: %s\r\nDeadline-Ms: %d\r\n"
			    "Cookie: Affinity-Key=%d\r\nContent-Length: %d\r\n\r\n",
			    record->id, record->id, DEADLINE_MS,
			    g_random_int_range(0, OBJECT_COUNT), BODY_BYTES);
	evbuffer_add_reference(out, owner->body, BODY_BYTES, NULL, NULL);
	bufferevent_enable(caller->bev, EV_WRITE);
	bufferevent_disable(caller->bev, EV_READ);
	timer_start(caller->timer, READ_INTERVAL_MS);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct slow_caller *caller = context;

	(void)fd;
	(void)what;
	if (caller->bev)
		read_piece(caller);
	else if (!caller->owner->stopping)
		send_order(caller);
}

struct slow_callers *slow_callers_new(struct fleet *fleet, uint32_t count,
				      struct callers *callers)
{
	struct slow_callers *slow = g_new0(struct slow_callers, 1);
	uint32_t i;

	slow->fleet = fleet;
	slow->callers = callers;
	slow->count = count;
	slow->list = g_new0(struct slow_caller, count);
	slow->body = g_malloc(BODY_BYTES);
	memset(slow->body, 'x', BODY_BYTES);
	for (i = 0; i < count; i++) {
		struct slow_caller *caller = &slow->list[i];

		caller->owner = slow;
		caller->response = evbuffer_new();
		caller->timer = evtimer_new(fleet->base, on_timer, caller);
		schedule_next_request(caller);
	}
	return slow;
}

void slow_callers_free(struct slow_callers *slow)
{
	uint32_t i;

	for (i = 0; i < slow->count; i++) {
		if (slow->list[i].bev)
			bufferevent_free(slow->list[i].bev);
		event_free(slow->list[i].timer);
		evbuffer_free(slow->list[i].response);
	}
	g_free(slow->list);
	g_free(slow->body);
	g_free(slow);
}

void slow_callers_stop(struct slow_callers *slow)
{
	slow->stopping = true;
}

bool slow_callers_are_waiting(const struct slow_callers *slow)
{
	uint32_t i;

	for (i = 0; i < slow->count; i++)
		if (slow->list[i].bev)
			return true;
	return false;
}

void slow_callers_give_up(struct slow_callers *slow)
{
	uint32_t i;

	for (i = 0; i < slow->count; i++)
		if (slow->list[i].bev)
			finish(&slow->list[i], 0);
}
