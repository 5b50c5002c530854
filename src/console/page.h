#ifndef CONSOLE_PAGE_H
#define CONSOLE_PAGE_H

#include "base/attributes.h"
#include "console/console_defs.h"

/**
 * @file
 * Builds HTML pages and escapes the data that they show.
 */

/** Begins a page with its navigation. @return a buffer for page_send(). */
GString *page_begin(const char *title, const char *operator_name);

/** Ends, sends and frees a page. */
void page_send(struct mg_connection *connection, uint32_t status, GString *page);

/** Appends trusted HTML, without escaping. */
void page_html(GString *page, const char *html);

/** Appends formatted text, escaped after formatting. */
void page_text(GString *page, const char *format, ...) PRINTF_LIKE(2, 3);

/** Appends a table cell with escaped text. */
void page_cell(GString *page, const char *format, ...) PRINTF_LIKE(2, 3);

/**
 * Begins a form that is posted to a path.
 *
 * @param action the path.
 * @param token token from guard_token(), sent as a hidden field.
 */
void page_form_begin(GString *page, const char *action, const char *token);

/** Ends a form with a submit button. */
void page_form_end(GString *page, const char *button);

/** Appends a hidden form field. */
void page_hidden(GString *page, const char *name, const char *value);

/** Appends an input with a label; `type` is its HTML type. */
void page_input(GString *page, const char *label, const char *name,
		const char *type, const char *value);

/**
 * Appends a table of differences.
 *
 * @param author author of the differences that have no "author" themselves.
 */
void page_differences(GString *page, json_t *differences, const char *author);

/** The style sheet, in CSS. */
extern const char page_style[];

#endif
