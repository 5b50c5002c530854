#include "proxy/directory.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "decide/naming.h"
#include "platform/directory_codec.h"
#include "sync/reach_watch.h"

/* Callers cache a response this long; a VM that shuts down accepts connections
 * until then. */
#define RESPONSE_TTL_S 1

/* The list shows this VM until it learns from the store that it has withdrawn. */
static bool is_leaving(const struct proxy *proxy, const struct vm *vm)
{
	return proxy->stopping && !strcmp(vm->name, proxy->settings->name);
}

/* This VM knows of itself before the store does. */
static bool is_cut_off(const struct proxy *proxy, const struct vm *vm)
{
	if (!strcmp(vm->name, proxy->settings->name))
		return reach_watch_is_cut_off(proxy->reach);
	return vm->cut_off;
}

static bool is_in_region(const struct vm *vm, const char *region)
{
	return vm->region && !strcmp(vm->region, region);
}

static struct naming_counts count_vms(const struct proxy *proxy,
				      const char *region)
{
	const GPtrArray *all = vms_all(proxy->vms);
	struct naming_counts counts = { 0 };
	guint i;

	for (i = 0; i < all->len; i++) {
		const struct vm *vm = g_ptr_array_index(all, i);
		const bool sound = !is_cut_off(proxy, vm);
		const bool near = is_in_region(vm, region);

		if (is_leaving(proxy, vm))
			continue;
		counts.all++;
		counts.all_sound += sound;
		counts.region += near;
		counts.region_sound += near && sound;
	}
	return counts;
}

/* Adds the addresses of VMs, near or not, from a random start: it gives every
 * VM its turn if there are more than fit into a response. */
static uint32_t add_addresses(const struct proxy *proxy, const char *region,
			      bool near, bool names_cut_off,
			      const char **addresses, uint32_t addresses_max)
{
	const GPtrArray *all = vms_all(proxy->vms);
	uint32_t count = 0;
	uint32_t start;
	guint i;

	if (!all->len)
		return 0;
	start = (uint32_t)g_random_int_range(0, (gint32)all->len);
	for (i = 0; i < all->len && count < addresses_max; i++) {
		const struct vm *vm =
			g_ptr_array_index(all, (start + i) % all->len);

		if (is_in_region(vm, region) == near && !is_leaving(proxy, vm) &&
		    (names_cut_off || !is_cut_off(proxy, vm)))
			addresses[count++] = vm->address;
	}
	return count;
}

static uint32_t collect_addresses(const struct proxy *proxy, const char *region,
				  const char **addresses)
{
	const struct naming_counts counts = count_vms(proxy, region);
	const struct naming naming = naming_choose(&counts);
	uint32_t count = add_addresses(proxy, region, true, naming.cut_off,
				       addresses, DIRECTORY_ADDRESSES_MAX);

	return count + add_addresses(proxy, region, false, naming.cut_off,
				     addresses + count,
				     MIN(naming.others_max,
					 DIRECTORY_ADDRESSES_MAX - count));
}

void directory_handle_request(void *context, struct responder_request *request)
{
	struct proxy *proxy = context;
	const char *addresses[DIRECTORY_ADDRESSES_MAX];
	struct directory_query query;
	struct evbuffer *body;
	uint32_t count;

	if (strcmp(request->head->method, "GET") ||
	    !directory_query_decode(request->head->target, &query)) {
		responder_reply(request, 404, NULL, NULL);
		return;
	}
	counter_add(COUNTER_LOOKUPS, 1);
	count = collect_addresses(proxy, query.region, addresses);
	if (!count && !proxy->stopping)
		addresses[count++] = proxy->settings->request_address;
	if (!count) {
		counter_add(COUNTER_LOOKUPS_REFUSED, 1);
		log_info("directory", "no live entry VM is known region=%s",
			 query.region);
		responder_reply(request, 503, NULL, NULL);
		return;
	}
	body = evbuffer_new();
	directory_response_encode(body, addresses, count, RESPONSE_TTL_S);
	responder_reply(request, 200, "Content-Type: application/json\r\n", body);
	evbuffer_free(body);
}
