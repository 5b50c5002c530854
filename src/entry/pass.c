#include "entry/pass.h"

#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "entry/explain.h"

/* Added to the deadline, so that a response sent by the home at the deadline
 * still arrives. */
#define RESPONSE_MARGIN_MS 20

static enum verdict response_verdict(const struct http_response *response)
{
	const char *text = http_response_header(response, VERDICT_HEADER);

	if (text && !strcmp(text, verdict_text(VERDICT_NOT_RUN)))
		return VERDICT_NOT_RUN;
	if (text && !strcmp(text, verdict_text(VERDICT_RAN)))
		return VERDICT_RAN;
	return VERDICT_MAY_HAVE_RUN;
}

static enum http_result send_to_home(struct entry *entry,
				     const struct exchange *exchange,
				     const char *address,
				     struct http_response *response)
{
	char *headers =
		g_strconcat(exchange->headers, HEADER_PASSED ": 1\r\n", NULL);
	struct http_request request = {
		.method = exchange->method,
		.path = exchange->path,
		.headers = headers,
		.body = exchange->body,
		.body_bytes = exchange->body_bytes,
		.response_bytes_max = exchange->service->response_bytes_max,
		.deadline_ns =
			exchange->deadline_ns + RESPONSE_MARGIN_MS * NS_PER_MS,
	};
	enum http_result result;

	result = entry->transport.send(entry->transport.context, address, NULL,
				       &request, 0, response);
	g_free(headers);
	return result;
}

bool pass_to_home(struct entry *entry, struct exchange *exchange,
		  const struct order_key *home)
{
	struct http_response response = { 0 };
	enum http_result result;
	char address[65];

	if (!entry->fleet.find_entry(entry->fleet.context, home->home,
				     home->incarnation, address))
		return false;
	counter_add(COUNTER_ORDERS_PASSED_HOME, 1);
	result = send_to_home(entry, exchange, address, &response);
	explain_add(entry->explain, exchange->request_id,
		    "order passed to its home home=%s result=%s", home->home,
		    result == HTTP_COMPLETE   ? "answered"
		    : result == HTTP_NOT_SENT ? "not reached"
					      : "lost");
	if (result == HTTP_NOT_SENT)
		return false;
	if (result != HTTP_COMPLETE) {
		forward_refuse(exchange, VERDICT_MAY_HAVE_RUN, 504,
			       "its home gave no whole answer");
		return true;
	}
	exchange->verdict = response_verdict(&response);
	exchange->response = response;
	return true;
}
