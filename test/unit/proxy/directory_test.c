#include "proxy/directory.h"

#include <sys/socket.h>
#include <unistd.h>

#include "net/tcp.h"
#include "unit/test.h"

/* Asks the directory of a VM whose list of VMs comes from a test. */

#define SELF "127.0.0.1:7001"
#define OTHER "127.0.0.1:7002"
#define REQUEST "GET /resolve?Region=fyn HTTP/1.1\r\nHost: a\r\n\r\n"

static struct topology_domain domains[] = { { "fyn-a", "fyn" } };
static struct proxy_settings settings = {
	.name = "self",
	.request_address = SELF,
};
static struct proxy proxy;
static struct responder *directory;
static struct sockaddr_in address;

static void put_vm(const char *name, const char *at)
{
	const struct vm_entry entry = {
		.address = at,
		.failure_domain = "fyn-a",
		.relay_address = "",
		.status_address = "",
	};
	char *text = vms_encode_entry(&entry);

	vms_put(proxy.vms, name, text, strlen(text));
	free(text);
}

static void setup(void)
{
	char text[32];
	int tries;

	proxy.base = event_base_new();
	proxy.settings = &settings;
	proxy.topology.domains = domains;
	proxy.topology.domain_count = 1;
	proxy.vms = vms_new(&proxy.topology);
	for (tries = 0; tries < 20 && !directory; tries++) {
		g_snprintf(text, sizeof(text), "127.0.0.1:%d",
			   g_random_int_range(20000, 32000));
		directory = responder_new(proxy.base, text,
					  directory_handle_request, &proxy);
	}
	g_assert_nonnull(directory);
	g_assert_true(tcp_parse_address(text, &address));
}

static void teardown(void)
{
	responder_free(directory);
	directory = NULL;
	vms_free(proxy.vms);
	event_base_free(proxy.base);
	memset(&proxy, 0, sizeof(proxy));
}

/* @return the response to a look-up, which the caller frees. */
static char *look_up(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char *response = g_malloc0(4096);
	ssize_t bytes = 0;
	int tries;

	g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
			==, 0);
	g_assert_cmpint(write(fd, REQUEST, strlen(REQUEST)), ==, strlen(REQUEST));
	for (tries = 0; tries < 200 && bytes <= 0; tries++) {
		event_base_loop(proxy.base, EVLOOP_NONBLOCK);
		usleep(5000);
		bytes = recv(fd, response, 4095, MSG_DONTWAIT);
	}
	g_assert_cmpint(bytes, >, 0);
	close(fd);
	return response;
}

static void lists_live_vms(void)
{
	char *response;

	setup();
	put_vm("self", SELF);
	put_vm("other", OTHER);
	response = look_up();
	assert_contains(response, SELF);
	assert_contains(response, OTHER);
	g_free(response);
	teardown();
}

/* The list shows a VM as live until the store has told all VMs that it has
 * withdrawn, which may take until the end of an outage of the store. */
static void leaves_itself_out_while_stopping(void)
{
	char *response;

	setup();
	put_vm("self", SELF);
	put_vm("other", OTHER);
	proxy.stopping = true;
	response = look_up();
	assert_contains(response, OTHER);
	g_assert_null(strstr(response, SELF));
	g_free(response);
	teardown();
}

static void names_no_vm_if_the_last_one_stops(void)
{
	char *response;

	setup();
	put_vm("self", SELF);
	proxy.stopping = true;
	response = look_up();
	assert_contains(response, "HTTP/1.1 503 ");
	g_free(response);
	teardown();
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	ADD_TEST("directory", lists_live_vms);
	ADD_TEST("directory", leaves_itself_out_while_stopping);
	ADD_TEST("directory", names_no_vm_if_the_last_one_stops);
	return g_test_run();
}
