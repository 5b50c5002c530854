#include "request/server_report.h"

#include "sync/server_limits.h"

#define STATUS_OTHER_SERVER 421
#define STATUS_UNAVAILABLE 503

/* @return whether the response is certainly the server's own, so that what it
 * does not say is known too. */
static bool is_own_response(const struct response_meta *meta, uint16_t status)
{
	return meta->stamped || (meta->not_run && status == STATUS_UNAVAILABLE);
}

void server_report_record(struct proxy *proxy, struct server *server,
			  const struct response_meta *meta, uint16_t status)
{
	const int64_t now_ms = proxy_now_ms(proxy);
	const bool is_full = meta->not_run && status == STATUS_UNAVAILABLE;
	const bool is_own = is_own_response(meta, status);

	if (meta->has_load)
		load_record_report(&server->load, meta->running, meta->waiting,
				   now_ms);
	else if (is_full)
		load_record_report(&server->load, server->load.slots,
				   server->load.slots, now_ms);
	if (meta->has_work_percent)
		load_record_work_percent(&server->load, meta->work_percent,
					 now_ms);
	if (is_own && status == STATUS_UNAVAILABLE && meta->retry_after_ms)
		server_record_busy(server, meta->retry_after_ms, now_ms);
	if (meta->leaving)
		server_record_leaving(server);
	if (meta->has_cold)
		server_record_cold(server, meta->cold_left_ms, now_ms);
	if (status != STATUS_OTHER_SERVER &&
	    (meta->has_limit || meta->limit_invalid || is_own))
		server_limits_record_response(proxy->limits, server, meta);
}
