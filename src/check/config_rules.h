#ifndef CHECK_CONFIG_RULES_H
#define CHECK_CONFIG_RULES_H

#include "check/finding.h"
#include "fleet/config_defs.h"

/**
 * @file
 * Rules for a valid configuration: entries that can never be used, and limits
 * that contradict each other. Decides on its arguments only.
 */

/**
 * Adds what is wrong or probably not meant.
 *
 * @param complete whether no rejected entry was left out; otherwise nothing is
 * said of entries that are missing or not referred to.
 */
void config_rules_check(const struct config *config, bool complete,
			struct findings *findings);

#endif
