#ifndef TEST_SCENARIO_SCRIPT_H
#define TEST_SCENARIO_SCRIPT_H

/**
 * @file
 * The language of the scenarios; docs/SCENARIOS.md describes it.
 */

/** Runs a scenario file; fails the test where the scenario does not hold. */
void script_run(const char *file_name);

#endif
