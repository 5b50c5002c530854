#ifndef TEST_UNIT_TEST_H
#define TEST_UNIT_TEST_H

#include <glib.h>
#include <string.h>

#include "base/attributes.h"

/**
 * @file
 * Helpers shared by the test programs.
 */

/** Registers a test function under "/program/name". */
#define ADD_TEST(program, function) \
	g_test_add_func("/" program "/" #function, function)

/** Fails and shows both strings unless `text` contains `part`. */
static inline void assert_contains(const char *text, const char *part)
{
	if (!strstr(text, part))
		g_error("\"%s\" is not in:\n%s", part, text);
}

#endif
