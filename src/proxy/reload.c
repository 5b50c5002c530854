#include "proxy/reload.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "base/log.h"
#include "net/timer.h"
#include "platform/bounds_codec.h"

/* Interval between checks of the file; changes to it are not urgent. */
#define CHECK_INTERVAL_MS 5000

struct reload {
	struct proxy *proxy;
	struct proxy_settings *settings;
	char *file_name;
	struct event *signal;
	struct event *timer;
	struct timespec modified_at;
	off_t file_bytes;
};

/* Defaults for bounds that the settings do not give. */
static const struct bounds default_bounds = {
	.drain_ms = 2500,
	.stop_grace_ms = 6000,
	.retry_ratio = 0.2,
	.retry_extra = 20,
	.retry_window_ms = 10000,
	.cold_factor = 1.0,
	.cold_extra = 0,
	.directory_ttl_max_s = 5,
	.shift_max = 0.15,
	.address_reuse_ms = 2000,
	.stability_ms = 4000,
};

void reload_apply(struct proxy *proxy, const struct proxy_settings *settings)
{
	proxy->bounds = default_bounds;
	bounds_decode(settings->bounds, &proxy->bounds);
	proxy->topology.domains = settings->domains;
	proxy->topology.domain_count = settings->domain_count;
	log_set_level(log_level_from_name(settings->log_level));
}

static bool has_same_identity(const struct proxy_settings *a,
			      const struct proxy_settings *b)
{
	return !strcmp(a->name, b->name) && !strcmp(a->region, b->region) &&
	       !strcmp(a->failure_domain, b->failure_domain) &&
	       !strcmp(a->request_address, b->request_address) &&
	       !strcmp(a->ready_address, b->ready_address) &&
	       !strcmp(a->directory_address, b->directory_address) &&
	       !strcmp(a->relay_address, b->relay_address) &&
	       !strcmp(a->handoff_address, b->handoff_address) &&
	       !strcmp(a->store_address, b->store_address);
}

static void reload_settings(struct reload *reload)
{
	struct schema_errors errors = schema_errors_new();
	struct proxy_settings updated = { 0 };
	struct proxy_settings old = *reload->settings;

	if (!proxy_settings_read(&updated, reload->file_name, &errors)) {
		log_error("reload",
			  "settings are refused; keeping the old ones "
			  "why=\"%s\"",
			  errors.text->str);
		schema_clear(&proxy_settings_schema, &updated);
		schema_errors_clear(&errors);
		return;
	}
	schema_errors_clear(&errors);
	if (!has_same_identity(&old, &updated))
		log_warn("reload", "name or address changed; restart to "
				   "apply it");
	*reload->settings = updated;
	reload_apply(reload->proxy, reload->settings);
	schema_clear(&proxy_settings_schema, &old);
	log_info("reload", "settings are in force log_level=%s",
		 reload->settings->log_level);
}

/* Records the file's modification time and size. @return whether they changed
 * since the last call. */
static bool check_file_changed(struct reload *reload)
{
	struct stat state;
	bool changed;

	if (stat(reload->file_name, &state))
		return false; /* possibly in the middle of a replacement */
	changed = state.st_mtim.tv_sec != reload->modified_at.tv_sec ||
		  state.st_mtim.tv_nsec != reload->modified_at.tv_nsec ||
		  state.st_size != reload->file_bytes;
	reload->modified_at = state.st_mtim;
	reload->file_bytes = state.st_size;
	return changed;
}

static void on_signal(evutil_socket_t fd, short what, void *context)
{
	struct reload *reload = context;

	(void)fd;
	(void)what;
	log_info("reload", "reload requested by SIGHUP");
	check_file_changed(reload);
	reload_settings(reload);
}

static void on_timer(evutil_socket_t fd, short what, void *context)
{
	struct reload *reload = context;

	(void)fd;
	(void)what;
	if (check_file_changed(reload))
		reload_settings(reload);
}

static void set_signal_held(int how)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGHUP);
	pthread_sigmask(how, &signals, NULL);
}

void reload_hold_signal(void)
{
	set_signal_held(SIG_BLOCK);
}

struct reload *reload_new(struct proxy *proxy, const char *file_name,
			  struct proxy_settings *settings)
{
	const struct timeval period = timer_timeval(CHECK_INTERVAL_MS);
	struct reload *reload = calloc(1, sizeof(*reload));

	if (!reload)
		return NULL;
	reload->proxy = proxy;
	reload->settings = settings;
	reload->file_name = strdup(file_name);
	reload->signal = evsignal_new(proxy->base, SIGHUP, on_signal, reload);
	reload->timer = event_new(proxy->base, -1, EV_PERSIST, on_timer, reload);
	evsignal_add(reload->signal, NULL);
	evtimer_add(reload->timer, &period);
	check_file_changed(reload);
	set_signal_held(SIG_UNBLOCK);
	return reload;
}

void reload_free(struct reload *reload)
{
	if (!reload)
		return;
	event_free(reload->signal);
	event_free(reload->timer);
	free(reload->file_name);
	free(reload);
}
