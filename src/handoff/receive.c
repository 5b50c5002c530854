#include <string.h>

#include "assign/assignment.h"
#include "handoff/handoff.h"
#include "request/exchange_internal.h"
#include "sync/reach_watch.h"

/* Requests that other entry VMs passed on to this one. */

/* The address belonged to another process before; its status says that the
 * request has not run. */
#define STATUS_OTHER_RECEIVER 421

/* @return whether this VM is assigned to any server that the request may go to.
 * The list has the few servers of this VM only, not those of the fleet. */
static bool is_assigned(const struct exchange *e)
{
	const GPtrArray *own =
		assignment_own_servers(e->proxy->assignment, e->service->name);

	return own && own->len;
}

void handoff_check_request(struct exchange *e, const char *receiver)
{
	if (receiver && strcmp(receiver, e->proxy->settings->name)) {
		exchange_set_refusal(e, STATUS_OTHER_RECEIVER, "other-receiver");
		return;
	}
	/* The VM that passed it on has matched and admitted it: the
	 * configurations in force differ, and the first one decides. */
	if (e->refusal_status) {
		e->declined = true;
		exchange_set_refusal(e, 503, e->refusal_reason);
		return;
	}
	if (is_assigned(e))
		return;
	e->declined = true;
	exchange_set_refusal(e, 503, "not-assigned");
}

bool handoff_is_declined(const struct exchange *e)
{
	return e->declined || e->proxy->stopping ||
	       reach_watch_is_cut_off(e->proxy->reach);
}
