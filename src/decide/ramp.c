#include "decide/ramp.h"

void ramp_begin(struct ramp *ramp)
{
	ramp->active = true;
	ramp->window = 1;
}

uint32_t ramp_window(const struct ramp *ramp, uint32_t slots)
{
	if (!ramp->active || ramp->window >= slots)
		return slots;
	return (uint32_t)ramp->window;
}
