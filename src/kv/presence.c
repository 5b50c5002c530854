#include "kv/presence.h"

#include <glib.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "kv/kv_client.h"
#include "net/timer.h"

/* A VM that crashed disappears from the directory after this time. A running VM
 * does so only after three renewals in a row have failed. */
#define LEASE_TTL_MS 3500
/* Delay after a failed call, doubled up to the maximum: the store may turn many
 * VMs away for a while. */
#define RETRY_MIN_MS 500
#define RETRY_MAX_MS 2000
#define CALL_TIMEOUT_MS 900
/* All VMs register again when the store has come back from a copy. */
#define NEW_ERA_SPREAD_MS 500

struct presence {
	struct kv_channel *channel;
	struct event *timer;
	char *key;
	char *value;
	uint64_t era; /* of the store, in which the lease was granted; 0: unknown */
	uint64_t lease; /* 0: none */
	uint32_t renew_ms;
	uint32_t retry_ms;  /* 0: the last call succeeded */
	bool key_written;   /* the key is bound to the lease */
	bool has_new_value; /* not sent yet */
	bool withdrawn;
	bool withdrawal_known; /* to the store */
	bool failing;	       /* the last call failed */
	const struct presence_events *events;
	void *context;
};

/* Starts the timer of the next renewal, or of a write that waits. */
static void schedule_renewal(struct presence *p)
{
	timer_start(p->timer, p->has_new_value ? 0 : p->renew_ms);
}

/* Starts the timer of the next call after a failed one. */
static void schedule_retry(struct presence *p)
{
	p->retry_ms =
		p->retry_ms ? MIN(2 * p->retry_ms, RETRY_MAX_MS) : RETRY_MIN_MS;
	timer_start(p->timer, p->retry_ms);
}

static void record_result(struct presence *p, bool succeeded, const char *call,
			  uint16_t status)
{
	if (succeeded)
		p->retry_ms = 0;
	if (succeeded == !p->failing)
		return;
	p->failing = !succeeded;
	if (succeeded) {
		log_info("presence", "registration succeeded again call=%s",
			 call);
		p->events->store_reachable(p->context);
		return;
	}
	log_warn("presence", "registration failed call=%s status=%u", call,
		 status);
	p->events->store_unreachable(p->context);
}

/* Ends the registration of an earlier era. @return whether there was one. */
static bool begin_era(struct presence *p, uint64_t era)
{
	uint64_t known = p->era;

	if (era <= known)
		return false;
	p->era = era;
	if (!known || p->withdrawn)
		return false;
	log_warn("presence",
		 "store has come back from a copy, registering again "
		 "era=%" PRIu64 " known_era=%" PRIu64 " lease=%" PRIu64,
		 era, known, p->lease);
	p->lease = 0;
	p->key_written = false;
	timer_start(p->timer, g_random_int_range(0, NEW_ERA_SPREAD_MS));
	return true;
}

/* @return whether the call that has ended belongs to a registration that was
 * given up meanwhile. */
static bool is_given_up(struct presence *p)
{
	if (begin_era(p, kv_channel_era(p->channel)))
		return true;
	if (p->lease)
		return false;
	timer_start(p->timer, 0);
	return true;
}

static void on_key_written(void *context, uint16_t status, const char *body,
			   size_t bytes)
{
	struct presence *p = context;

	(void)body;
	(void)bytes;
	if (is_given_up(p))
		return;
	p->key_written = status == KV_STATUS_OK;
	record_result(p, p->key_written, "put", status);
	if (status == KV_STATUS_NOT_FOUND)
		p->lease = 0;
	if (p->key_written)
		schedule_renewal(p);
	else
		schedule_retry(p);
}

static void write_key(struct presence *p)
{
	struct kv_call call;

	p->has_new_value = false;
	kv_call_put(&call, p->key, p->value, p->lease);
	kv_channel_send(p->channel, &call, CALL_TIMEOUT_MS, on_key_written, p);
}

static void on_granted(void *context, uint16_t status, const char *body,
		       size_t bytes)
{
	struct presence *p = context;
	uint64_t era = kv_channel_era(p->channel);
	uint32_t ttl_ms;
	bool granted = (!era || era >= p->era) && status == KV_STATUS_OK &&
		       kv_decode_lease(body, bytes, &p->lease, &ttl_ms);

	record_result(p, granted, "lease", status);
	if (!granted) {
		p->lease = 0;
		schedule_retry(p);
		return;
	}
	p->era = MAX(p->era, era);
	log_info("presence", "lease granted lease=%" PRIu64 " ttl_ms=%" PRIu32,
		 p->lease, ttl_ms);
	write_key(p);
}

static void on_renewed(void *context, uint16_t status, const char *body,
		       size_t bytes)
{
	struct presence *p = context;

	(void)body;
	(void)bytes;
	record_result(p, status == KV_STATUS_OK, "keep", status);
	if (is_given_up(p))
		return;
	if (status == KV_STATUS_NOT_FOUND) {
		log_warn("presence",
			 "lease expired, requesting a new one lease=%" PRIu64,
			 p->lease);
		p->lease = 0;
		p->key_written = false;
		timer_start(p->timer, 0);
		return;
	}
	if (status == KV_STATUS_OK)
		schedule_renewal(p);
	else
		schedule_retry(p);
}

static void on_withdrawn(void *context, uint16_t status, const char *body,
			 size_t bytes)
{
	struct presence *p = context;

	(void)body;
	(void)bytes;
	log_info("presence", "registration withdrawn status=%u", status);
	p->withdrawal_known =
		status == KV_STATUS_OK || status == KV_STATUS_NOT_FOUND;
	/* the response may not arrive: revoking a lease twice is safe */
	if (!p->withdrawal_known)
		schedule_retry(p);
}

static void end_lease(struct presence *p)
{
	struct kv_call call;

	kv_call_lease_revoke(&call, p->lease);
	kv_channel_send(p->channel, &call, CALL_TIMEOUT_MS, on_withdrawn, p);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct presence *p = context;
	struct kv_call call;

	(void)fd;
	(void)what;
	if (kv_channel_is_busy(p->channel))
		return;
	if (p->withdrawn) {
		end_lease(p);
	} else if (!p->lease) {
		kv_call_lease_grant(&call, LEASE_TTL_MS);
		kv_channel_send(p->channel, &call, CALL_TIMEOUT_MS, on_granted,
				p);
	} else if (!p->key_written || p->has_new_value) {
		write_key(p);
	} else {
		kv_call_lease_keep_alive(&call, p->lease);
		kv_channel_send(p->channel, &call, CALL_TIMEOUT_MS, on_renewed,
				p);
	}
}

struct presence *presence_new(struct event_base *base,
			      const struct sockaddr_in *store, const char *key,
			      const char *value,
			      const struct presence_events *events, void *context)
{
	struct presence *p = calloc(1, sizeof(*p));

	if (!p)
		return NULL;
	p->channel = kv_channel_new(base, store, KV_SERVER_STORE);
	p->timer = evtimer_new(base, on_timer, p);
	p->key = strdup(key);
	p->value = strdup(value);
	p->events = events;
	p->renew_ms = PRESENCE_RENEW_INTERVAL_MS;
	p->context = context;
	timer_start(p->timer, 0);
	return p;
}

void presence_on_new_era(struct presence *p, uint64_t era)
{
	begin_era(p, era);
}

void presence_set_renew_interval(struct presence *p, uint32_t renew_ms)
{
	p->renew_ms = renew_ms;
}

void presence_set_value(struct presence *p, const char *value)
{
	free(p->value);
	p->value = strdup(value);
	p->has_new_value = true;
	/* while calls fail, the value goes with the next one */
	if (!p->withdrawn && p->lease && !p->retry_ms)
		timer_start(p->timer, 0);
}

void presence_withdraw(struct presence *p)
{
	if (p->withdrawn)
		return;
	p->withdrawn = true;
	evtimer_del(p->timer);
	kv_channel_cancel(p->channel);
	if (p->lease)
		end_lease(p);
	else
		p->withdrawal_known = true;
}

bool presence_is_withdrawal_known(const struct presence *p)
{
	return p->withdrawal_known;
}

void presence_free(struct presence *p)
{
	if (!p)
		return;
	kv_channel_free(p->channel);
	event_free(p->timer);
	free(p->key);
	free(p->value);
	free(p);
}
