#ifndef CONSOLE_FORMS_H
#define CONSOLE_FORMS_H

#include "console/console_defs.h"

/**
 * @file
 * Request handlers for the console's pages. Their context is the console.
 */

int forms_fleet(struct mg_connection *connection, void *context);
int forms_steering(struct mg_connection *connection, void *context);
int forms_backends(struct mg_connection *connection, void *context);
int forms_entries(struct mg_connection *connection, void *context);
int forms_services(struct mg_connection *connection, void *context);
int forms_links(struct mg_connection *connection, void *context);
int forms_history(struct mg_connection *connection, void *context);

#endif
