#ifndef BASE_BUILD_H
#define BASE_BUILD_H

#include <glib.h>

/** @file Identifies the build of a program. Any thread. */

/**
 * @return the commit that the program was built from, with "-dirty" appended if
 * files had been changed; "unknown" for a build without the history.
 */
const char *build_commit(void);

/** Appends the metric build_info. */
void build_write_metric(GString *text);

#endif
