#ifndef CONSOLE_HTML_H
#define CONSOLE_HTML_H

#include "base/attributes.h"
#include "console/console_defs.h"

/**
 * @file
 * Builds HTML pages and escapes the data that they show.
 */

/** Begins a page with its navigation. @return a buffer for html_page_send(). */
GString *html_page_begin(const char *title, const char *operator_name);

/** Ends, sends and frees a page. */
void html_page_send(struct mg_connection *connection, uint32_t status,
		    GString *page);

/** Appends trusted HTML, without escaping. */
void html_append_raw(GString *page, const char *html);

/** Appends formatted text, escaped after formatting. */
void html_append_text(GString *page, const char *format, ...) PRINTF_LIKE(2, 3);

/** Appends a table cell with escaped text. */
void html_append_cell(GString *page, const char *format, ...) PRINTF_LIKE(2, 3);

/**
 * Begins a form that is posted to a path.
 *
 * @param action the path.
 * @param token token from auth_form_token(), sent as a hidden field.
 */
void html_form_begin(GString *page, const char *action, const char *token);

/** Ends a form with a submit button. */
void html_form_end(GString *page, const char *button);

/** Appends a hidden form field. */
void html_append_hidden_input(GString *page, const char *name, const char *value);

/** Appends an input with a label; `type` is its HTML type. */
void html_append_input(GString *page, const char *label, const char *name,
		       const char *type, const char *value);

/**
 * Appends a table of differences.
 *
 * @param author author of the differences that have no "author" themselves.
 */
void html_append_differences(GString *page, json_t *differences,
			     const char *author);

/** The style sheet, in CSS. */
extern const char html_style_sheet[];

#endif
