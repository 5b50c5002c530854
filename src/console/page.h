#ifndef CONSOLE_PAGE_H
#define CONSOLE_PAGE_H

#include "base/attributes.h"
#include "console/console_defs.h"

/**
 * @file
 * HTML pages. Whatever is shown of data is escaped here.
 */

/** Begins a page with its navigation. */
GString *page_begin(const char *title, const char *operator_name);

/** Ends and sends a page, and frees it. */
void page_send(struct mg_connection *connection, uint32_t status, GString *page);

/** Appends text that is known to be safe HTML. */
void page_html(GString *page, const char *html);

/** Appends formatted text, escaped as a whole. */
void page_text(GString *page, const char *format, ...) PRINTF_LIKE(2, 3);

/** Appends a table cell with escaped text. */
void page_cell(GString *page, const char *format, ...) PRINTF_LIKE(2, 3);

/** Begins a form that posts to `/review` with an operation. */
void page_form_begin(GString *page, const char *action, const char *token);
void page_form_end(GString *page, const char *button);

/** Appends a hidden field. */
void page_hidden(GString *page, const char *name, const char *value);

/** Appends a labelled input. */
void page_input(GString *page, const char *label, const char *name,
		const char *type, const char *value);

/**
 * Appends a table of differences.
 *
 * @param author who made those that do not say it themselves.
 */
void page_differences(GString *page, json_t *differences, const char *author);

/** The style sheet. */
extern const char page_style[];

#endif
