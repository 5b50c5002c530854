#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bench_defs.h"

#define PORTS_MAX 2000

/* Below the range from which the system gives ports to connections that go
 * out: a port that was free stays free until its program starts. */
#define PORT_FIRST 10000
#define PORT_LAST 32000

/** Binds to a port. @return a socket, or -1 when the port is taken. */
static int bind_port(uint16_t port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr = { htonl(INADDR_LOOPBACK) },
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		return -1;
	if (!bind(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

/** Prints free ports of the loopback address, one a line. */
int bench_ports(int argc, char **argv)
{
	int wanted = argc > 1 ? atoi(argv[1]) : 1;
	int port = g_random_int_range(PORT_FIRST, PORT_LAST);
	int fds[PORTS_MAX];
	int tries, fd;
	int held = 0;

	if (wanted < 1 || wanted > PORTS_MAX) {
		fprintf(stderr, BENCH_PROGRAM " ports: 1 to %d\n", PORTS_MAX);
		return 2;
	}
	for (tries = PORT_FIRST; tries < PORT_LAST && held < wanted; tries++) {
		if (++port == PORT_LAST)
			port = PORT_FIRST;
		fd = bind_port((uint16_t)port);
		if (fd < 0)
			continue;
		printf("%d\n", port);
		fds[held++] = fd;
	}
	for (tries = 0; tries < held; tries++)
		close(fds[tries]);
	return held == wanted ? 0 : 1;
}
