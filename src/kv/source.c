#include "kv/source.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"

/* Delay before the next call to a relay that failed. Usually its process has
 * crashed; then its lease expires within 3.5 s and another relay is set. */
#define RELAY_RETRY_MS 3000

struct source {
	struct event_base *base;
	const struct clock *clock;
	const char *prefix;
	struct kv_channel *store;
	struct kv_channel *relay; /* NULL: none is set */
	struct sockaddr_in relay_address;
	int64_t retry_at_ms; /* of the relay; not called earlier */
	bool use_relay;	     /* the relay is selected */
};

struct source *source_new(struct event_base *base, const struct clock *clock,
			  const struct sockaddr_in *store, const char *prefix)
{
	struct source *source = calloc(1, sizeof(*source));

	if (!source)
		return NULL;
	source->base = base;
	source->clock = clock;
	source->prefix = prefix;
	source->store = kv_channel_new(base, store, KV_SERVER_STORE);
	if (!source->store) {
		free(source);
		return NULL;
	}
	return source;
}

void source_free(struct source *source)
{
	if (!source)
		return;
	kv_channel_free(source->store);
	kv_channel_free(source->relay);
	free(source);
}

bool source_set_relay(struct source *source, const struct sockaddr_in *relay)
{
	const struct sockaddr_in *old = &source->relay_address;

	if (!relay && !source->relay)
		return false;
	if (relay && source->relay &&
	    relay->sin_addr.s_addr == old->sin_addr.s_addr &&
	    relay->sin_port == old->sin_port)
		return false;
	kv_channel_free(source->relay);
	source->relay =
		relay ? kv_channel_new(source->base, relay, KV_SERVER_RELAY)
		      : NULL;
	if (relay)
		source->relay_address = *relay;
	source->use_relay = false;
	source->retry_at_ms = 0;
	return true;
}

bool source_has_relay(const struct source *source)
{
	return source->relay != NULL;
}

bool source_select(struct source *source)
{
	source->use_relay = source->relay &&
			    clock_now_ms(source->clock) >= source->retry_at_ms;
	return source->use_relay;
}

bool source_uses_relay(const struct source *source)
{
	return source->use_relay;
}

void source_send(struct source *source, struct kv_call *call,
		 uint32_t timeout_ms, kv_done_cb done, void *context)
{
	kv_channel_send(source->use_relay ? source->relay : source->store, call,
			timeout_ms, done, context);
}

void source_suspend_relay(struct source *source, uint16_t status)
{
	source->retry_at_ms = clock_now_ms(source->clock) + RELAY_RETRY_MS;
	source->use_relay = false;
	log_info("relay",
		 "relay call failed, reading from the store prefix=%s "
		 "status=%u retry_ms=%d",
		 source->prefix, status, RELAY_RETRY_MS);
}

void source_retry_relay(struct source *source)
{
	source->retry_at_ms = 0;
}

uint64_t source_era(const struct source *source)
{
	return kv_channel_era(source->use_relay ? source->relay : source->store);
}

bool source_is_busy(const struct source *source)
{
	return kv_channel_is_busy(source->store) ||
	       (source->relay && kv_channel_is_busy(source->relay));
}

void source_cancel(struct source *source)
{
	kv_channel_cancel(source->store);
	if (source->relay)
		kv_channel_cancel(source->relay);
}
