#ifndef REQUEST_CALLER_INTERNAL_H
#define REQUEST_CALLER_INTERNAL_H

#include "net/http_stream.h"
#include "request/caller.h"
#include "request/exchange.h"

/** @file Declarations shared by the source files of callers' connections. */

/* One request of a connection. Several idempotent ones may be in progress;
 * their responses are written in the order of the requests. */
struct caller_request {
	struct caller *caller;
	struct exchange *exchange; /* NULL: the response is complete */
	struct evbuffer *held;	   /* response that waits for an earlier one */
	enum response_framing framing;
	bool is_read;		   /* completely */
	bool waits_for_turn;	   /* must not run before earlier ones ended */
	bool wants_continue;	   /* 100 (Continue) is to be sent */
	bool close_after_response; /* then close the connection */
};

struct caller {
	struct proxy *proxy;
	GList *link; /* element in the proxy's list of callers */
	struct http_stream *stream;
	struct event *timer;
	GQueue requests; /* struct caller_request, in order of arrival */
	int64_t idle_since_ms;
	bool head_started; /* at the last timer event */
	bool reading;	   /* the stream parses the next message */
	bool advancing;	   /* advance() follows or is on the stack */
	bool is_handoff;   /* another entry VM hands off requests on it */
	bool reads_long;   /* see caller_extend_reading() */
	bool rejected;	   /* the input is no request; nothing more is read */
};

/** @return the request whose response is written next, or NULL. */
struct caller_request *caller_first_request(const struct caller *caller);

/** Removes requests whose response is complete from the front, and reads the
 * next one. May free the caller. */
void caller_advance(struct caller *caller);

/** Frees a connection whose stream the owner has freed, and cancels its
 * requests. */
void caller_free(struct caller *caller);

#endif
