#ifndef PROXY_RELOAD_H
#define PROXY_RELOAD_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Takes in a settings file that changed, with SIGHUP or without. What cannot be
 * changed while callers are served (addresses, names) is reported. Loop's
 * thread.
 */

struct reload;

/**
 * @param file_name of the settings in force; copied.
 * @param settings in force; replaced in place.
 * @return NULL when memory is short.
 */
struct reload *reload_new(struct proxy *proxy, const char *file_name,
			  struct proxy_settings *settings);
void reload_free(struct reload *reload);

/** Puts what can change into force: bounds, failure domains, log level. */
void reload_apply(struct proxy *proxy, const struct proxy_settings *settings);

#endif
