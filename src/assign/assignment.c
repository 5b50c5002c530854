#include "assign/assignment.h"

struct assignment *assignment_new(struct proxy *proxy)
{
	(void)proxy;
	return NULL;
}

void assignment_free(struct assignment *assignment)
{
	(void)assignment;
}

bool assignment_is_on(const struct assignment *assignment)
{
	(void)assignment;
	return false;
}

const struct vm *assignment_find_vm(struct assignment *assignment,
				    const struct assignment_query *query)
{
	(void)assignment;
	(void)query;
	return NULL;
}

bool assignment_is_own_server(struct assignment *assignment,
			      const struct server *server)
{
	(void)assignment;
	(void)server;
	return false;
}

void assignment_avoid_vm(struct assignment *assignment, const char *vm_name,
			 uint32_t ms)
{
	(void)assignment;
	(void)vm_name;
	(void)ms;
}
