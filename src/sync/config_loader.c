#include "sync/config_loader.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/counter.h"
#include "base/log.h"
#include "net/timer.h"
#include "platform/config_codec.h"

/* Time that decoding takes of one turn of the event loop, besides the last
 * step. */
#define TURN_MS 20

struct config_loader {
	struct proxy *proxy;
	struct event *timer;		/* the next turn */
	struct config_decoder *decoder; /* NULL: none is being decoded */
	struct config_decoder *next;	/* begun after it; NULL: none */
	uint64_t revision;		/* of what is being decoded */
	uint64_t next_revision;
	int64_t started_ms;
	uint32_t turns;
};

static void apply(struct config_loader *loader, struct config *config)
{
	struct proxy *proxy = loader->proxy;

	if (proxy->config && config->version <= proxy->config->version) {
		log_info("config",
			 "older configuration is ignored "
			 "version=%08" PRIx64 " in_force=%08" PRIx64,
			 config->version, proxy->config->version);
		config_unref(config);
		return;
	}
	config_unref(proxy->config);
	proxy->config = config;
	proxy->config_since_ms = proxy_now_ms(proxy);
	counter_add(COUNTER_DOCUMENTS_APPLIED, 1);
	gauge_set(GAUGE_DOCUMENT_VERSION, (int64_t)config->version);
	log_info("config",
		 "configuration is in force version=%08" PRIx64
		 " routes=%u services=%u revision=%" PRIu64
		 " decode_ms=%" PRId64 " turns=%u",
		 config->version, config->route_count, config->service_count,
		 loader->revision, proxy_now_ms(proxy) - loader->started_ms,
		 loader->turns);
}

static void begin(struct config_loader *loader)
{
	loader->decoder = loader->next;
	loader->revision = loader->next_revision;
	loader->next = NULL;
	loader->started_ms = proxy_now_ms(loader->proxy);
	loader->turns = 0;
}

static void finish(struct config_loader *loader, enum config_progress progress)
{
	if (progress == CONFIG_DECODED) {
		apply(loader, config_decoder_take(loader->decoder));
	} else {
		counter_add(COUNTER_DOCUMENTS_REFUSED, 1);
		log_warn("config",
			 "configuration is refused revision=%" PRIu64
			 " why=\"%s\"",
			 loader->revision,
			 config_decoder_problem(loader->decoder));
	}
	config_decoder_free(loader->decoder);
	loader->decoder = NULL;
}

/* @param turn_ms time that may be used; 0: as much as it takes. */
static void decode(struct config_loader *loader, uint32_t turn_ms)
{
	const int64_t until_ms = proxy_now_ms(loader->proxy) + turn_ms;
	enum config_progress progress;

	loader->turns++;
	do
		progress = config_decoder_step(loader->decoder);
	while (progress == CONFIG_INCOMPLETE &&
	       (!turn_ms || proxy_now_ms(loader->proxy) < until_ms));
	if (progress != CONFIG_INCOMPLETE)
		finish(loader, progress);
}

static void on_turn(evutil_socket_t fd, short what, void *context)
{
	struct config_loader *loader = context;

	(void)fd;
	(void)what;
	if (!loader->decoder)
		begin(loader);
	decode(loader, TURN_MS);
	if (loader->decoder || loader->next)
		timer_start(loader->timer, 0);
}

struct config_loader *config_loader_new(struct proxy *proxy)
{
	struct config_loader *loader = calloc(1, sizeof(*loader));

	if (!loader)
		return NULL;
	loader->proxy = proxy;
	loader->timer = evtimer_new(proxy->base, on_turn, loader);
	return loader;
}

void config_loader_free(struct config_loader *loader)
{
	if (!loader)
		return;
	event_free(loader->timer);
	config_decoder_free(loader->decoder);
	config_decoder_free(loader->next);
	free(loader);
}

void config_loader_put(struct config_loader *loader, const struct kv_item *item)
{
	config_decoder_free(loader->next);
	loader->next = config_decoder_new(item->value, item->value_bytes);
	loader->next_revision = item->revision;
	if (!loader->next) {
		log_error("config", "out of memory for a configuration");
		return;
	}
	if (loader->proxy->config) {
		timer_start(loader->timer, 0);
		return;
	}
	begin(loader);
	decode(loader, 0);
}
