#ifndef CONSOLE_PAGES_H
#define CONSOLE_PAGES_H

#include "console/console_defs.h"

/**
 * @file
 * Request handlers for the console's pages. Their context is the console.
 */

int pages_fleet(struct mg_connection *connection, void *context);
int pages_steering(struct mg_connection *connection, void *context);
int pages_backends(struct mg_connection *connection, void *context);
int pages_entries(struct mg_connection *connection, void *context);
int pages_services(struct mg_connection *connection, void *context);
int pages_links(struct mg_connection *connection, void *context);
int pages_history(struct mg_connection *connection, void *context);

#endif
