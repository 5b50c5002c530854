#include "net/buffer_account.h"

#include "base/counter.h"

static uint64_t account_bytes;

static void set_bytes(uint64_t bytes)
{
	account_bytes = bytes;
	gauge_set(GAUGE_RESPONSE_BYTES, (int64_t)bytes);
}

static void on_change(struct evbuffer *buffer,
		      const struct evbuffer_cb_info *info, void *context)
{
	(void)buffer;
	(void)context;
	set_bytes(account_bytes + info->n_added - info->n_deleted);
}

void buffer_account_add(struct evbuffer *buffer)
{
	set_bytes(account_bytes + evbuffer_get_length(buffer));
	evbuffer_add_cb(buffer, on_change, NULL);
}

void buffer_account_remove(struct evbuffer *buffer)
{
	evbuffer_remove_cb(buffer, on_change, NULL);
	set_bytes(account_bytes - evbuffer_get_length(buffer));
}

uint64_t buffer_account_bytes(void)
{
	return account_bytes;
}
