#ifndef SYNC_CONFIG_LOADER_H
#define SYNC_CONFIG_LOADER_H

#include "kv/kv_defs.h"
#include "proxy/proxy_defs.h"

/**
 * @file
 * Decodes configurations and puts them in force. A large one is decoded a part
 * a turn of the event loop, so that requests go on meanwhile. Loop's thread.
 */

struct config_loader;

struct config_loader *config_loader_new(struct proxy *proxy);
void config_loader_free(struct config_loader *loader);

/**
 * Decodes a configuration; while none is in force, at once. If another is being
 * decoded, that one is finished first and then the newest. One that is invalid,
 * or not newer than the one in force, is logged and ignored.
 */
void config_loader_put(struct config_loader *loader, const struct kv_item *item);

#endif
