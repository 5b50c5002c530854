#include <stdlib.h>
#include <unistd.h>

#include "bench_defs.h"
#include "free_port.h"

/**
 * @file
 * Prints free ports of the loopback address, one per line.
 */

#define PORTS_MAX 2000

/* Sockets stay bound until all ports are printed, so that they differ. */
int bench_ports(int argc, char **argv)
{
	int port_count = argc > 1 ? atoi(argv[1]) : 1;
	int fds[PORTS_MAX];
	int bound_count = 0;
	int port;
	int i;

	if (port_count < 1 || port_count > PORTS_MAX) {
		fprintf(stderr, BENCH_PROGRAM " ports: count must be 1 to %d\n",
			PORTS_MAX);
		return 2;
	}
	while (bound_count < port_count) {
		port = free_port_bind(&fds[bound_count]);
		if (port < 0)
			break;
		printf("%d\n", port);
		bound_count++;
	}
	for (i = 0; i < bound_count; i++)
		close(fds[i]);
	return bound_count == port_count ? 0 : 1;
}
