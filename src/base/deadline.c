#include "base/deadline.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <time.h>

#include "base/clock.h"

#define SCAN_PERIOD_NS (5 * NS_PER_MS)
#define INTERRUPT_SIGNAL SIGUSR1

struct watched_thread {
	pthread_t thread;
	atomic_int_fast64_t deadline_ns; /* 0 while disarmed */
	atomic_bool observes_end;
	struct watched_thread *next;
};

static pthread_mutex_t threads_lock = PTHREAD_MUTEX_INITIALIZER;
static struct watched_thread *threads;
static _Thread_local struct watched_thread *own_entry;
static pthread_key_t thread_exit_key;
static pthread_t watcher_thread;
static atomic_bool stopping;
static atomic_int_fast64_t end_ns; /* 0: none */

static void on_interrupt_signal(int signal_number)
{
	(void)signal_number; /* its delivery interrupts blocking calls */
}

static void unregister_thread(void *entry)
{
	struct watched_thread **link;

	pthread_mutex_lock(&threads_lock);
	for (link = &threads; *link; link = &(*link)->next) {
		if (*link != entry)
			continue;
		*link = (*link)->next;
		break;
	}
	pthread_mutex_unlock(&threads_lock);
	free(entry);
}

static int64_t limit_for(const struct watched_thread *entry, int64_t deadline_ns)
{
	int64_t limit_ns = end_ns;

	if (entry && entry->observes_end && limit_ns && limit_ns < deadline_ns)
		return limit_ns;
	return deadline_ns;
}

static void interrupt_overdue_threads(int64_t now_ns)
{
	struct watched_thread *entry;
	int64_t deadline_ns;

	pthread_mutex_lock(&threads_lock);
	for (entry = threads; entry; entry = entry->next) {
		deadline_ns = entry->deadline_ns;
		if (deadline_ns && limit_for(entry, deadline_ns) <= now_ns)
			pthread_kill(entry->thread, INTERRUPT_SIGNAL);
	}
	pthread_mutex_unlock(&threads_lock);
}

static void *run_watcher(void *context)
{
	const struct timespec period = { 0, SCAN_PERIOD_NS };

	(void)context;
	while (!stopping) {
		clock_nanosleep(CLOCK_MONOTONIC, 0, &period, NULL);
		interrupt_overdue_threads(clock_now_ns(&clock_system));
	}
	return NULL;
}

int deadline_watcher_start(void)
{
	struct sigaction action = { .sa_handler = on_interrupt_signal };

	sigemptyset(&action.sa_mask);
	if (sigaction(INTERRUPT_SIGNAL, &action, NULL))
		return -1;
	if (pthread_key_create(&thread_exit_key, unregister_thread))
		return -1;
	stopping = false;
	if (pthread_create(&watcher_thread, NULL, run_watcher, NULL)) {
		pthread_key_delete(thread_exit_key);
		return -1;
	}
	return 0;
}

void deadline_watcher_stop(void)
{
	stopping = true;
	pthread_join(watcher_thread, NULL);
}

static struct watched_thread *register_self(void)
{
	own_entry = calloc(1, sizeof(*own_entry));
	if (!own_entry)
		abort();
	own_entry->thread = pthread_self();
	pthread_setspecific(thread_exit_key, own_entry);
	pthread_mutex_lock(&threads_lock);
	own_entry->next = threads;
	threads = own_entry;
	pthread_mutex_unlock(&threads_lock);
	return own_entry;
}

void deadline_arm(int64_t deadline_ns)
{
	if (!own_entry)
		register_self();
	own_entry->deadline_ns = deadline_ns;
}

void deadline_disarm(void)
{
	if (own_entry)
		own_entry->deadline_ns = 0;
}

void deadline_set_end(int64_t ns)
{
	end_ns = ns;
}

void deadline_observe_end(void)
{
	if (!own_entry)
		register_self();
	own_entry->observes_end = true;
}

int64_t deadline_limit(int64_t deadline_ns)
{
	return limit_for(own_entry, deadline_ns);
}

bool deadline_passed(int64_t deadline_ns)
{
	return clock_now_ns(&clock_system) >= deadline_limit(deadline_ns);
}
