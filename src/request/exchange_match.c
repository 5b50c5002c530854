#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "request/exchange_internal.h"
#include "workspace/authenticate.h"

void exchange_set_refusal(struct exchange *e, uint16_t status, const char *reason)
{
	e->refusal_status = status;
	e->refusal_reason = reason;
}

static void copy_host(const struct http_head *head, char *out, size_t bytes)
{
	const char *host = http_head_get(head, "Host");

	g_strlcpy(out, host ? host : "", bytes);
	out[strcspn(out, ":")] = '\0';
}

/* With several Host headers the proxy could match one and the server could use
 * another. */
static bool has_one_host(const struct http_head *head)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < head->header_count; i++)
		count += !strcasecmp(head->headers[i].name, "Host");
	return count == 1;
}

/* The parser accepts a space in the name of a header, also before the colon
 * (RFC 9112 section 5.1 forbids it). A server that ignores the space would take
 * such a header for the caller's key or the workspace. */
static bool has_space_in_name(const struct http_head *head)
{
	uint32_t i;

	for (i = 0; i < head->header_count; i++)
		if (strchr(head->headers[i].name, ' '))
			return true;
	return false;
}

/* @return whether the request may use its route. */
static bool find_workspace(struct exchange *e, const struct http_head *head)
{
	struct authentication found;

	if (!e->config->has_workspaces)
		return true;
	found = authenticate(e->config, head);
	e->workspace = found.workspace;
	e->key = found.key;
	if (found.workspace ||
	    (e->route->allows_anonymous && !found.is_ambiguous))
		return true;
	exchange_set_refusal(e, 401, found.problem);
	return false;
}

void exchange_match_route(struct exchange *e, const struct http_head *head)
{
	char host[256];

	if (*head->target != '/' || !has_one_host(head)) {
		exchange_set_refusal(e, 400, "target-or-host");
		return;
	}
	if (!e->config) {
		exchange_set_refusal(e, 503, "no-configuration");
		return;
	}
	if (e->config->has_workspaces && has_space_in_name(head)) {
		exchange_set_refusal(e, 400, "space-in-header-name");
		return;
	}
	copy_host(head, host, sizeof(host));
	e->route = config_find_route(e->config, host, head->target);
	if (!e->route) {
		exchange_set_refusal(e, 404, "no-route");
		return;
	}
	e->service = config_select_route_part(e->route,
					      XXH3_64bits(e->id, strlen(e->id)))
			     ->service;
	if (!find_workspace(e, head))
		return;
	e->body_bytes_max = e->config->limits.body_bytes_max;
	if (head->content_length > (int64_t)e->body_bytes_max)
		exchange_set_refusal(e, 413, "body-too-large");
}

bool exchange_refuse_removed_key(struct exchange *e)
{
	const struct config *newest = e->proxy->config;

	if (!e->workspace || newest == e->config || !newest->has_workspaces ||
	    workspace_keys_find(newest->keys, e->key) >= 0)
		return false;
	if (e->route->allows_anonymous) {
		e->workspace = NULL;
		e->request.workspace = NULL;
		return false;
	}
	exchange_fail(e,
		      e->worst_verdict == VERDICT_NOT_RUN
			      ? 401
			      : outcome_http_status(e->worst_verdict, false),
		      "key-removed");
	return true;
}

/* Late in a graceful shutdown, other VMs have more time for a new request. One
 * that may outlast this process could be given up while a server runs it. */
void exchange_refuse_late_arrival(struct exchange *e)
{
	const struct proxy *proxy = e->proxy;
	const int64_t now_ms = proxy_now_ms(proxy);
	const bool may_outlast_exit = e->deadline_ms + LATE_RESPONSE_GRACE_MS >
				      proxy->exit_deadline_ms;

	if (e->refusal_status || !proxy->stopping)
		return;
	if (now_ms >= proxy->refuse_from_ms ||
	    (now_ms >= proxy->late_from_ms && may_outlast_exit))
		exchange_set_refusal(e, 503, "stopping");
}
