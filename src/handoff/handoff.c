#include "handoff/handoff.h"

struct handoff *handoff_new(struct proxy *proxy)
{
	(void)proxy;
	return NULL;
}

void handoff_free(struct handoff *handoff)
{
	(void)handoff;
}

bool handoff_start(struct exchange *exchange)
{
	(void)exchange;
	return false;
}
