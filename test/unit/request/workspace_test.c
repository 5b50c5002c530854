#include "base/counter.h"
#include "unit/proxy/stopping_vm.h"
#include "workspace/keys.h"

/* Requests with keys, on the way from a caller to a server. */

#define RESPONSE "Request-Id: r1\r\nResponse-Stamp: a.b\r\n"
#define WITH_KEY "Authorization: Bearer k1\r\nTenant-Id: mill\r\n"
#define WITH_TWO_KEYS "Authorization: Bearer k1\r\nAuthorization: Bearer k2\r\n"

/* Puts a configuration in force in which one workspace has `key`. */
static void set_config(uint64_t version, const char *key, bool idempotent,
		       bool allows_anonymous)
{
	struct config *config = new_config();

	config->version = version;
	config->routes[0].idempotent = idempotent;
	config->routes[0].allows_anonymous = allows_anonymous;
	g_assert_true(config_add_workspaces(config, 1));
	config->workspaces[0].name = strdup("dairy");
	g_assert_true(workspace_keys_add(config->keys, key, 0));
	config_unref(proxy.config);
	proxy.config = config;
}

static void send_text(int fd, const char *method, const char *headers,
		      const char *body)
{
	char *text = g_strdup_printf("%s /note HTTP/1.1\r\nHost: a.example\r\n"
				     "Request-Id: r1\r\nDeadline-Ms: 20000\r\n"
				     "%s\r\n%s",
				     method, headers, body);

	g_assert_cmpint(write(fd, text, strlen(text)), ==, (ssize_t)strlen(text));
	g_free(text);
}

static int connect_caller(void)
{
	int fds[2];

	g_assert_cmpint(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds),
			==, 0);
	caller_accept(&proxy, fds[0]);
	return fds[1];
}

/* @return the status of the last response that has arrived, 0: none. The
 * connection stays. */
static int read_status(int fd)
{
	char text[1024] = "";
	const char *last = NULL;
	int status = 0;

	if (read(fd, text, sizeof(text) - 1) > 0)
		last = g_strrstr(text, "HTTP/1.1 ");
	if (last)
		g_assert_cmpint(sscanf(last, "HTTP/1.1 %d", &status), ==, 1);
	return status;
}

static void reply(uint16_t status, const char *headers)
{
	struct responder_request *request = queue.waiting;

	g_assert_nonnull(request);
	queue.waiting = NULL;
	responder_reply(request, status, headers, NULL);
	run_ms(50);
}

/* @return how many headers of that name the server got. */
static uint32_t count_headers(const char *name)
{
	const struct http_head *head = queue.waiting->head;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < head->header_count; i++)
		count += !strcasecmp(head->headers[i].name, name);
	return count;
}

/* Guards against a key that reaches a server, also in a trailer, and against a
 * caller that names its workspace itself. */
static void server_gets_the_workspace_and_not_the_key(void)
{
	int fd;

	setup_requests(false);
	set_config(2, "k1", true, false);
	fd = connect_caller();
	send_text(fd, "POST",
		  WITH_KEY "AUTHORIZATION: Bearer k1\r\n"
			   "Trailer: Authorization\r\n"
			   "Transfer-Encoding: chunked\r\n",
		  "2\r\nok\r\n0\r\nTenant-Id: mill\r\nX-End: 1\r\n"
		  "Authorization: Bearer k1\r\n\r\n");
	run_ms(50);
	g_assert_cmpuint(queue.arrived, ==, 1);
	g_assert_cmpuint(count_headers("Authorization"), ==, 0);
	g_assert_cmpuint(count_headers("Tenant-Id"), ==, 1);
	g_assert_cmpuint(count_headers("X-End"), ==, 0);
	g_assert_cmpuint(count_headers("Trailer"), ==, 0);
	g_assert_cmpstr(http_head_get(queue.waiting->head, "Tenant-Id"), ==,
			"dairy");
	reply(200, RESPONSE);
	g_assert_cmpint(take_status(fd), ==, 200);
	teardown_requests();
}

/* Guards against a name of a header that is not recognized because of a space
 * before the colon, and that the server may read without the space. */
static void space_after_a_header_name_passes_nothing_on(void)
{
	int fd;

	setup_requests(false);
	set_config(2, "k1", true, true);
	fd = connect_caller();
	send_text(fd, "GET",
		  "Tenant-Id : dairy\r\nAuthorization : Bearer k1\r\n", "");
	run_ms(50);
	g_assert_cmpuint(queue.arrived, ==, 0);
	g_assert_cmpint(take_status(fd), ==, 400);
	teardown_requests();
}

static void request_without_a_valid_key_gets_401(void)
{
	static const char *const headers[] = { "", "Authorization: Bearer k2\r\n",
					       "Tenant-Id: dairy\r\n",
					       WITH_TWO_KEYS,
					       "Authorization: Basic k1\r\n" };
	const uint64_t before = counter_get(COUNTER_REFUSED_KEY);
	int fd;
	size_t i;

	setup_requests(false);
	set_config(2, "k1", false, false);
	fd = connect_caller();
	for (i = 0; i < G_N_ELEMENTS(headers); i++) {
		send_text(fd, "GET", headers[i], "");
		run_ms(50);
		g_assert_cmpint(read_status(fd), ==, 401);
	}
	g_assert_cmpuint(queue.arrived, ==, 0);
	g_assert_cmpuint(counter_get(COUNTER_REFUSED_KEY) - before, ==,
			 G_N_ELEMENTS(headers));
	close(fd);
	teardown_requests();
}

/* Guards against 401 or 404 from a VM that does not know who may send what. */
static void vm_without_a_configuration_responds_503(void)
{
	int fd;

	setup_requests(false);
	config_unref(proxy.config);
	proxy.config = NULL;
	fd = send_request();
	run_ms(50);
	g_assert_cmpint(take_status(fd), ==, 503);
	teardown_requests();
}

static void anonymous_route_needs_no_key(void)
{
	int fd;

	setup_requests(false);
	set_config(2, "k1", true, true);
	fd = connect_caller();
	send_text(fd, "GET", "Authorization: Bearer k2\r\nTenant-Id: dairy\r\n",
		  "");
	run_ms(50);
	g_assert_cmpuint(queue.arrived, ==, 1);
	g_assert_cmpuint(count_headers("Authorization"), ==, 0);
	g_assert_cmpuint(count_headers("Tenant-Id"), ==, 0);
	reply(200, RESPONSE);
	g_assert_cmpint(read_status(fd), ==, 200);
	send_text(fd, "GET", WITH_KEY, "");
	run_ms(50);
	g_assert_cmpstr(http_head_get(queue.waiting->head, "Tenant-Id"), ==,
			"dairy");
	reply(200, RESPONSE);
	g_assert_cmpint(take_status(fd), ==, 200);
	teardown_requests();
}

/* Guards against a connection that keeps what its first request was allowed. */
static void removed_key_is_refused_on_a_kept_connection(void)
{
	int fd;

	setup_requests(false);
	set_config(2, "k1", true, false);
	fd = connect_caller();
	send_text(fd, "GET", WITH_KEY, "");
	run_ms(50);
	set_config(3, "k9", true, false);
	reply(200, RESPONSE);
	g_assert_cmpint(read_status(fd), ==, 200);
	send_text(fd, "GET", WITH_KEY, "");
	run_ms(50);
	g_assert_cmpint(take_status(fd), ==, 401);
	g_assert_cmpuint(queue.arrived, ==, 1);
	teardown_requests();
}

/* Sends a read and behind it an order, which waits in this VM. */
static int send_both(bool allows_anonymous)
{
	int fd;

	setup_requests(false);
	set_config(2, "k1", true, allows_anonymous);
	fd = connect_caller();
	send_text(fd, "GET", WITH_KEY, "");
	run_ms(50);
	proxy.config->routes[0].idempotent = false;
	send_text(fd, "GET", WITH_KEY, "");
	run_ms(50);
	g_assert_cmpuint(proxy.exchanges_in_progress, ==, 2);
	g_assert_cmpuint(queue.arrived, ==, 1);
	return fd;
}

/* Guards against requests that wait in this VM, are sent long after their key
 * was removed, and run. */
static void removed_key_is_refused_before_sending(void)
{
	int fd = send_both(false);

	set_config(3, "k9", false, false);
	reply(200, RESPONSE);
	g_assert_cmpuint(queue.arrived, ==, 1);
	g_assert_cmpint(read_status(fd), ==, 401);
	close(fd);
	teardown_requests();
}

static void removed_key_means_no_workspace_on_an_anonymous_route(void)
{
	int fd = send_both(true);

	set_config(3, "k9", false, true);
	reply(200, RESPONSE);
	g_assert_cmpuint(queue.arrived, ==, 2);
	g_assert_cmpuint(count_headers("Tenant-Id"), ==, 0);
	g_assert_cmpint(read_status(fd), ==, 200);
	reply(200, RESPONSE);
	g_assert_cmpint(take_status(fd), ==, 200);
	teardown_requests();
}

static int send_and_remove_key(void)
{
	int fd;

	setup_requests(false);
	proxy.bounds.retry_extra = 10;
	proxy.bounds.retry_window_ms = 1000;
	set_config(2, "k1", true, false);
	fd = connect_caller();
	send_text(fd, "GET", WITH_KEY, "");
	run_ms(50);
	set_config(3, "k9", true, false);
	return fd;
}

/* 401 is sent only if the request has not run. */
static void removed_key_ends_retries(void)
{
	struct responder_request *request;
	int fd = send_and_remove_key();

	reply(503, "Request-Id: r1\r\nNot-Executed: 1\r\n");
	g_assert_cmpint(take_status(fd), ==, 401);
	teardown_requests();
	fd = send_and_remove_key();
	request = queue.waiting;
	queue.waiting = NULL;
	responder_reset(request);
	run_ms(50);
	g_assert_cmpint(take_status(fd), ==, 502);
	teardown_requests();
}

/* Guards against a refusal of requests that are in progress when a newer
 * configuration still has their key, or has no workspaces. */
static void kept_key_is_not_refused(void)
{
	int fd = send_both(false);

	set_config(3, "k1", false, false);
	reply(200, RESPONSE);
	g_assert_cmpuint(queue.arrived, ==, 2);
	g_assert_cmpint(read_status(fd), ==, 200);
	reply(200, RESPONSE);
	g_assert_cmpint(take_status(fd), ==, 200);
	teardown_requests();
	fd = send_both(false);
	config_unref(proxy.config);
	proxy.config = new_config();
	proxy.config->version = 3;
	reply(200, RESPONSE);
	g_assert_cmpuint(queue.arrived, ==, 2);
	g_assert_cmpint(read_status(fd), ==, 200);
	reply(200, RESPONSE);
	g_assert_cmpint(take_status(fd), ==, 200);
	teardown_requests();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("workspace", server_gets_the_workspace_and_not_the_key);
	ADD_TEST("workspace", space_after_a_header_name_passes_nothing_on);
	ADD_TEST("workspace", request_without_a_valid_key_gets_401);
	ADD_TEST("workspace", vm_without_a_configuration_responds_503);
	ADD_TEST("workspace", anonymous_route_needs_no_key);
	ADD_TEST("workspace", removed_key_is_refused_on_a_kept_connection);
	ADD_TEST("workspace", removed_key_is_refused_before_sending);
	ADD_TEST("workspace",
		 removed_key_means_no_workspace_on_an_anonymous_route);
	ADD_TEST("workspace", removed_key_ends_retries);
	ADD_TEST("workspace", kept_key_is_not_refused);
	return g_test_run();
}
