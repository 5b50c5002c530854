#include "base/deadline.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <time.h>

#include "base/clock.h"

#define SCAN_PERIOD_NS (5 * NS_PER_MS)
#define INTERRUPT_SIGNAL SIGUSR1

struct watched {
	pthread_t thread;
	atomic_int_fast64_t at_ns; /* 0 while disarmed */
	struct watched *next;
};

static pthread_mutex_t list_lock = PTHREAD_MUTEX_INITIALIZER;
static struct watched *list;
static _Thread_local struct watched *self;
static pthread_key_t exit_key;
static pthread_t watcher;
static atomic_bool stopping;

static void on_interrupt(int signal_number)
{
	(void)signal_number; /* only interrupts a blocking call */
}

static void unregister(void *entry)
{
	struct watched **link;

	pthread_mutex_lock(&list_lock);
	for (link = &list; *link; link = &(*link)->next) {
		if (*link != entry)
			continue;
		*link = (*link)->next;
		break;
	}
	pthread_mutex_unlock(&list_lock);
	free(entry);
}

static void interrupt_overdue(int64_t now_ns)
{
	struct watched *entry;
	int64_t at_ns;

	pthread_mutex_lock(&list_lock);
	for (entry = list; entry; entry = entry->next) {
		at_ns = entry->at_ns;
		if (at_ns && at_ns <= now_ns)
			pthread_kill(entry->thread, INTERRUPT_SIGNAL);
	}
	pthread_mutex_unlock(&list_lock);
}

static void *watch(void *context)
{
	const struct timespec period = { 0, SCAN_PERIOD_NS };

	(void)context;
	while (!stopping) {
		clock_nanosleep(CLOCK_MONOTONIC, 0, &period, NULL);
		interrupt_overdue(clock_now_ns(&clock_system));
	}
	return NULL;
}

int deadline_start(void)
{
	struct sigaction action = { .sa_handler = on_interrupt };

	sigemptyset(&action.sa_mask);
	if (sigaction(INTERRUPT_SIGNAL, &action, NULL))
		return -1;
	if (pthread_key_create(&exit_key, unregister))
		return -1;
	stopping = false;
	if (pthread_create(&watcher, NULL, watch, NULL)) {
		pthread_key_delete(exit_key);
		return -1;
	}
	return 0;
}

void deadline_stop(void)
{
	stopping = true;
	pthread_join(watcher, NULL);
}

static struct watched *register_self(void)
{
	self = calloc(1, sizeof(*self));
	if (!self)
		abort();
	self->thread = pthread_self();
	pthread_setspecific(exit_key, self);
	pthread_mutex_lock(&list_lock);
	self->next = list;
	list = self;
	pthread_mutex_unlock(&list_lock);
	return self;
}

void deadline_arm(int64_t at_ns)
{
	if (!self)
		register_self();
	self->at_ns = at_ns;
}

void deadline_disarm(void)
{
	if (self)
		self->at_ns = 0;
}

bool deadline_passed(int64_t at_ns)
{
	return clock_now_ns(&clock_system) >= at_ns;
}
