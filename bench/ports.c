#include <stdlib.h>
#include <unistd.h>

#include "bench_defs.h"
#include "free_port.h"

#define PORTS_MAX 2000

/** Prints free ports of the loopback address, one a line. */
int bench_ports(int argc, char **argv)
{
	int wanted = argc > 1 ? atoi(argv[1]) : 1;
	int fds[PORTS_MAX];
	int held = 0;
	int port;
	int i;

	if (wanted < 1 || wanted > PORTS_MAX) {
		fprintf(stderr, BENCH_PROGRAM " ports: 1 to %d\n", PORTS_MAX);
		return 2;
	}
	while (held < wanted) {
		port = free_port_hold(&fds[held]);
		if (port < 0)
			break;
		printf("%d\n", port);
		held++;
	}
	for (i = 0; i < held; i++)
		close(fds[i]);
	return held == wanted ? 0 : 1;
}
