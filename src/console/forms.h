#ifndef CONSOLE_FORMS_H
#define CONSOLE_FORMS_H

#include "console/console_defs.h"

/**
 * @file
 * The pages with the forms. Each handler takes the console as its context.
 */

int forms_fleet(struct mg_connection *connection, void *context);
int forms_steering(struct mg_connection *connection, void *context);
int forms_backends(struct mg_connection *connection, void *context);
int forms_entries(struct mg_connection *connection, void *context);
int forms_services(struct mg_connection *connection, void *context);
int forms_links(struct mg_connection *connection, void *context);
int forms_history(struct mg_connection *connection, void *context);

#endif
