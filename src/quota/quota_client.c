#include "quota/quota_client.h"

#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "decide/quota_choice.h"
#include "kv/kv_client.h"
#include "net/timer.h"
#include "quota/quota_codec.h"
#include "quota/quota_coordinator.h"

/* Time between two reports; the second while a workspace that is used here is
 * near its limit. */
#define INTERVAL_MS 500
#define INTERVAL_NEAR_MS 200
/* The same after a sudden rise of the requests here, or a call without reply. */
#define INTERVAL_URGENT_MS 50
/* Time between two calls of a VM that has nothing to report, see
 * quota_share_needs_poll(). */
#define INTERVAL_POLL_MS 1000
/* Longest wait for a reply: three round trips between regions. */
#define CALL_TIMEOUT_MS 250
/* Calls in a row without a reply after which another VM is asked, and for how
 * long. Shorter than a lease term, which the first one's reply has begun. */
#define FAILED_CALLS_MAX 2
#define EXCLUDED_MS 2000
/* A VM that is asked again within this time, and still does not reply, is left
 * out after one call: the last reply of its substitute still holds then. */
#define RETRY_MS 3000
/* Limit on VMs that are left out at the same time. */
#define EXCLUDED_VMS_MAX 8
/* Limit on the VMs that are compared: twice the size to design for. */
#define VMS_MAX 1024

struct excluded_vm {
	uint64_t hash;
	int64_t until_ms;
};

struct quota_client {
	struct quota *quota;
	struct event *timer;
	struct kv_channel *channel; /* to the target; NULL: this VM, or none */
	char *target;		    /* name; "": none */
	uint64_t target_hash;
	bool target_is_self;
	struct sockaddr_in target_address;
	bool displaced; /* the target is not the first choice */
	bool is_calling;
	bool call_has_entries;
	bool is_idle; /* the coordinator knows that nothing is to report */
	bool is_hurried;
	uint64_t from; /* run of the coordinator that replied last */
	uint32_t failed_calls;
	int64_t last_call_ms;
	struct excluded_vm excluded[EXCLUDED_VMS_MAX];
};

static void on_timer(evutil_socket_t fd, short what, void *context);

/* @return whether the VM was left out at `at_ms` or later. */
static bool is_excluded(const struct quota_client *client, uint64_t hash,
			int64_t at_ms)
{
	size_t i;

	for (i = 0; i < EXCLUDED_VMS_MAX; i++)
		if (client->excluded[i].hash == hash &&
		    client->excluded[i].until_ms > at_ms)
			return true;
	return false;
}

static void forget_exclusion(struct quota_client *client)
{
	size_t i;

	for (i = 0; i < EXCLUDED_VMS_MAX; i++)
		if (client->excluded[i].hash == client->target_hash)
			client->excluded[i].until_ms = 0;
}

/* @return the failed calls in a row after which the target is left out. */
static uint32_t failed_calls_max(const struct quota_client *client, int64_t now_ms)
{
	return is_excluded(client, client->target_hash, now_ms - RETRY_MS)
		       ? 1
		       : FAILED_CALLS_MAX;
}

static void exclude(struct quota_client *client, int64_t now_ms)
{
	struct excluded_vm *oldest = &client->excluded[0];
	size_t i;

	for (i = 1; i < EXCLUDED_VMS_MAX; i++)
		if (client->excluded[i].until_ms < oldest->until_ms)
			oldest = &client->excluded[i];
	oldest->hash = client->target_hash;
	oldest->until_ms = now_ms + EXCLUDED_MS;
	log_info("quota", "coordinator does not answer vm=%s for_ms=%d",
		 client->target, EXCLUDED_MS);
}

/* @return the VM to report to, or NULL. */
static const struct vm *choose(struct quota_client *client, int64_t now_ms,
			       bool *displaced)
{
	/* static because all choices are made on the event loop's only thread */
	static struct quota_candidate candidates[VMS_MAX];
	const GPtrArray *all = vms_all(client->quota->proxy->vms);
	const uint32_t count = MIN(all->len, VMS_MAX);
	struct quota_choice choice;
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct vm *vm = g_ptr_array_index(all, i);

		candidates[i].hash = vm->hash;
		candidates[i].weight = vm->weight;
		candidates[i].takes_part =
			vm->has_handoff && vm->has_relay && !vm->cut_off;
		candidates[i].excluded = is_excluded(client, vm->hash, now_ms);
	}
	choice = quota_choose(candidates, count);
	*displaced = choice.displaced;
	if (choice.index == QUOTA_CHOICE_NONE)
		return NULL;
	return g_ptr_array_index(all, choice.index);
}

static bool is_target(const struct quota_client *client, const struct vm *vm)
{
	if (!vm)
		return !*client->target;
	return !strcmp(vm->name, client->target) &&
	       vm->relay.sin_port == client->target_address.sin_port &&
	       vm->relay.sin_addr.s_addr ==
		       client->target_address.sin_addr.s_addr;
}

/* Chooses the VM to report to; no call is in progress. */
static void update_target(struct quota_client *client, int64_t now_ms)
{
	const struct proxy *proxy = client->quota->proxy;
	const struct vm *vm = choose(client, now_ms, &client->displaced);

	if (is_target(client, vm))
		return;
	log_info("quota",
		 "coordinator is another VM now vm=%s old=%s displaced=%d",
		 vm ? vm->name : "", client->target, client->displaced);
	kv_channel_free(client->channel);
	client->channel = NULL;
	g_free(client->target);
	client->target = g_strdup(vm ? vm->name : "");
	client->target_is_self = vm && !strcmp(vm->name, proxy->settings->name);
	client->target_hash = vm ? vm->hash : 0;
	client->failed_calls = 0;
	memset(&client->target_address, 0, sizeof(client->target_address));
	if (!vm)
		return;
	client->target_address = vm->relay;
	if (!client->target_is_self)
		client->channel =
			kv_channel_new(proxy->base, &vm->relay, KV_SERVER_QUOTA);
}

/* @return the time from one report to the next; -1: none is needed. */
static int64_t interval_ms(const struct quota_client *client)
{
	const GPtrArray *list = client->quota->list;
	const struct quota_view view = quota_view(client->quota);
	const int64_t now_ms = proxy_now_ms(client->quota->proxy);
	int64_t interval = client->is_idle ? -1 : INTERVAL_MS;
	bool polls = false;
	guint i;

	for (i = 0; i < list->len; i++) {
		const struct quota_entry *entry = g_ptr_array_index(list, i);

		polls |= quota_share_needs_poll(&entry->share, &view);
		if (!quota_share_has_news(&entry->share))
			continue;
		if (client->failed_calls ||
		    quota_share_is_urgent(&entry->share, now_ms))
			return INTERVAL_URGENT_MS;
		if (entry->share.near_limit)
			interval = INTERVAL_NEAR_MS;
		else if (interval < 0)
			interval = INTERVAL_MS;
	}
	return interval < 0 && polls ? INTERVAL_POLL_MS : interval;
}

static void schedule(struct quota_client *client)
{
	const int64_t now_ms = proxy_now_ms(client->quota->proxy);
	int64_t interval;

	if (client->is_calling)
		return;
	client->is_hurried = false;
	if (!client->quota->list->len)
		return;
	interval = interval_ms(client);
	if (interval < 0 && quota_check_refusals(client->quota, now_ms))
		interval = INTERVAL_POLL_MS;
	if (interval < 0)
		return;
	timer_start(client->timer,
		    MAX(client->last_call_ms + interval - now_ms, 1));
}

static json_t *encode_report(struct quota_client *client, int64_t now_ms)
{
	const struct quota *quota = client->quota;
	const struct quota_view view = quota_view(quota);
	const struct quota_call_head head = {
		.vm = quota->proxy->settings->name,
		.run = quota->run,
		.from = client->from,
		.displaced = client->displaced,
	};
	json_t *call = quota_call_new(&head);
	guint i;

	client->call_has_entries = false;
	for (i = 0; i < quota->list->len; i++) {
		struct quota_entry *entry = g_ptr_array_index(quota->list, i);
		struct quota_report report;

		entry->in_call = quota_share_has_news(&entry->share);
		if (!entry->in_call)
			continue;
		client->call_has_entries = true;
		report = quota_share_report(&entry->share, &view,
					    client->displaced, now_ms);
		quota_call_add(call, entry->name, &report);
	}
	return call;
}

static void apply_reply(struct quota_client *client, json_t *reply)
{
	const struct quota *quota = client->quota;
	const int64_t now_ms = proxy_now_ms(quota->proxy);
	struct quota_grant grant;
	guint i;

	for (i = 0; i < quota->list->len; i++) {
		struct quota_entry *entry = g_ptr_array_index(quota->list, i);

		if (!entry->in_call)
			quota_share_hint(&entry->share,
					 quota_reply_decode_limited(reply,
								    entry->name),
					 now_ms);
		else if (quota_reply_decode_grant(reply, entry->name, &grant))
			quota_share_reply(&entry->share, &grant, now_ms);
		else
			quota_share_fail(&entry->share);
		entry->in_call = false;
	}
}

static void record_failure(struct quota_client *client)
{
	const struct quota *quota = client->quota;
	const int64_t now_ms = proxy_now_ms(quota->proxy);
	guint i;

	for (i = 0; i < quota->list->len; i++) {
		struct quota_entry *entry = g_ptr_array_index(quota->list, i);

		entry->in_call = false;
		quota_share_fail(&entry->share);
	}
	if (++client->failed_calls < failed_calls_max(client, now_ms))
		return;
	client->failed_calls = 0;
	exclude(client, now_ms);
}

/* @param reply NULL if there was none. */
static void end_call(struct quota_client *client, json_t *reply)
{
	uint64_t run;

	client->is_calling = false;
	if (reply && quota_reply_decode(reply, &run)) {
		client->from = run;
		client->failed_calls = 0;
		forget_exclusion(client);
		client->is_idle = !client->call_has_entries;
		apply_reply(client, reply);
	} else {
		record_failure(client);
	}
	quota_check_refusals(client->quota, proxy_now_ms(client->quota->proxy));
	schedule(client);
}

static void on_done(void *context, uint16_t status, const char *body, size_t bytes)
{
	json_t *reply =
		status == KV_STATUS_OK ? json_loadb(body, bytes, 0, NULL) : NULL;

	end_call(context, reply);
	json_decref(reply);
}

static void send_call(struct quota_client *client, json_t *report)
{
	char *text = json_dumps(report, JSON_COMPACT);
	struct kv_call call = {
		.method = "POST",
		.target = g_string_new(QUOTA_PATH),
		.body = g_string_new(text),
	};

	free(text);
	kv_channel_send(client->channel, &call, CALL_TIMEOUT_MS, on_done, client);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct quota_client *client = context;
	const int64_t now_ms = proxy_now_ms(client->quota->proxy);
	json_t *report;

	(void)fd;
	(void)what;
	quota_sync_config(client->quota);
	quota_check_refusals(client->quota, now_ms);
	client->last_call_ms = now_ms;
	if (!client->quota->list->len) {
		kv_channel_free(client->channel);
		client->channel = NULL;
		g_free(client->target);
		client->target = g_strdup("");
		return;
	}
	update_target(client, now_ms);
	if (!client->channel && !client->target_is_self) {
		timer_start(client->timer, INTERVAL_POLL_MS);
		return;
	}
	report = encode_report(client, now_ms);
	client->is_calling = true;
	if (client->target_is_self) {
		json_t *reply =
			quota_coordinator_reply(client->quota->coordinator,
						report);

		end_call(client, reply);
		json_decref(reply);
	} else {
		send_call(client, report);
	}
	json_decref(report);
}

void quota_client_wake(struct quota_client *client)
{
	if (!client->is_calling && !evtimer_pending(client->timer, NULL))
		schedule(client);
}

void quota_client_hurry(struct quota_client *client)
{
	if (client->is_calling || client->is_hurried)
		return;
	schedule(client);
	client->is_hurried = true;
}

bool quota_client_has_coordinator(const struct quota_client *client)
{
	/* until the first choice, one is expected */
	return !client->last_call_ms || *client->target;
}

const char *quota_client_target(const struct quota_client *client)
{
	return client->target;
}

struct quota_client *quota_client_new(struct quota *quota)
{
	struct quota_client *client = g_new0(struct quota_client, 1);

	client->quota = quota;
	client->target = g_strdup("");
	client->is_idle = true;
	client->timer = evtimer_new(quota->proxy->base, on_timer, client);
	return client;
}

void quota_client_free(struct quota_client *client)
{
	kv_channel_free(client->channel);
	event_free(client->timer);
	g_free(client->target);
	g_free(client);
}
