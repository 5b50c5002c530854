#ifndef SOAK_EVENTS_H
#define SOAK_EVENTS_H

#include "callers.h"
#include "plan.h"

/** @file Carries out the events of a plan. */

struct events {
	struct fleet *fleet;
	struct callers *callers;
	const struct soak_plan *plan;
};

/** Starts and ends each event at its time, counted from now. */
void events_schedule(struct events *events);

#endif
