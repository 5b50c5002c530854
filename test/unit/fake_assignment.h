#ifndef TEST_UNIT_FAKE_ASSIGNMENT_H
#define TEST_UNIT_FAKE_ASSIGNMENT_H

#include "assign/assignment.h"

/**
 * @file
 * Stands in for the assignment of servers to VMs in programs that are linked
 * with --wrap for these functions: the test says what they return.
 */

static bool fake_assignment_on;
static bool fake_assignment_own;

/* the names that --wrap gives to the functions it replaces */
bool fake_is_on(const struct assignment *assignment) __asm__(
	"__wrap_assignment_is_on");
bool fake_is_own_server(
	struct assignment *assignment,
	const struct server *server) __asm__("__wrap_assignment_is_own_server");

bool fake_is_on(const struct assignment *assignment)
{
	(void)assignment;
	return fake_assignment_on;
}

bool fake_is_own_server(struct assignment *assignment, const struct server *server)
{
	(void)assignment;
	(void)server;
	return fake_assignment_own;
}

#endif
