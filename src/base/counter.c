#include "base/counter.h"

#include <inttypes.h>
#include <stdatomic.h>

struct metric {
	const char *name;
	const char *help;
};

static const struct metric counter_metrics[COUNTER_COUNT] = {
	[COUNTER_LOOKUPS] = { "lookups", "look-ups answered" },
	[COUNTER_LOOKUPS_REFUSED] = { "lookups_refused", "look-ups refused" },
	[COUNTER_REQUESTS] = { "requests", "requests taken from callers" },
	[COUNTER_ATTEMPTS] = { "attempts", "requests sent to backend servers" },
	[COUNTER_RETRIES] = { "retries", "attempts after the first" },
	[COUNTER_RETRIES_OVER_BUDGET] = { "retries_over_budget",
					  "retries that the budget refused" },
	[COUNTER_ANSWERED] = { "answered", "whole answers passed on" },
	[COUNTER_REFUSED_BY_BACKEND] = { "refused_by_backend",
					 "attempts a backend server refused" },
	[COUNTER_REFUSED_FULL] = { "refused_full",
				   "requests refused for lack of slots" },
	[COUNTER_REFUSED_OTHER] = { "refused_other",
				    "requests refused for another reason" },
	[COUNTER_TIMED_OUT] = { "timed_out", "attempts past their deadline" },
	[COUNTER_LOST] = { "lost", "attempts without a whole answer" },
	[COUNTER_NOT_RUN] = { "not_run", "requests told not-run" },
	[COUNTER_MAY_HAVE_RUN] = { "may_have_run", "requests told may-have-run" },
	[COUNTER_ORDERS] = { "orders", "non-idempotent requests" },
	[COUNTER_ORDERS_JOINED] = { "orders_joined", "repeats that joined a run" },
	[COUNTER_ORDERS_REPLAYED] = { "orders_replayed",
				      "repeats given the recorded outcome" },
	[COUNTER_ORDERS_KEY_REUSED] = { "orders_key_reused",
					"keys refused for another body" },
	[COUNTER_ORDERS_PASSED_HOME] = { "orders_passed_home",
					 "orders passed to their home" },
	[COUNTER_CLAIMS] = { "claims", "order claims written" },
	[COUNTER_CLAIMS_LOST] = { "claims_lost", "orders claimed by another VM" },
	[COUNTER_CLAIMS_UNKNOWN] = { "claims_unknown",
				     "claims whose outcome was unknown" },
	[COUNTER_STORE_CALLS] = { "store_calls", "calls to the store" },
	[COUNTER_STORE_ERRORS] = { "store_errors",
				   "calls to the store that failed" },
	[COUNTER_RELAY_CALLS] = { "relay_calls",
				  "reads asked of the relay instead" },
	[COUNTER_RELAY_ANSWERS] = { "relay_answers",
				    "reads answered to other VMs" },
	[COUNTER_DOCUMENTS_APPLIED] = { "documents_applied",
					"documents put in force" },
	[COUNTER_DOCUMENTS_REFUSED] = { "documents_refused", "documents refused" },
	[COUNTER_PEER_MESSAGES_IN] = { "peer_messages_in", "messages from peers" },
	[COUNTER_PEER_MESSAGES_OUT] = { "peer_messages_out", "messages to peers" },
	[COUNTER_PEER_BYTES_IN] = { "peer_bytes_in", "bytes from peers" },
	[COUNTER_PEER_BYTES_OUT] = { "peer_bytes_out", "bytes to peers" },
	[COUNTER_PEER_MESSAGES_REFUSED] = { "peer_messages_refused",
					    "malformed messages from peers" },
	[COUNTER_PROBES] = { "probes", "probes of backend servers" },
	[COUNTER_CROSSED_REGION] = { "crossed_region",
				     "requests sent to another region" },
	[COUNTER_QUARANTINED] = { "quarantined",
				  "requests refused as crashing servers" },
	[COUNTER_LIMITED_SENDS] = { "limited_sends",
				    "requests sent to servers that name a limit" },
	[COUNTER_UNREADABLE_ENTRIES] = { "unreadable_entries",
					 "values in the store that could not be "
					 "read, each time" },
	[COUNTER_REFUSED_KEY] = { "refused_key",
				  "requests refused for their key (401)" },
	[COUNTER_RAMPS_ENDED] = { "ramps_ended",
				  "servers that got all slots after a start or "
				  "recovery" },
	[COUNTER_RAMP_HALVINGS] = { "ramp_halvings",
				    "windows of such servers that were halved" },
	[COUNTER_OBJECTS_MOVED] = { "objects_moved",
				    "objects first sent to such servers, where "
				    "they belong" },
	[COUNTER_HANDOFFS_SENT] = { "handoffs_sent",
				    "requests passed on to their assigned VM" },
	[COUNTER_HANDOFFS_RECEIVED] = { "handoffs_received",
					"requests taken from other VMs" },
	[COUNTER_HANDOFFS_FAILED] = { "handoffs_failed",
				      "requests passed on without a response" },
	[COUNTER_HANDOFFS_DECLINED] = { "handoffs_declined",
					"requests that the assigned VM gave "
					"back" },
	[COUNTER_WAITED] = { "waited", "requests that waited for a slot" },
	[COUNTER_REFUSED_WAIT_TOO_LONG] = { "refused_wait_too_long",
					    "requests refused because they could "
					    "not end before their deadline" },
	[COUNTER_REFUSED_QUEUE_FULL] = { "refused_queue_full",
					 "requests refused because too many "
					 "waited" },
	[COUNTER_OVER_QUOTA] = { "over_quota",
				 "requests refused over a workspace's quota" },
	[COUNTER_QUOTA_REPORTS] = { "quota_reports",
				    "reports sent to the quota coordinator" },
	[COUNTER_CALLERS_LEFT] = { "callers_left",
				   "requests not sent because their caller had "
				   "closed its connection" },
};

static const struct metric gauge_metrics[GAUGE_COUNT] = {
	[GAUGE_DOCUMENT_VERSION] = { "document_version", "version in force" },
	[GAUGE_IN_FLIGHT] = { "in_flight", "requests in progress" },
	[GAUGE_WAITING] = { "waiting", "requests waiting for a slot" },
	[GAUGE_ORDERS_REMEMBERED] = { "orders_remembered",
				      "order keys remembered" },
	[GAUGE_MEMBERS_LIVE] = { "members_live", "entry VMs known as live" },
	[GAUGE_MEMBERS_SUSPECT] = { "members_suspect",
				    "entry VMs not heard of lately" },
	[GAUGE_LEAVING] = { "leaving", "1 during a planned stop" },
	[GAUGE_STORE_REACHABLE] = { "store_reachable",
				    "1 while the store answers" },
	[GAUGE_CUT_OFF] = { "cut_off",
			    "1 while no backend server can be connected to" },
	[GAUGE_VMS_CUT_OFF] = { "vms_cut_off",
				"live entry VMs that say they are cut off" },
	[GAUGE_SERVERS_LIMITED] = { "servers_limited",
				    "backend servers that name a limit" },
	[GAUGE_WORKSPACES_LIMITED] = { "workspaces_limited",
				       "workspaces over their quota here" },
	[GAUGE_RESPONSE_BYTES] = { "response_bytes",
				   "bytes of responses in this VM's memory" },
};

static atomic_uint_fast64_t counters[COUNTER_COUNT];
static atomic_int_fast64_t gauges[GAUGE_COUNT];

void counter_add(enum counter counter, uint64_t amount)
{
	atomic_fetch_add_explicit(&counters[counter], amount,
				  memory_order_relaxed);
}

uint64_t counter_get(enum counter counter)
{
	return atomic_load_explicit(&counters[counter], memory_order_relaxed);
}

void gauge_add(enum gauge gauge, int64_t amount)
{
	atomic_fetch_add_explicit(&gauges[gauge], amount, memory_order_relaxed);
}

void gauge_set(enum gauge gauge, int64_t value)
{
	atomic_store_explicit(&gauges[gauge], value, memory_order_relaxed);
}

int64_t gauge_get(enum gauge gauge)
{
	return atomic_load_explicit(&gauges[gauge], memory_order_relaxed);
}

void counter_write(GString *text)
{
	int i;

	for (i = 0; i < COUNTER_COUNT; i++) {
		const struct metric *metric = &counter_metrics[i];

		g_string_append_printf(text,
				       "# TYPE auburnreach_%s counter\n"
				       "# HELP auburnreach_%s %s\n"
				       "auburnreach_%s_total %" PRIu64 "\n",
				       metric->name, metric->name, metric->help,
				       metric->name, counter_get(i));
	}
	for (i = 0; i < GAUGE_COUNT; i++) {
		const struct metric *metric = &gauge_metrics[i];

		g_string_append_printf(text,
				       "# TYPE auburnreach_%s gauge\n"
				       "# HELP auburnreach_%s %s\n"
				       "auburnreach_%s %" PRId64 "\n",
				       metric->name, metric->name, metric->help,
				       metric->name, gauge_get(i));
	}
}
