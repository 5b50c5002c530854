#include "decide/wait_order.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

/* A workspace may be ahead of the one that had least by the run time of this
 * many requests before its requests go behind those of others. */
#define SHARE_SLACK_RUNS 2
/* One of this many slots goes to a request of a lower rank that waits, so that
 * none waits for ever. */
#define LOWER_RANK_EVERY 8
/* Workspaces that are remembered; more only while all have had slots lately. */
#define ACCOUNTS_MAX 256

/* Less urgent ranks than this count as one. */
#define RANKS_MAX 8
/* Work of a workspace, as a multiple of the mean, that counts as its share. */
#define SHARE_MAX 2
/* Longest estimate of a wait. */
#define WAIT_MAX_MS 60000.0
/* Time over which work is averaged. */
#define RATE_MS 1000.0

/* Slot time that was asked for in the last RATE_MS, older work counting less. */
struct rate {
	double work_ms;
	int64_t updated_ms;
};

struct account {
	double tag;			/* in ms of slot time */
	struct rate by_rank[RANKS_MAX]; /* that were admitted */
};

struct wait_order {
	GHashTable *accounts; /* workspace to struct account */
	double virtual_ms;    /* lowest tag of the workspaces that wait */
	uint32_t passed_over; /* slots since one went to a lower rank */
};

struct wait_order *wait_order_new(void)
{
	struct wait_order *order = g_new0(struct wait_order, 1);

	order->accounts = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						g_free, g_free);
	return order;
}

void wait_order_free(struct wait_order *order)
{
	if (!order)
		return;
	g_hash_table_destroy(order->accounts);
	g_free(order);
}

static double rate_work_ms(const struct rate *rate, int64_t now_ms)
{
	return rate->work_ms * exp((double)(rate->updated_ms - now_ms) / RATE_MS);
}

static void rate_add(struct rate *rate, double work_ms, int64_t now_ms)
{
	rate->work_ms = rate_work_ms(rate, now_ms) + work_ms;
	rate->updated_ms = now_ms;
}

static double tag_of(const struct wait_order *order, uint64_t workspace)
{
	const struct account *account =
		g_hash_table_lookup(order->accounts, &workspace);

	return account ? MAX(account->tag, order->virtual_ms) : order->virtual_ms;
}

static double lowest_tag(const struct wait_order *order,
			 const struct wait_entry *entries, uint32_t count)
{
	double lowest = tag_of(order, entries[0].workspace);
	uint32_t i;

	for (i = 1; i < count; i++)
		lowest = MIN(lowest, tag_of(order, entries[i].workspace));
	return lowest;
}

static double mean_run_ms(const struct wait_entry *entries, uint32_t count)
{
	double sum = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		sum += entries[i].run_ms;
	return sum / count;
}

static uint32_t lowest_rank(const struct wait_entry *entries, uint32_t count)
{
	uint32_t rank = UINT32_MAX;
	uint32_t i;

	for (i = 0; i < count; i++)
		rank = MIN(rank, entries[i].rank);
	return rank;
}

/* Puts the request of a lower rank that arrived first before all others. */
static void promote_lower_rank(struct wait_entry *entries, uint32_t count)
{
	const uint32_t top = lowest_rank(entries, count);
	struct wait_entry *first = NULL;
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct wait_entry *entry = &entries[i];

		if (entry->rank == top || entry->is_over_share)
			continue;
		if (!first || entry->is_late < first->is_late ||
		    (entry->is_late == first->is_late &&
		     entry->sequence < first->sequence))
			first = entry;
	}
	if (first)
		first->is_first = true;
}

static int compare(const void *left, const void *right)
{
	const struct wait_entry *a = left;
	const struct wait_entry *b = right;

	if (a->is_first != b->is_first)
		return a->is_first ? -1 : 1;
	if (a->is_over_share != b->is_over_share)
		return a->is_over_share ? 1 : -1;
	if (a->is_late != b->is_late)
		return a->is_late ? 1 : -1;
	if (a->rank != b->rank)
		return a->rank < b->rank ? -1 : 1;
	if (a->due_ms != b->due_ms)
		return a->due_ms < b->due_ms ? -1 : 1;
	return a->sequence < b->sequence ? -1 : a->sequence > b->sequence;
}

void wait_order_sort(struct wait_order *order, struct wait_entry *entries,
		     uint32_t count, int64_t now_ms)
{
	double share;
	uint32_t i;

	if (!count)
		return;
	share = lowest_tag(order, entries, count) +
		SHARE_SLACK_RUNS * mean_run_ms(entries, count);
	for (i = 0; i < count; i++) {
		struct wait_entry *entry = &entries[i];

		entry->is_first = false;
		entry->is_over_share = tag_of(order, entry->workspace) > share;
		entry->is_late = now_ms + entry->finish_ms > entry->target_ms;
		/* a cached object lets the request go before those that are
		 * due a little earlier */
		entry->due_ms =
			entry->target_ms + (entry->cached ? 0 : entry->run_ms);
	}
	if (order->passed_over >= LOWER_RANK_EVERY - 1)
		promote_lower_rank(entries, count);
	qsort(entries, count, sizeof(*entries), compare);
}

static double account_work_ms(const struct account *account, uint32_t ranks,
			      int64_t now_ms)
{
	double work_ms = 0;
	uint32_t i;

	for (i = 0; i < ranks; i++)
		work_ms += rate_work_ms(&account->by_rank[i], now_ms);
	return work_ms;
}

struct idle_search {
	double virtual_ms;
	int64_t now_ms;
};

static gboolean is_idle(gpointer key, gpointer value, gpointer context)
{
	const struct account *account = value;
	const struct idle_search *search = context;

	(void)key;
	return account->tag <= search->virtual_ms &&
	       account_work_ms(account, RANKS_MAX, search->now_ms) < 1;
}

static struct account *get_or_create_account(struct wait_order *order,
					     uint64_t workspace, int64_t now_ms)
{
	struct account *account =
		g_hash_table_lookup(order->accounts, &workspace);
	struct idle_search search = { order->virtual_ms, now_ms };
	uint64_t *key;

	if (account)
		return account;
	if (g_hash_table_size(order->accounts) >= ACCOUNTS_MAX)
		g_hash_table_foreach_remove(order->accounts, is_idle, &search);
	key = g_new(uint64_t, 1);
	*key = workspace;
	account = g_new0(struct account, 1);
	g_hash_table_insert(order->accounts, key, account);
	return account;
}

void wait_order_record_admitted(struct wait_order *order,
				const struct wait_entry *entry, int64_t now_ms)
{
	struct account *account =
		get_or_create_account(order, entry->workspace, now_ms);

	rate_add(&account->by_rank[MIN(entry->rank, RANKS_MAX - 1)],
		 entry->run_ms, now_ms);
}

/* @return the mean work of the workspaces that had some lately. */
static double mean_work_ms(const struct wait_order *order, int64_t now_ms)
{
	GHashTableIter iter;
	gpointer account;
	uint32_t count = 0;
	double sum = 0;

	g_hash_table_iter_init(&iter, order->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &account)) {
		double work_ms = account_work_ms(account, RANKS_MAX, now_ms);

		sum += work_ms;
		count += work_ms >= 1;
	}
	return sum / MAX(count, 1);
}

/* @return the share of the slots that requests which are yet to arrive will
 * take before this one, as those of the last second would have. */
static double share_of_later(const struct wait_order *order,
			     const struct wait_entry *entry, uint32_t slots,
			     int64_t now_ms)
{
	const double mean_ms = mean_work_ms(order, now_ms);
	GHashTableIter iter;
	gpointer workspace;
	gpointer account;
	double work_ms = 0;

	g_hash_table_iter_init(&iter, order->accounts);
	while (g_hash_table_iter_next(&iter, &workspace, &account)) {
		if (!entry->is_over_share)
			/* what is beyond its share goes behind */
			work_ms +=
				MIN(account_work_ms(account,
						    MIN(entry->rank, RANKS_MAX),
						    now_ms),
				    SHARE_MAX * mean_ms);
		else if (*(const uint64_t *)workspace != entry->workspace)
			work_ms += account_work_ms(account, RANKS_MAX, now_ms);
	}
	return work_ms / (RATE_MS * MAX(slots, 1));
}

/* @return the wait of a request of a lower rank that only gets what is kept for
 * such requests. */
static double longest_wait_ms(const struct wait_entry *entries,
			      uint32_t position, uint32_t slots)
{
	double work_ms = entries[position].run_ms;
	uint32_t i;

	for (i = 0; i < position; i++)
		if (!entries[i].is_over_share &&
		    entries[i].rank >= entries[position].rank)
			work_ms += entries[i].run_ms;
	return LOWER_RANK_EVERY * work_ms / MAX(slots, 1);
}

uint32_t wait_order_wait_ms(const struct wait_order *order,
			    const struct wait_entry *entries, uint32_t position,
			    uint32_t wait_ms, uint32_t slots, int64_t now_ms)
{
	const struct wait_entry *entry = &entries[position];
	double share = share_of_later(order, entry, slots, now_ms);
	double estimate_ms = share < 1 ? wait_ms / (1 - share) : WAIT_MAX_MS;

	if (!entry->is_over_share &&
	    entry->rank > lowest_rank(entries, position + 1))
		estimate_ms = MIN(estimate_ms,
				  longest_wait_ms(entries, position, slots));
	return (uint32_t)MIN(estimate_ms, WAIT_MAX_MS);
}

void wait_order_record_sent(struct wait_order *order,
			    const struct wait_entry *entries, uint32_t count,
			    uint32_t position, int64_t now_ms)
{
	const struct wait_entry *sent = &entries[position];
	const double tag = tag_of(order, sent->workspace);
	bool lower_waits = false;
	uint32_t i;

	order->virtual_ms = lowest_tag(order, entries, count);
	get_or_create_account(order, sent->workspace, now_ms)->tag =
		tag + sent->run_ms;
	for (i = 0; i < count; i++)
		lower_waits |= entries[i].rank > sent->rank &&
			       !entries[i].is_over_share;
	order->passed_over = lower_waits ? order->passed_over + 1 : 0;
}

uint32_t wait_order_work_ms(const struct wait_entry *entries, uint32_t count,
			    uint32_t slots)
{
	uint64_t sum_ms = 0;
	uint32_t i;

	for (i = 0; i < count; i++)
		sum_ms += entries[i].run_ms;
	sum_ms /= MAX(slots, 1);
	return (uint32_t)MIN(sum_ms, UINT32_MAX);
}

uint32_t wait_order_find_excess(const struct wait_entry *entries, uint32_t count,
				uint32_t slots, uint32_t count_max)
{
	const struct wait_entry *last;

	if (!count)
		return WAIT_ORDER_NONE;
	last = &entries[count - 1];
	if (count > count_max)
		return count - 1;
	if (last->is_late &&
	    wait_order_work_ms(entries, count, slots) > last->target_latency_ms)
		return count - 1;
	return WAIT_ORDER_NONE;
}
