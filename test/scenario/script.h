#ifndef TEST_SCENARIO_SCRIPT_H
#define TEST_SCENARIO_SCRIPT_H

/**
 * @file
 * Interpreter of the scenario language, which docs/SCENARIOS.md describes.
 */

/** Runs a scenario file; fails the test at the first unmet expectation. */
void script_run_file(const char *file_name);

#endif
