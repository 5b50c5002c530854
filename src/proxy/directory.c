#include "proxy/directory.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "platform/directory_codec.h"

/* Callers cache a response this long; a VM that shuts down accepts connections
 * until then. */
#define RESPONSE_TTL_S 1

/* The list shows this VM until it learns from the store that it has withdrawn. */
static bool is_leaving(const struct proxy *proxy, const struct vm *vm)
{
	return proxy->stopping && !strcmp(vm->name, proxy->settings->name);
}

static uint32_t collect_addresses(const struct proxy *proxy, const char *region,
				  const char **addresses)
{
	const GPtrArray *all = vms_all(proxy->vms);
	uint32_t count = 0;
	uint32_t start;
	guint i;

	if (!all->len)
		return 0;
	/* a random start gives every VM its turn if there are more than fit
	 * into a response */
	start = (uint32_t)g_random_int_range(0, (gint32)all->len);
	for (i = 0; i < all->len && count < DIRECTORY_ADDRESSES_MAX; i++) {
		const struct vm *vm =
			g_ptr_array_index(all, (start + i) % all->len);

		if (!is_leaving(proxy, vm) &&
		    (!region || (vm->region && !strcmp(vm->region, region))))
			addresses[count++] = vm->address;
	}
	return count;
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
	if (!count)
		count = collect_addresses(proxy, NULL, addresses);
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
