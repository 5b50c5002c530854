#ifndef PROXY_RELOAD_H
#define PROXY_RELOAD_H

#include "proxy/proxy_defs.h"

/**
 * @file
 * Reloads the settings file on SIGHUP or when the file has changed. Addresses
 * and names cannot change at run time; a change of them is logged. Event loop's
 * thread.
 */

struct reload;

/** Holds back SIGHUP, which would end the process, until reload_new() handles
 * it. Called before other threads are started. */
void reload_hold_signal(void);

/**
 * @param file_name of the settings in force; copied.
 * @param settings in force; replaced in place on a reload.
 * @return NULL if out of memory.
 */
struct reload *reload_new(struct proxy *proxy, const char *file_name,
			  struct proxy_settings *settings);
void reload_free(struct reload *reload);

/** Applies the settings that can change at run time: bounds, failure domains,
 * log level. */
void reload_apply(struct proxy *proxy, const struct proxy_settings *settings);

#endif
