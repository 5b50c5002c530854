#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bench_defs.h"

#define PORTS_MAX 2000

/** Binds to a port that the system picks. @return a socket, or -1. */
static int bind_any(uint16_t *port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr = { htonl(INADDR_LOOPBACK) },
	};
	socklen_t bytes = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		return -1;
	if (bind(fd, (struct sockaddr *)&address, bytes) ||
	    getsockname(fd, (struct sockaddr *)&address, &bytes)) {
		close(fd);
		return -1;
	}
	*port = ntohs(address.sin_port);
	return fd;
}

/** Prints free ports of the loopback address, one a line. */
int bench_ports(int argc, char **argv)
{
	int wanted = argc > 1 ? atoi(argv[1]) : 1;
	int fds[PORTS_MAX];
	uint16_t port;
	int i, held;

	if (wanted < 1 || wanted > PORTS_MAX) {
		fprintf(stderr, BENCH_PROGRAM " ports: 1 to %d\n", PORTS_MAX);
		return 2;
	}
	for (held = 0; held < wanted; held++) {
		fds[held] = bind_any(&port);
		if (fds[held] < 0)
			break;
		printf("%u\n", port);
	}
	for (i = 0; i < held; i++)
		close(fds[i]);
	return held == wanted ? 0 : 1;
}
